package forward

import (
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/engine/exchange"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/routes"
)

const (
	eventStreamType = "text/event-stream"
	// gapFactor is how many times the longest pause that callers are content
	// with an endpoint may pause before a resumable stream goes on elsewhere.
	gapTimeoutFactor = 2
	defaultTargetGap = 600 * time.Millisecond
	// writeStall bounds how long a caller may take no data.
	eventWriteTimeout = 10 * time.Second
)

func (a *attempt) isEventStream(response *exchange.Answer) bool {
	if a.request.route.Kind != routes.Stream || !isSuccess(response.Status) {
		return false
	}
	media, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return media == eventStreamType
}

// relayWhole passes on an answer that is not a stream once all of it is there,
// so that a broken one can be tried again and never looks whole.
func (a *attempt) relayBuffered(response *exchange.Answer) {
	c := a.request
	body, err := response.ReadAll()
	if err != nil {
		a.handleFailure(err)
		return
	}
	a.stopResponseTimer()
	a.recordResponseStart()
	buffered := &bufferedResponse{status: response.Status, header: response.Header, body: body, attempt: a}
	if response.Status >= http.StatusInternalServerError && a.retryServerError(buffered) {
		return
	}
	a.recordOutcome(dispatch.Completed)
	if c.responseStarted {
		// A stream that was begun elsewhere cannot go on with this.
		c.abortStream()
		return
	}
	c.writeResponse(buffered)
}

// whole is an endpoint's whole answer that is not a stream.
type bufferedResponse struct {
	status  int
	header  http.Header
	body    []byte
	attempt *attempt
}

// deliver gives a whole answer to the caller as the endpoint made it.
func (c *clientRequest) writeResponse(buffered *bufferedResponse) {
	c.server.headers.ToCaller(c.w.Header(), buffered.header)
	c.w.Header().Set("Content-Length", strconv.Itoa(len(buffered.body)))
	c.suppressContentTypeSniffing(buffered.header)
	c.w.WriteHeader(buffered.status)
	_, _ = c.w.Write(buffered.body)
	c.finishAnswered(buffered.status, buffered.attempt)
}

// failedAtEndpoint tries a repeatable request again after an endpoint's own
// failure, and says whether it will. The answer is kept: if no other endpoint
// gives one, the caller gets it and not a failure of this instance in its place.
func (a *attempt) retryServerError(buffered *bufferedResponse) bool {
	c := a.request
	if !c.route.SafeToRetry() || c.ctx.Err() != nil || c.responseStarted {
		return false
	}
	if c.admitRetry(dispatch.Completed) != 0 {
		return false
	}
	a.recordOutcome(dispatch.Completed)
	c.fallbackResponse = buffered
	c.dispatchRequest.Tried = append(c.dispatchRequest.Tried, a.placement.Endpoint.ID)
	events.AttemptEnded.Log(c.server.log, append(a.logFields(), zap.Int("status", buffered.status))...)
	return true
}

// plainHeader keeps net/http from adding a type that the endpoint did not send.
func (c *clientRequest) suppressContentTypeSniffing(from http.Header) {
	if _, typed := from["Content-Type"]; !typed {
		c.w.Header()["Content-Type"] = nil
	}
}

// relayStream passes events on as they arrive. The caller gets whole events
// only, each once and in order, whichever endpoint made them.
func (a *attempt) relayStream(response *exchange.Answer) {
	c := a.request
	stream := exchange.NewEvents(response)
	for {
		event, err := stream.Next()
		if err == io.EOF {
			a.finishStream(response)
			return
		}
		if err != nil {
			response.Close()
			a.handleFailure(&engine.Interrupted{Attempt: a.id, Cause: err})
			return
		}
		a.stopResponseTimer()
		a.recordResponseStart()
		if event.HasID && c.hasLastEventNumber && event.ID <= c.lastEventNumber {
			continue // the caller has it
		}
		if err := c.writeEvent(response, event); err != nil {
			response.Close()
			a.recordOutcome(dispatch.Cancelled)
			c.abortDisconnected(err)
			return
		}
		a.armResponseTimer(a.eventGapTimeout())
	}
}

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

// write gives one event to the caller, the header of the first answer before
// the first event.
func (c *clientRequest) writeEvent(response *exchange.Answer, event exchange.Event) error {
	control := http.NewResponseController(c.w)
	if !c.responseStarted {
		c.responseStarted = true
		c.server.headers.ToCaller(c.w.Header(), response.Header)
		c.w.WriteHeader(response.Status)
		c.timeToFirstEvent = c.now() - c.arrivedAt
		c.server.metrics.observeFirstEvent(c)
	} else {
		c.server.metrics.observeEventGap(c, c.now()-c.lastEventAt)
	}
	c.lastEventAt = c.now()
	_ = control.SetWriteDeadline(time.Now().Add(eventWriteTimeout))
	if _, err := c.w.Write(event.Raw); err != nil {
		return err
	}
	if event.HasID {
		c.lastEventID = strconv.FormatInt(event.ID, 10)
		c.lastEventNumber, c.hasLastEventNumber = event.ID, true
	}
	return control.Flush()
}

// endStream ends a stream that is whole.
func (a *attempt) finishStream(response *exchange.Answer) {
	c := a.request
	a.stopResponseTimer()
	a.recordResponseStart()
	a.recordOutcome(dispatch.Completed)
	if !c.responseStarted {
		c.responseStarted = true
		c.server.headers.ToCaller(c.w.Header(), response.Header)
		c.w.WriteHeader(response.Status)
	}
	c.finishAnswered(response.Status, a)
}
