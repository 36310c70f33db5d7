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
type job struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	id      string
	arrived tables.Instant

	table   *routes.Table
	route   *routes.Route
	org     *routes.Organisation
	service *routes.Service
	body    []byte
	held    int64
	header  http.Header

	deadline tables.Instant
	ctx      context.Context
	cancel   context.CancelFunc

	ask dispatch.Request
	// assignment is a scheduler's choice for the next attempt, if one chose.
	assignment  *schedule.Assignment
	fingerprint tables.Fingerprint
	charge      charge
	state       outcome.State
	// sends counts the endpoints that the request was handed to.
	sends int
	// limited counts the endpoints whose rate limits left no room for it.
	limited int
	// kept is an endpoint's failing answer, for the case that no other endpoint
	// gives one.
	kept *whole
	// failed is the last failure of an attempt, for the log.
	failed error

	// started is set once the caller has got a part of the answer, lastEvent is
	// the number of the last event it has.
	started bool
	// first is how long the first event took.
	first time.Duration
	// eventAt is when the last event went to the caller.
	eventAt   tables.Instant
	lastEvent string
	lastID    int64
	hasLast   bool
	finished  bool
}

// defaultTarget is used for routes that name no target.
const defaultTarget = time.Second

// read takes in the caller's request and looks up what is configured for it. It
// returns false after it has answered.
func (j *job) read() bool {
	s := j.server
	j.state = outcome.New(tables.RequestID(j.id))
	if !j.awaitKnowledge() {
		j.refuse(tables.CodeNotReady, retryNotReady)
		return false
	}
	j.table = s.routes.Load()
	path, _, _ := strings.Cut(j.r.RequestURI, "?")
	if j.route = j.table.Match(j.r.Host, path); j.route == nil {
		j.reject(http.StatusNotFound, tables.CodeUnknownRoute)
		return false
	}
	if !j.authenticate() {
		j.reject(http.StatusUnauthorized, tables.CodeUnauthorised)
		return false
	}
	if !j.readBody() {
		return false
	}
	j.service = j.table.SelectService(j.route, j.id)
	j.header = s.headers.ToEndpoint(j.r.Header)
	j.bound()
	j.describe()
	return j.admitUsage()
}

// knowledgeWait is how long a request is held at an instance that has just
// started and does not know its configuration yet. It learns it within 0.4 s
// where a control instance is up, and callers are content with 0.6 s and more.
const knowledgeWait = 300 * time.Millisecond

// awaitKnowledge waits a moment for the first configuration and endpoints.
// Callers that come just after a restart are served instead of sent away; their
// next try would most likely meet another instance that has just started.
func (j *job) awaitKnowledge() bool {
	select {
	case <-j.server.known:
		return true
	default:
	}
	timer := time.NewTimer(knowledgeWait)
	defer timer.Stop()
	select {
	case <-j.server.known:
		return true
	case <-timer.C:
	case <-j.r.Context().Done():
	}
	return false
}

// authenticate finds the organisation of the caller's key.
func (j *job) authenticate() bool {
	scheme, key, _ := strings.Cut(j.r.Header.Get("Authorization"), " ")
	if strings.EqualFold(scheme, j.server.headers.KeyScheme) {
		j.org = j.table.OrganisationByKey(strings.TrimSpace(key))
	}
	return j.org != nil || j.route.Public || !j.table.RequiresKey()
}

