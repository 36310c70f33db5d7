package forward

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/bufferbudget"
	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/engine/exchange"
	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/permits"
	"github.com/carawaystile/carawaystile/relay"
	"github.com/carawaystile/carawaystile/schedule"
	"github.com/carawaystile/carawaystile/tables"
)

// attempt is one try of a client's request at an endpoint.
type attempt struct {
	request *clientRequest
	id      tables.AttemptID
	// placement is the load balancer's record of the attempt.
	placement *dispatch.Attempt
	// assignment notifies the scheduler of the attempt's progress; nil if this instance placed
	// the attempt.
	assignment *schedule.Assignment
	// permit is for an attempt at a brittle endpoint; nil for any other.
	permit *permits.Permit
	ctx    context.Context
	cancel context.CancelFunc
	// responseTimer cancels the attempt if the endpoint sends nothing for too long. timedOut is
	// set if it did, or if the health checker cancelled the attempt.
	responseTimer responseTimer
	timedOut      atomic.Bool
	// quarantined is set if the attempt was given up because its request is quarantined.
	quarantined atomic.Bool
	// sent is set once the request is being sent on a connection to the endpoint.
	sent atomic.Bool
	// responded is set once the header of the response has arrived.
	responded atomic.Bool
	// mayRepeat is set if the route permits another attempt after this one.
	mayRepeat bool
	startedAt tables.Instant
	// endWait ends the health checker's tracking of the attempt. It is called once the
	// response header has arrived.
	endWait func()
	// queuedPrefill counts the prompt tokens at the endpoint that had no first event when its
	// last event arrived.
	queuedPrefill int
	// crashProbed is closed once it is known whether the process of the endpoint, whose connection
	// broke, has ended; nil if the attempt did not end that way.
	crashProbed <-chan struct{}
	// recorded is set once the end of the attempt is recorded.
	recorded bool
	// endUnanswered ends the count of the request body as unanswered. It may be called more than
	// once.
	endUnanswered func()
	// firstResponseAt is when the endpoint began its response; 0 before that. noProof is set if its
	// complete response does not prove that it could answer the prompt: a failure, or a response
	// whose end is that of its connection.
	firstResponseAt tables.Instant
	// responses counts the events of the response; 1 for one that is not a stream.
	responses int
	noProof   bool
	// via is the instance through which a relayed attempt has gone; empty otherwise.
	via tables.InstanceID
	// retryAfter is the Retry-After header of a response with status 503, for the log.
	retryAfter string
	// weightsChanged is set if the response has named other weights than those of the placement, or ended
	// where it may have.
	weightsChanged bool
	// targetError is why the target weights could not be read before a continuation.
	targetError error
	// headerHolder holds the bytes of a large response header; nil for an ordinary one.
	headerHolder *bufferbudget.Holder
	// isContinuation is set if the attempt continues the run of an ended one.
	// continuationOutcome is its outcome for the metrics if that of the attempt does not say it.
	isContinuation      bool
	continuationOutcome string
}

// forward makes attempts until the request is finished.
func (c *clientRequest) forward() {
	if !c.server.gate.State().AcceptsRequests() {
		// Its body has come late: nothing has run, and the end of the drain would cut it off.
		c.rejectRetryable(tables.CodeDraining, minRetryAfter)
		return
	}
	c.server.recordRequest(c.service.Name)
	c.dispatchRequest.WantsBackup = c.wantsBackup()
	for !c.finished {
		placement, code := c.awaitAdmission()
		if placement == nil {
			c.finishFailed(code)
			return
		}
		a := c.newAttempt(placement)
		a.run()
	}
}

// newAttempt registers the start of an attempt with the metrics and the crash detector.
func (c *clientRequest) newAttempt(placement *dispatch.Attempt) *attempt {
	s := c.server
	a := &attempt{
		request:       c,
		id:            tables.AttemptID(s.options.BootID + "-" + strconv.FormatUint(s.attemptCount.Add(1), 36)),
		placement:     placement,
		startedAt:     s.options.Now(),
		endUnanswered: func() {},
	}
	a.assignment, c.assignment = c.assignment, nil
	a.permit, c.permit = c.permit, nil
	a.ctx, a.cancel = context.WithCancel(c.ctx)
	s.metrics.countPlacement(c, placement.Rationale.Rule, a.placedBy())
	s.metrics.countBackup(c, placement)
	a.recordStart()
	return a
}

// recordStart records the start of the attempt with the load balancer and the crash detector.
func (a *attempt) recordStart() {
	c, s := a.request, a.request.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.retryTakenAt > 0 {
		s.dispatch.RedateRetry(a.startedAt, c.retryTakenAt, c.service.Name)
		c.retryTakenAt = 0
	}
	s.crashDetector.Started(a.startedAt, a.id, incarnationOf(a.placement), c.work())
}

