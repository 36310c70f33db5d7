package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/dialect"
	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/schedule"
	"github.com/carawaystile/carawaystile/tables"
)

// job is one caller's request from its arrival until its answer.
type clientRequest struct {
	server    *Server
	w         http.ResponseWriter
	r         *http.Request
	id        string
	arrivedAt tables.Instant

	table          *routes.Table
	route          *routes.Route
	org            *routes.Organisation
	service        *routes.Service
	body           []byte
	bufferedBytes  int64
	endpointHeader http.Header

	deadline tables.Instant
	ctx      context.Context
	cancel   context.CancelFunc

	dispatchRequest dispatch.Request
	// assignment is a scheduler's choice for the next attempt, if one chose.
	assignment  *schedule.Assignment
	fingerprint tables.Fingerprint
	reservation reservation
	state       outcome.State
	// sends counts the endpoints that the request was handed to.
	attemptsUsed int
	// limited counts the endpoints whose rate limits left no room for it.
	rateLimitedPlacements int
	// kept is an endpoint's failing answer, for the case that no other endpoint
	// gives one.
	fallbackResponse *bufferedResponse
	// failed is the last failure of an attempt, for the log.
	lastErr error

	// started is set once the caller has got a part of the answer, lastEvent is
	// the number of the last event it has.
	responseStarted bool
	// first is how long the first event took.
	timeToFirstEvent time.Duration
	// eventAt is when the last event went to the caller.
	lastEventAt        tables.Instant
	lastEventID        string
	lastEventNumber    int64
	hasLastEventNumber bool
	finished           bool
}

// defaultTarget is used for routes that name no target.
const defaultLatencyTarget = time.Second

// read takes in the caller's request and looks up what is configured for it. It
// returns false after it has answered.
func (c *clientRequest) prepare() bool {
	s := c.server
	c.state = outcome.New(tables.RequestID(c.id))
	if !c.waitInitialized() {
		c.rejectRetryable(tables.CodeNotReady, retryAfterNotReady)
		return false
	}
	c.table = s.routes.Load()
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	if c.route = c.table.Match(c.r.Host, path); c.route == nil {
		c.rejectPermanently(http.StatusNotFound, tables.CodeUnknownRoute)
		return false
	}
	if !c.authenticate() {
		c.rejectPermanently(http.StatusUnauthorized, tables.CodeUnauthorised)
		return false
	}
	if !c.readBody() {
		return false
	}
	c.service = c.table.SelectService(c.route, c.id)
	c.endpointHeader = s.headers.ToEndpoint(c.r.Header)
	c.setDeadline()
	c.buildDispatchRequest()
	return c.reserveUsage()
}

// knowledgeWait is how long a request is held at an instance that has just
// started and does not know its configuration yet. It learns it within 0.4 s
// where a control instance is up, and callers are content with 0.6 s and more.
const initializationTimeout = 300 * time.Millisecond

// awaitKnowledge waits a moment for the first configuration and endpoints.
// Callers that come just after a restart are served instead of sent away; their
// next try would most likely meet another instance that has just started.
func (c *clientRequest) waitInitialized() bool {
	select {
	case <-c.server.initialized:
		return true
	default:
	}
	timer := time.NewTimer(initializationTimeout)
	defer timer.Stop()
	select {
	case <-c.server.initialized:
		return true
	case <-timer.C:
	case <-c.r.Context().Done():
	}
	return false
}

// authenticate finds the organisation of the caller's key.
func (c *clientRequest) authenticate() bool {
	scheme, key, _ := strings.Cut(c.r.Header.Get("Authorization"), " ")
	if strings.EqualFold(scheme, c.server.headers.KeyScheme) {
		c.org = c.table.OrganisationByKey(strings.TrimSpace(key))
	}
	return c.org != nil || c.route.Public || !c.table.RequiresKey()
}

// readBody holds the whole body: an attempt that provably did not run is made
// again elsewhere.
func (c *clientRequest) readBody() bool {
	limit := c.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if c.r.ContentLength > limit {
		c.w.Header().Set("Connection", "close")
		c.rejectPermanently(http.StatusRequestEntityTooLarge, tables.CodeTooLarge)
		return false
	}
	c.bufferedBytes = max(c.r.ContentLength, 0)
	if c.server.bufferedBytes.Add(c.bufferedBytes) > c.server.options.MaxBufferedBytes {
		c.w.Header().Set("Connection", "close")
		c.rejectRetryable(tables.CodeOverloaded, retryAfterOverload)
		return false
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		c.rejectPermanently(http.StatusRequestEntityTooLarge, tables.CodeTooLarge)
		return false
	case err != nil:
		// The caller broke off or sent no proper body; nothing has run.
		c.w.Header().Set("Connection", "close")
		c.rejectPermanently(http.StatusBadRequest, tables.CodeMalformed)
		return false
	}
	c.body = body
	growth := int64(len(body)) - c.bufferedBytes
	c.bufferedBytes += growth
	c.server.bufferedBytes.Add(growth)
	return true
}

