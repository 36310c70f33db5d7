package forward

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/bufferbudget"
	"github.com/carawaystile/carawaystile/dialect"
	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/permits"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/schedule"
	"github.com/carawaystile/carawaystile/tables"
)

// clientRequest is the state of one client's request from its arrival until the end of the
// response.
type clientRequest struct {
	server    *Server
	w         http.ResponseWriter
	r         *http.Request
	id        string
	arrivedAt tables.Instant

	table   *routes.Table
	route   *routes.Route
	org     *routes.Organisation
	service *routes.Service
	body    []byte
	// holders hold the request's part of the buffer budget.
	holders []*bufferbudget.Holder
	// responseHolder is the one for buffered responses of all attempts; nil before the first.
	responseHolder *bufferbudget.Holder
	// evicted is set once the client is disconnected to make room in the budget. disconnectMu
	// guards released, which is set once the response must not be used any more.
	evicted      atomic.Bool
	disconnectMu sync.Mutex
	released     bool
	// bodyEnded is set once the body is not read on. disconnectMu guards it.
	bodyEnded bool
	// endpointHeader is the client's header without the fields that are not forwarded.
	endpointHeader http.Header

	deadline tables.Instant
	ctx      context.Context
	cancel   context.CancelFunc

	dispatchRequest dispatch.Request
	// contentIDs are the IDs by which the crash detector knows the shared parts of the prompt.
	contentIDs []parts.ID
	// assignment is the scheduler's decision about the next attempt; nil if this instance
	// places it.
	assignment *schedule.Assignment
	// permit is for the next attempt if that goes to a brittle endpoint; nil otherwise.
	permit      *permits.Permit
	fingerprint tables.Fingerprint
	// quarantinedPart is the part of the prompt because of which the request was rejected; 0 for none.
	quarantinedPart parts.ID
	reservation     reservation
	// state says whether any endpoint may have run the request.
	state outcome.State
	// attemptsUsed counts the attempts that count towards the route's MaxAttempts. Attempts
	// that certainly did not run are not included.
	attemptsUsed int
	// sentTo holds the addresses of the attempts.
	sentTo []netip.AddrPort
	// relayFailures counts the attempts that no other instance could relay.
	relayFailures int
	// admissionAsked is set once an attempt was to be placed while admission was enabled.
	admissionAsked bool
	// admitted is the form in which the current attempt waited; nil if it was placed without
	// admission.
	admitted *waiter
	// retryTakenAt is when the next attempt was taken from the retry budget; 0 for none. reserved is
	// its placement if that was chosen before the current attempt was given up. The server's mu guards
	// both while an attempt goes on.
	retryTakenAt tables.Instant
	reserved     *dispatch.Attempt
	// rateLimitedPlacements counts the placements that endpoints' rate limits did not admit.
	rateLimitedPlacements int
	// retryAfter is the time after which a client that is rejected should retry; 0 for the
	// default.
	retryAfter time.Duration
	// waitedInQueue is how long the request has waited for capacity, waitPredicted the wait that
	// was predicted, and waitVerdict how the wait ended if the request was not placed.
	waitedInQueue, waitPredicted time.Duration
	waitVerdict                  waitVerdict
	// fallbackResponse is a server error (5xx) of an endpoint. The client receives it if no
	// retry produces a response.
	fallbackResponse *bufferedResponse
	// lastErr is the error of the last failed attempt, for the log.
	lastErr error

	// responseStarted is set once the first event of a stream was read from an endpoint, or a stream
	// has ended without one. No other response can replace the stream then.
	responseStarted bool
	// timeToFirstEvent is the time from arrival to the first event of a stream.
	timeToFirstEvent time.Duration
	// lastEventAt is when the last event was read from an endpoint. It may still be queued for the
	// client.
	lastEventAt tables.Instant
	// pauses measures the pauses between the events of a stream.
	pauses streamPauses
	// lastEventID is the ID of the last event that was read from an endpoint, or that the client has
	// named in its request. The client gets all events up to it before any from another endpoint.
	// lastEventNumber is its numeric value, valid if hasLastEventNumber is set.
	lastEventID        string
	lastEventNumber    int64
	hasLastEventNumber bool
	// lastEventNumbered is set if the last event that this instance sent to the client has a
	// numeric ID.
	lastEventNumbered bool
	// resumes is the ID of the request that brought the first event of the stream that the client
	// resumes; empty for a new stream, or if the client does not name it.
	resumes string
	// finished is set once the request has its final response or is aborted, and end is how it has
	// ended then.
	finished bool
	end      requestEnd
}