// readBody holds the whole body: an attempt that provably did not run is made
// again elsewhere.
func (j *job) readBody() bool {
	limit := j.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if j.r.ContentLength > limit {
		j.w.Header().Set("Connection", "close")
		j.reject(http.StatusRequestEntityTooLarge, tables.CodeTooLarge)
		return false
	}
	j.held = max(j.r.ContentLength, 0)
	if j.server.held.Add(j.held) > j.server.options.MaxBufferedBytes {
		j.w.Header().Set("Connection", "close")
		j.refuse(tables.CodeOverloaded, retryFull)
		return false
	}
	body, err := io.ReadAll(http.MaxBytesReader(j.w, j.r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		j.reject(http.StatusRequestEntityTooLarge, tables.CodeTooLarge)
		return false
	case err != nil:
		// The caller broke off or sent no proper body; nothing has run.
		j.w.Header().Set("Connection", "close")
		j.reject(http.StatusBadRequest, tables.CodeMalformed)
		return false
	}
	j.body = body
	more := int64(len(body)) - j.held
	j.held += more
	j.server.held.Add(more)
	return true
}

// defaultBodyBytes bounds a body where the configuration names no limit.
const defaultBodyBytes = 4 << 20

// bound sets the deadline: the caller's or the route's, whichever comes first.
func (j *job) bound() {
	left := j.route.Timeout
	if ms, err := strconv.ParseFloat(j.r.Header.Get(j.server.headers.Deadline), 64); err == nil && ms > 0 {
		left = min(left, time.Duration(ms*float64(time.Millisecond)))
	}
	j.deadline = j.arrived + left
	j.ctx, j.cancel = context.WithTimeout(j.r.Context(), j.deadline-j.server.options.Now())
}

// describe works out what decisions need to know of the request.
func (j *job) describe() {
	h := j.server.headers
	j.ask = dispatch.Request{
		Service:   j.service,
		Route:     j.route,
		Priority:  j.route.Priority,
		ArrivedAt: j.arrived,
		Deadline:  j.deadline,
	}
	j.ask.PrefillWaitUntil = j.arrived + time.Duration(holdTargets*float64(j.target()))
	organisation := ""
	if j.org != nil {
		organisation = string(j.org.ID)
		if j.org.HasPriority {
			j.ask.Priority = j.org.Priority
		}
	}
	if j.service.Slots > 0 {
		j.ask.Model = j.r.Header.Get(h.Model)
		j.ask.PromptTokens, j.ask.OutputTokens = dialect.ParseTokens(j.r.Header.Get(h.Tokens))
		j.share(dialect.ParseParts(j.r.Header.Get(h.Prefix)), j.isolation())
	}
	j.fingerprint = fingerprintOf(j.r.Method, j.r.RequestURI, organisation, j.body)
	if last := j.r.Header.Get(h.LastEvent); last != "" && j.route.Resumable {
		j.seen(last)
	}
}

// usageTokens are the prompt tokens and the most output tokens that the caller names.
func (j *job) usageTokens() (tokens int64, named bool) {
	text := j.r.Header.Get(j.server.headers.Tokens)
	prompt, output := dialect.ParseTokens(text)
	return int64(prompt) + int64(output), text != ""
}

// isolation names whom cached work may be shared with.
func (j *job) isolation() string {
	if j.org != nil && j.org.Isolated {
		return string(j.org.ID)
	}
	return ""
}

// share notes the parts of the prompt that other requests have too: all but the
// last, which is the request's or its session's own.
func (j *job) share(prompt []dialect.Part, scope string) {
	tokens := 0
	for _, part := range prompt[:max(0, len(prompt)-1)] {
		tokens = min(tokens+part.Tokens, j.ask.PromptTokens)
		j.ask.SharedParts = append(j.ask.SharedParts, dispatch.SharedPart{
			ID: parts.NewID(j.ask.Model, scope, part.ID), EndTokens: tokens,
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
func (j *job) seen(last string) {
	j.lastEvent = last
	id, err := strconv.ParseInt(last, 10, 64)
	j.lastID, j.hasLast = id, err == nil
}

// close gives back what the request held.
func (j *job) close() {
	j.charge.settle()
	j.server.held.Add(-j.held)
	if j.cancel != nil {
		j.cancel()
	}
}

func (j *job) now() tables.Instant { return j.server.options.Now() }

func (j *job) target() time.Duration {
	if j.route.TargetLatency > 0 {
		return j.route.TargetLatency
	}
	return defaultTarget
}