// run sends the request to the endpoint and relays the response to the client.
func (a *attempt) run() {
	c := a.request
	defer a.cancel()
	defer a.recordAborted()
	defer a.stopResponseTimer()
	c.state = c.state.Dispatch(a.id)
	if !a.isContinuation {
		c.reservation.chargeAttempt()
	}
	c.attemptsUsed++
	a.mayRepeat = c.hasAttemptsLeft()
	a.armResponseTimer(a.firstResponseTimeout())
	a.endWait = a.trackPending()
	defer a.endWait()
	a.endUnanswered = c.server.unanswered.add(a.placement.Endpoint.ID, len(c.body))
	defer a.endUnanswered()
	if c.lastErr != nil && !a.isContinuation {
		a.logResend(c.lastErr)
	}
	response, err := c.server.options.Client.Send(a.ctx, a.placement.Endpoint.Address, a.endpointRequest())
	c.sentTo = append(c.sentTo, a.placement.Endpoint.Address)
	if err != nil {
		a.handleFailure(err)
		return
	}
	a.responded.Store(true)
	a.endWait()
	if !a.placement.Relayed {
		c.server.healthChecker.recordResponse(a.placement.Endpoint.ID)
	}
	a.recordResponseHeader(response.Status, response.Header)
	a.weightsChanged = a.namesOtherWeights(response)
	if !a.isValidResponse(response) || a.isContinuation && a.weightsChanged {
		response.Close()
		a.handleFailure(&engine.InterruptedError{Attempt: a.id, Cause: &engine.ProtocolError{What: "answer"}})
		return
	}
	if a.isEventStream(response) {
		a.relayStream(response)
		return
	}
	if a.isContinuation {
		a.rejectContinuation(response)
		return
	}
	a.relayBuffered(response)
}

// endpointRequest returns the request in the form that is sent to the endpoint.
func (a *attempt) endpointRequest() *exchange.Request {
	c, h := a.request, a.request.server.headers
	header := c.endpointHeader.Clone()
	header.Set(h.Deadline, strconv.FormatInt(max(1, (c.deadline-c.now()).Milliseconds()), 10))
	header.Set(h.ExpectEndpoint, string(a.placement.Endpoint.ID))
	if c.org != nil {
		header.Set(h.Organisation, string(c.org.ID))
	}
	if a.placement.WeightsVersion > 0 {
		a.setGenerationHeaders(header)
	}
	if c.lastEventID != "" {
		header.Set(h.LastEventID, c.lastEventID)
	}
	return &exchange.Request{
		Dial:       a.relayDial(),
		OnSend:     func() { a.sent.Store(true) },
		OnResend:   a.logResend,
		OnForeign:  a.countForeign,
		Attempt:    a.id,
		ID:         c.id,
		Method:     c.r.Method,
		Target:     c.r.RequestURI,
		Host:       c.r.Host,
		Header:     header,
		Body:       c.body,
		AtMostOnce: !c.route.SafeToRetry(),
		Repeated:   slices.Contains(c.sentTo, a.placement.Endpoint.Address),

		ReserveHeader: a.reserveHeader,
	}
}

// lowestPriority is the lowest priority that endpoints accept; 0 is the highest.
const lowestPriority = 9

// setGenerationHeaders sets the headers of a generation: the expected version of the
// weights, the salt that separates cached prompts, the priority, and the addresses from
// which the endpoint fetches cached parts and to which it copies them.
func (a *attempt) setGenerationHeaders(header http.Header) {
	c, h := a.request, a.request.server.headers
	header.Set(h.ExpectWeights, strconv.FormatUint(a.placement.WeightsVersion, 10))
	header.Set(h.CacheSalt, parts.Salt(a.placement.WeightsVersion, c.cacheScope()))
	header.Set(h.Priority, strconv.Itoa(min(max(c.dispatchRequest.Priority, 0), lowestPriority)))
	if a.placement.HasCacheSource() {
		header.Set(h.CacheSource, a.placement.CacheSource.Address.String())
	}
	if a.placement.HasCacheStore() {
		header.Set(h.CacheStore, a.placement.CacheStore.Address.String())
	}
	a.setBackupHeaders(header)
}

