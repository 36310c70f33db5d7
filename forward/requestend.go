package forward

import (
	"net/http"
	"runtime/debug"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/tables"
)

// requestEnd is how a request has ended for its client.
type requestEnd uint8

const (
	// endLost is a request whose client got neither an answer nor a refusal, although it waited.
	endLost requestEnd = iota
	// endAnswered is a complete response of an endpoint.
	endAnswered
	// endRefused is a response of this instance which says that the request did not run.
	endRefused
	// endFailed is any other response of this instance.
	endFailed
	// endBroken is a stream that no endpoint could complete.
	endBroken
	// endDisconnected is a client that left, and endStopped an instance that stopped, before the
	// response was complete.
	endDisconnected
	endStopped
	requestEndCount
)

var requestEndNames = [requestEndCount]string{"lost", "answered", "refused", "failed", "broken", "disconnected", "stopped"}

func (e requestEnd) String() string { return requestEndNames[e] }

// requestEnds counts the requests of an instance by how they ended. It is safe for concurrent use.
type requestEnds [requestEndCount]gometrics.Counter

// newRequestEnds returns the counters, which are metrics of the registry if there is one.
func newRequestEnds(registry *metrics.Registry) (ends requestEnds) {
	for end, name := range requestEndNames {
		if registry == nil {
			ends[end] = gometrics.NewCounter()
			continue
		}
		ends[end] = registry.Counter("carawaystile_requests_ended_total", "Requests of callers, by how they ended.", metrics.Label{Name: "end", Value: name})
	}
	return ends
}

// LogRequestEnds logs how many requests have ended in which way since the start.
func (s *Server) LogRequestEnds() {
	fields := []zap.Field{zap.Int64("open", s.gate.InFlight())}
	for end, name := range requestEndNames {
		fields = append(fields, zap.Int64(name, s.ends[end].Count()))
	}
	events.RequestsEnded.Log(s.log, fields...)
}

// finish records how the request has ended.
func (c *clientRequest) finish(end requestEnd) { c.finished, c.end = true, end }

// endOfFailure returns the end of a request that this instance answers itself.
func endOfFailure(result tables.Outcome) requestEnd {
	if result == tables.OutcomeNotRun {
		return endRefused
	}
	return endFailed
}

// conclude counts the end of a request. It is deferred around the whole request: a handler that
// panics answers its client, if no response has begun, and one that returns without any end is
// logged.
func (c *clientRequest) conclude() {
	failure := recover()
	if failure != nil && failure != http.ErrAbortHandler {
		c.answerPanic(failure)
	}
	c.server.ends[c.end].Inc(1)
	if c.end == endLost {
		events.RequestLost.Log(c.server.log, c.logFields()...)
	}
	if failure == http.ErrAbortHandler || c.end == endLost {
		panic(http.ErrAbortHandler)
	}
}

// answerPanic logs a panic of the handler and answers the client if its response has not begun.
func (c *clientRequest) answerPanic(failure any) {
	events.HandlerPanicked.Log(c.server.log, append(c.logFields(), zap.Any("panic", failure), zap.ByteString("stack", debug.Stack()))...)
	if c.end != endLost || c.responseStarted || c.state == nil {
		return
	}
	if state, dispatched := c.state.(*outcome.Dispatched); dispatched {
		c.respondFailure(state.Fail(tables.CodeInternal, outcome.MayHaveRun, 0))
		return
	}
	c.rejectRetryable(tables.CodeInternal, minRetryAfter)
}