// defaultBodyBytes bounds a body where the configuration names no limit.
const defaultMaxBodyBytes = 4 << 20

// bound sets the deadline: the caller's or the route's, whichever comes first.
func (c *clientRequest) setDeadline() {
	timeout := c.route.Timeout
	if milliseconds, err := strconv.ParseFloat(c.r.Header.Get(c.server.headers.Deadline), 64); err == nil && milliseconds > 0 {
		timeout = min(timeout, time.Duration(milliseconds*float64(time.Millisecond)))
	}
	c.deadline = c.arrivedAt + timeout
	c.ctx, c.cancel = context.WithTimeout(c.r.Context(), c.deadline-c.server.options.Now())
}

// describe works out what decisions need to know of the request.
func (c *clientRequest) buildDispatchRequest() {
	h := c.server.headers
	c.dispatchRequest = dispatch.Request{
		Service:   c.service,
		Route:     c.route,
		Priority:  c.route.Priority,
		ArrivedAt: c.arrivedAt,
		Deadline:  c.deadline,
	}
	c.dispatchRequest.PrefillWaitUntil = c.arrivedAt + time.Duration(prefillWaitTargets*float64(c.latencyTarget()))
	organisation := ""
	if c.org != nil {
		organisation = string(c.org.ID)
		if c.org.HasPriority {
			c.dispatchRequest.Priority = c.org.Priority
		}
	}
	if c.service.Slots > 0 {
		c.dispatchRequest.Model = c.r.Header.Get(h.Model)
		c.dispatchRequest.PromptTokens, c.dispatchRequest.OutputTokens = dialect.ParseTokens(c.r.Header.Get(h.Tokens))
		c.addSharedParts(dialect.ParseParts(c.r.Header.Get(h.Prefix)), c.cacheScope())
	}
	c.fingerprint = fingerprintOf(c.r.Method, c.r.RequestURI, organisation, c.body)
	if last := c.r.Header.Get(h.LastEvent); last != "" && c.route.Resumable {
		c.setLastEvent(last)
	}
}

// usageTokens are the prompt tokens and the most output tokens that the caller names.
func (c *clientRequest) declaredTokens() (tokens int64, declared bool) {
	header := c.r.Header.Get(c.server.headers.Tokens)
	prompt, output := dialect.ParseTokens(header)
	return int64(prompt) + int64(output), header != ""
}

// isolation names whom cached work may be shared with.
func (c *clientRequest) cacheScope() string {
	if c.org != nil && c.org.Isolated {
		return string(c.org.ID)
	}
	return ""
}

// share notes the parts of the prompt that other requests have too: all but the
// last, which is the request's or its session's own.
func (c *clientRequest) addSharedParts(promptParts []dialect.Part, scope string) {
	endTokens := 0
	for _, part := range promptParts[:max(0, len(promptParts)-1)] {
		endTokens = min(endTokens+part.Tokens, c.dispatchRequest.PromptTokens)
		c.dispatchRequest.SharedParts = append(c.dispatchRequest.SharedParts, dispatch.SharedPart{
			ID: parts.NewID(c.dispatchRequest.Model, scope, part.ID), EndTokens: endTokens,
		})
	}
}

func fingerprintOf(method, target, organisation string, body []byte) tables.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, text := range []string{method, target, organisation} {
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return tables.Fingerprint(d.Sum64())
}

// seen notes the last event that the caller has.
func (c *clientRequest) setLastEvent(last string) {
	c.lastEventID = last
	number, err := strconv.ParseInt(last, 10, 64)
	c.lastEventNumber, c.hasLastEventNumber = number, err == nil
}

// close gives back what the request held.
func (c *clientRequest) release() {
	c.reservation.refundUnused()
	c.server.bufferedBytes.Add(-c.bufferedBytes)
	if c.cancel != nil {
		c.cancel()
	}
}

func (c *clientRequest) now() tables.Instant { return c.server.options.Now() }

func (c *clientRequest) latencyTarget() time.Duration {
	if c.route.TargetLatency > 0 {
		return c.route.TargetLatency
	}
	return defaultLatencyTarget
}