// recordResponseHeader records what a response header tells of the endpoint: its load, its
// rate limit, the version of its weights, and whether it requests a back-off or is
// draining.
func (a *attempt) recordResponseHeader(status int, header http.Header) {
	a.recordLoad(header)
	s, h := a.request.server, a.request.server.headers
	now := s.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	a.recordRateLimit(now, header)
	a.recordPushback(now, status, header)
	a.recordDraining(header)
	a.recordBrittleness(now, header)
	if version, err := strconv.ParseUint(header.Get(h.Weights), 10, 64); err == nil && a.request.dispatchRequest.Model != "" {
		s.dispatch.RecordServedVersion(a.placement, a.request.dispatchRequest.Model, version)
	}
}

// isValidResponse reports whether the response can come from the endpoint's application. A
// success without the signature header, or any body in an encoding that was not requested,
// does not.
func (a *attempt) isValidResponse(response *exchange.Response) bool {
	if response.Header.Get("Content-Encoding") != "" {
		return false
	}
	return !isSuccess(response.Status) || response.Header.Get(a.request.server.headers.Signature) != ""
}

// isSuccess reports whether the status is in the 2xx class.
func isSuccess(status int) bool { return status >= 200 && status < 300 }

// handleFailure ends an attempt without a complete response. It also ends the request if
// the request cannot be retried.
func (a *attempt) handleFailure(err error) { a.continueAfterFailure(a.recordFailure(err)) }

// recordFailure records the end of an attempt without a complete response, and returns its
// outcome. The client need not have received all events of the attempt yet.
func (a *attempt) recordFailure(err error) dispatch.Outcome {
	c := a.request
	result := a.classifyError(err)
	a.recordOutcome(result)
	a.releaseHeader()
	c.lastErr = err
	if proof, ok := outcome.ProofFromError(err); ok && !a.isContinuation {
		if state, dispatched := c.state.(*outcome.Dispatched); dispatched {
			c.state = state.NotStarted(proof)
		}
		c.reservation.markUnused()
	}
	events.AttemptEnded.Log(c.server.log, append(append(a.logFields(), a.brokenFields(result)...), zap.Stringer("end", result), zap.Error(err))...)
	a.reportTooLarge(err)
	switch result {
	case dispatch.Broken:
		a.crashProbed = a.probeForCrash()
	case dispatch.ConnectionRefused, dispatch.ConnectTimeout, dispatch.ResponseTimeout:
		if !a.placement.Relayed {
			c.server.healthChecker.startProbe(a.placement.Endpoint)
		}
	}
	return result
}

// continueAfterFailure prepares a retry after an attempt without a complete response, or ends
// the request if it cannot be retried.
func (a *attempt) continueAfterFailure(result dispatch.Outcome) {
	c := a.request
	if result == dispatch.Cancelled {
		code := tables.CodeTimeout
		if a.quarantined.Load() {
			code = c.quarantineCode()
		}
		c.finishFailed(code)
		return
	}
	if a.isContinuation {
		c.finishFailed(tables.CodeStreamBroken)
		return
	}
	if result == dispatch.Broken && a.continueStream(a.crashProbed) {
		return
	}
	if result == dispatch.RelayUnavailable {
		c.relayFailures++
	}
	if !notDelivered(result) {
		c.dispatchRequest.Tried = append(c.dispatchRequest.Tried, a.placement.Endpoint.ID)
	}
	if c.responseStarted {
		// The client has a part of the response, which no limit of queues should cost it.
		c.dispatchRequest.UrgentTarget = 0
	}
	if code := c.admitRetry(result); code != 0 {
		c.finishFailed(code)
	}
}

// classifyError maps the error of an attempt to its outcome.
func (a *attempt) classifyError(err error) dispatch.Outcome {
	timedOut := a.stopResponseTimer()
	var declined *exchange.RejectedError
	var notStarted *engine.NotStartedError
	var noRelay *relay.NoRelayError
	switch {
	case errors.As(err, &declined) && declined.Status == http.StatusMisdirectedRequest:
		// The response comes from another process, or from one with other weights. Its header
		// does not describe the endpoint and is not recorded.
		return dispatch.Misdirected
	case errors.As(err, &declined):
		a.recordResponseHeader(declined.Status, declined.Header)
		return dispatch.Declined
	case a.request.ctx.Err() != nil, a.quarantined.Load():
		return dispatch.Cancelled
	case errors.As(err, &notStarted) && notStarted.Unreachable:
		// Also if the attempt has been cancelled meanwhile: the endpoint has not received it.
		return dispatch.ConnectionRefused
	case timedOut:
		return dispatch.ResponseTimeout
	case errors.As(err, &noRelay):
		return dispatch.RelayUnavailable
	case errors.As(err, &notStarted):
		return dispatch.ConnectTimeout
	default:
		return dispatch.Broken
	}
}