// defaultLatencyTarget applies to routes without a latency target.
const defaultLatencyTarget = time.Second

// prepare checks the size of the header, matches the request to a route, authenticates it, buffers its body and checks its
// organisation's rate limit. It returns false if it has rejected the request.
func (c *clientRequest) prepare() bool {
	s := c.server
	c.state = outcome.NewUndispatched(tables.RequestID(c.id))
	if !c.waitInitialized() {
		c.rejectRetryable(tables.CodeNotReady, retryAfterNotReady)
		return false
	}
	c.table = s.routes.Load()
	if limit := c.table.Limits.HeaderBytes; limit > 0 && headerBytes(c.r) > limit {
		c.w.Header().Set("Connection", "close")
		c.rejectPermanently(http.StatusRequestHeaderFieldsTooLarge, tables.CodeHeaderTooLarge)
		return false
	}
	path, _, _ := strings.Cut(c.r.RequestURI, "?")
	if c.route = c.table.Match(c.r.Host, path); c.route == nil {
		c.rejectPermanently(http.StatusNotFound, tables.CodeUnknownRoute)
		return false
	}
	if !c.authenticate() {
		c.rejectPermanently(http.StatusUnauthorized, tables.CodeUnauthorised)
		return false
	}
	c.noteID()
	c.setDeadline()
	if !c.readBody() {
		return false
	}
	c.service = c.table.SelectService(c.route, c.id)
	c.endpointHeader = s.headers.EndpointRequestHeaders(c.r.Header)
	c.buildDispatchRequest()
	if !c.findOrigin() {
		c.rejectRetryable(tables.CodeStreamUnknown, 0)
		return false
	}
	return c.reserveUsage()
}

// initializationTimeout bounds how long a request waits at an instance that has just
// started and has no configuration yet. The instance receives it within 0.4 s if a control
// instance is up. Clients' latency targets are 0.6 s and more.
const initializationTimeout = 300 * time.Millisecond

// waitInitialized waits for the first configuration and endpoints and reports whether they
// have arrived. Without the wait, requests just after a restart are rejected, and their
// retries most likely reach another instance that has just started.
func (c *clientRequest) waitInitialized() bool {
	select {
	case <-c.server.initialized:
		return true
	default:
	}
	if c.server.options.StartupWait {
		return c.waitStartup()
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

// authenticate looks up the organisation by the client's API key, and reports whether the
// request is allowed.
func (c *clientRequest) authenticate() bool {
	scheme, key, _ := strings.Cut(c.r.Header.Get("Authorization"), " ")
	if strings.EqualFold(scheme, c.server.headers.AuthScheme) {
		c.org = c.table.OrganisationByKey(strings.TrimSpace(key))
	}
	return c.org != nil || c.route.Public || !c.table.RequiresKey()
}

// setDeadline sets the deadline to the client's or the route's, whichever is earlier.
func (c *clientRequest) setDeadline() {
	timeout := c.route.Timeout
	if clientTimeout, set := c.clientTimeout(); set {
		timeout = min(timeout, clientTimeout)
	}
	c.deadline = c.arrivedAt + timeout
	c.ctx, c.cancel = context.WithTimeout(c.r.Context(), c.deadline-c.server.options.Now())
}

// buildDispatchRequest sets the input of placement decisions: the load balancer's view of
// the request and its fingerprint, which identifies it to the crash detector.
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
		c.dispatchRequest.PromptTokens, c.dispatchRequest.OutputTokens = dialect.ParseTokenCounts(c.r.Header.Get(h.TokenCounts))
		c.addSharedParts(dialect.ParsePromptParts(c.r.Header.Get(h.PromptParts), maxSharedParts+1), c.cacheScope())
	}
	c.setUrgentTarget()
	c.fingerprint = fingerprintOf(c.r.Method, c.r.RequestURI, organisation, c.body)
	if last := c.r.Header.Get(h.LastEventID); last != "" && c.route.Resumable {
		c.setLastEvent(last)
		c.resumes = c.r.Header.Get(h.Resumes)
	}
}

