package forward

import (
	"errors"
	"mime"
	"net/http"
	"os"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/engine/exchange"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/routes"
)

const (
	eventStreamType = "text/event-stream"
	// gapTimeoutFactor is the ratio of the timeout between two events to the route's target
	// gap. After the timeout a resumable stream is resumed at another endpoint.
	gapTimeoutFactor = 2
	defaultTargetGap = 600 * time.Millisecond
	// eventWriteTimeout bounds how long a client may accept no data.
	eventWriteTimeout = 10 * time.Second
)

// isEventStream reports whether the response is a successful stream of server-sent events
// on a route for streams.
func (a *attempt) isEventStream(response *exchange.Response) bool {
	if a.request.route.Kind != routes.Stream || !isSuccess(response.Status) {
		return false
	}
	media, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return media == eventStreamType
}

// relayBuffered relays a response that is not a stream. It buffers the whole response
// first, so that a broken one can be retried and no client receives a part of it.
func (a *attempt) relayBuffered(response *exchange.Response) {
	c := a.request
	body, err := a.readBuffered(response)
	if err != nil {
		a.handleFailure(err)
		return
	}
	c.dropFallback()
	a.stopResponseTimer()
	a.recordResponse()
	buffered := &bufferedResponse{status: response.Status, header: response.Header, body: body, attempt: a}
	if response.Status >= http.StatusInternalServerError && a.retryServerError(buffered) {
		return
	}
	a.noProof = !isSuccess(response.Status) || response.EndsWithConnection()
	a.recordOutcome(dispatch.Completed)
	if c.responseStarted {
		// The response to the client has begun with a stream from another endpoint, which this
		// response cannot continue.
		c.abortStream()
		return
	}
	c.writeResponse(buffered)
}

// bufferedResponse is an endpoint's complete response that is not a stream.
type bufferedResponse struct {
	status  int
	header  http.Header
	body    exchange.Body
	attempt *attempt
}

// writeResponse sends a buffered response to the client unchanged.
func (c *clientRequest) writeResponse(buffered *bufferedResponse) {
	c.server.headers.CopyResponseHeaders(c.w.Header(), buffered.header)
	c.w.Header().Set("Content-Length", strconv.Itoa(buffered.body.Len()))
	c.suppressContentTypeSniffing(buffered.header)
	c.w.WriteHeader(buffered.status)
	c.responseHolder.Evictable(c.now(), c.disconnect)
	if buffered.body.Len() > maxUnsentBytes {
		defer c.limitUnsent()()
	}
	err := c.writePieces(c.responseHolder, buffered.body...)
	if err != nil && (c.evicted.Load() || errors.Is(err, os.ErrDeadlineExceeded)) {
		c.abortDisconnected(err)
	}
	// A request whose client hangs up counts as answered: the endpoint has answered it completely.
	c.finishAnswered(buffered.status, buffered.attempt)
}

// retryServerError prepares a retry after a server error (5xx) of an endpoint, and reports
// whether the request will be retried. The response is kept as the fallback: if the retry
// produces none, the client receives it instead of an error of this instance.
func (a *attempt) retryServerError(buffered *bufferedResponse) bool {
	c := a.request
	if !c.route.SafeToRetry() || c.ctx.Err() != nil || c.responseStarted {
		return false
	}
	if c.admitRetry(dispatch.Completed) != 0 {
		return false
	}
	a.noProof = true
	a.recordOutcome(dispatch.Completed)
	c.fallbackResponse = buffered
	c.dispatchRequest.Tried = append(c.dispatchRequest.Tried, a.placement.Endpoint.ID)
	events.AttemptEnded.Log(c.server.log, append(a.logFields(), zap.Int("status", buffered.status))...)
	return true
}

// suppressContentTypeSniffing keeps net/http from adding a Content-Type header that the
// endpoint did not send.
func (c *clientRequest) suppressContentTypeSniffing(from http.Header) {
	if _, typed := from["Content-Type"]; !typed {
		c.w.Header()["Content-Type"] = nil
	}
}

// relayStream relays events as they arrive. The client receives only complete events, each
// once and in order, also if several endpoints have produced them.
func (a *attempt) relayStream(response *exchange.Response) {
	relay := newStreamRelay(a, response)
	defer relay.stop()
	end, err := relay.run()
	if err != nil {
		relay.stop()
		relay.cancel()
		a.request.abortDisconnected(err)
	}
	if end.complete {
		a.finishStream(response, relay.early)
		return
	}
	a.continueAfterFailure(end.outcome)
}

// eventGapTimeout returns the timeout between two events; zero for none. Only resumable
// streams have one.
func (a *attempt) eventGapTimeout() time.Duration {
	if !a.request.route.Resumable {
		return 0
	}
	gap := a.request.route.TargetEventGap
	if gap <= 0 {
		gap = defaultTargetGap
	}
	return gapTimeoutFactor * gap
}

// observeEvent records an event that the client will receive. Before the first event it sets
// the header of the response that contains it. software is the version of the endpoint's software.
func (c *clientRequest) observeEvent(response *exchange.Response, event exchange.Event, software string) {
	if !c.responseStarted {
		c.responseStarted = true
		c.beginStream(software)
		c.dropFallback()
		c.server.headers.CopyResponseHeaders(c.w.Header(), response.Header)
		c.w.WriteHeader(response.Status)
		c.timeToFirstEvent = c.now() - c.arrivedAt
		c.server.metrics.observeFirstEvent(c)
	} else {
		c.server.metrics.observeEventGap(c, c.now()-c.lastEventAt)
	}
	c.lastEventAt = c.now()
	if event.HasID {
		c.lastEventID = strconv.FormatInt(event.ID, 10)
		c.lastEventNumber, c.hasLastEventNumber = event.ID, true
	}
	c.lastEventNumbered = event.HasID
}

// writeEvent sends one event to the client.
func (c *clientRequest) writeEvent(event exchange.Event) error {
	control := http.NewResponseController(c.w)
	if err := c.extendWriteDeadline(control); err != nil {
		return err
	}
	if _, err := c.w.Write(event.Raw); err != nil {
		return err
	}
	return control.Flush()
}

// finishStream ends a stream that is complete. early is what it consists of if it has no event: the
// client then gets the endpoint's whole body all the same.
func (a *attempt) finishStream(response *exchange.Response, early []byte) {
	c := a.request
	if !c.responseStarted {
		c.responseStarted = true
		c.server.headers.CopyResponseHeaders(c.w.Header(), response.Header)
		c.w.WriteHeader(response.Status)
	}
	// The deadline of the last event may have passed since, and net/http is yet to write the end.
	err := c.extendWriteDeadline(http.NewResponseController(c.w))
	if err == nil && len(early) > 0 {
		err = c.writeEvent(exchange.Event{Raw: early})
	}
	if err != nil {
		c.abortDisconnected(err)
	}
	c.finishAnswered(response.Status, a)
}