// declaredTokens returns the sum of the prompt tokens and the maximum output tokens that
// the client declares in a header. It reports whether the request has that header.
func (c *clientRequest) declaredTokens() (tokens int64, declared bool) {
	header := c.r.Header.Get(c.server.headers.TokenCounts)
	prompt, output := dialect.ParseTokenCounts(header)
	return int64(prompt) + int64(output), header != ""
}

// cacheScope returns the scope within which the request's cached prompt parts may be shared now: that
// of the organisations that share, or else of its organisation alone. The configuration may have
// changed since the request arrived, and the organisation may have been removed.
func (c *clientRequest) cacheScope() string {
	current := c.server.Configuration()
	if c.org != nil && (c.org.Isolated || !current.SharesCache(c.org.ID)) {
		return parts.IsolatedScope(string(c.org.ID))
	}
	return parts.SharedScope(current.CachePool)
}

// contentScope returns the scope of the IDs by which the crash detector knows parts of prompts. Unlike
// cached parts, what it knows stays valid when the pool of cached prompts is replaced.
func (c *clientRequest) contentScope() string {
	if c.org != nil && c.org.Isolated {
		return string(c.org.ID)
	}
	return ""
}

// addSharedParts adds the prompt parts that other requests may share: all but the last,
// which belongs to this request or its session alone.
func (c *clientRequest) addSharedParts(promptParts []dialect.PromptPart, scope string) {
	if len(promptParts) > maxSharedParts {
		c.server.reportLongPrompt(c)
	}
	endTokens := 0
	for _, part := range promptParts[:max(0, len(promptParts)-1)] {
		endTokens = min(endTokens+part.Tokens, c.dispatchRequest.PromptTokens)
		c.dispatchRequest.SharedParts = append(c.dispatchRequest.SharedParts, dispatch.SharedPart{
			ID: parts.NewID(c.dispatchRequest.Model, scope, part.ID), EndTokens: endTokens,
		})
		c.contentIDs = append(c.contentIDs, parts.NewID(c.dispatchRequest.Model, c.contentScope(), part.ID))
	}
}

// sharedPartIDs returns the IDs of the prompt parts that other requests may share, for the log.
func (c *clientRequest) sharedPartIDs() []string {
	ids := make([]string, 0, len(c.contentIDs))
	for _, id := range c.contentIDs {
		ids = append(ids, id.String())
	}
	return ids
}

// fingerprintOf returns a hash that is equal for repetitions of the same request.
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

// setLastEvent sets the last event that the client has received, by its Last-Event-ID
// header.
func (c *clientRequest) setLastEvent(last string) {
	c.lastEventID = last
	number, err := strconv.ParseInt(last, 10, 64)
	c.lastEventNumber, c.hasLastEventNumber = number, err == nil
}

// release frees what the request holds: the unused reservation, a retry that was not sent, its part
// of the buffer budget and its context.
func (c *clientRequest) release() {
	c.returnRetry()
	c.reservation.refundUnused()
	c.observeLongestPause()
	c.releaseBuffers()
	if c.cancel != nil {
		c.cancel()
	}
}

func (c *clientRequest) now() tables.Instant { return c.server.options.Now() }

// latencyTarget returns the route's target for the time to the response or the first event.
func (c *clientRequest) latencyTarget() time.Duration {
	if c.route.TargetLatency > 0 {
		return c.route.TargetLatency
	}
	return defaultLatencyTarget
}
