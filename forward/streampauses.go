package forward

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/tables"
)

// streamPauses measures the pauses between the events of a client's stream. A pause lasts from
// when an event has been written to the client until the next one has arrived, so that a client
// that reads slowly adds nothing. A stream that another endpoint resumes pauses meanwhile.
type streamPauses struct {
	// events counts the events that were sent to the client.
	events int
	// beganAt is when the current pause began, and endpoint the endpoint that had sent the last
	// event. queuedPrefill is the prompt tokens without a first event that were known there then.
	beganAt       tables.Instant
	endpoint      tables.EndpointID
	queuedPrefill int
	longest       pause
}

// pause is a pause between two events of a stream.
type pause struct {
	duration time.Duration
	// event is the number of the event that ended the pause, counted from 1 in the response, or
	// of the missing event if the stream has ended without it.
	event int
	// queuedPrefill counts the prompt tokens that were placed at the endpoint and had no first event
	// when the pause began, as far as known.
	queuedPrefill int
}

// beginPause notes that an event was sent to the client and that the next one is awaited.
func (a *attempt) beginPause() {
	p := &a.request.pauses
	p.events++
	p.beganAt, p.endpoint, p.queuedPrefill = a.request.now(), a.placement.Endpoint.ID, a.queuedPrefill
}

// endPause notes that the event after a pause has arrived, or that the stream ends without it.
func (c *clientRequest) endPause() {
	p := &c.pauses
	if p.events == 0 {
		return
	}
	ended := pause{duration: c.now() - p.beganAt, event: p.events + 1, queuedPrefill: p.queuedPrefill}
	if p.longest.event == 0 || ended.duration > p.longest.duration {
		p.longest = ended
	}
	if gap := c.route.TargetEventGap; gap > 0 && ended.duration > gap {
		c.reportPause(ended)
	}
}

// reportPause logs a pause that is longer than the target gap.
func (c *clientRequest) reportPause(p pause) {
	unlogged, ok := c.server.pauseReports.admit(c.now(), c.pauses.endpoint)
	if !ok {
		return
	}
	events.StreamPaused.Log(c.server.log, append([]zap.Field{
		zap.String("request", c.id), zap.String("endpoint", string(c.pauses.endpoint)), zap.String("route", c.route.Name),
		zap.Duration("target", c.route.TargetEventGap), zap.Int("unlogged", unlogged),
	}, p.logFields()...)...)
}

// logFields returns the fields that describe the pause in the log.
func (p pause) logFields() []zap.Field {
	return []zap.Field{zap.Duration("pause", p.duration), zap.Int("pause_at", p.event), zap.Int("queued_prefill", p.queuedPrefill)}
}

// pauseFields returns the fields of the stream's longest pause for the log; none for a response
// that is not a stream of several events.
func (c *clientRequest) pauseFields() []zap.Field {
	if c.pauses.longest.event == 0 {
		return nil
	}
	return c.pauses.longest.logFields()
}

// observeLongestPause observes the longest pause of a stream that has ended, complete or not.
func (c *clientRequest) observeLongestPause() {
	if c.server.metrics != nil && c.pauses.longest.event > 0 {
		c.server.metrics.requests.ObserveLongestPause(c.organisationID(), c.priorityClass(), c.pauses.longest.duration)
	}
}

const (
	// pauseReportInterval is the shortest time between two log lines on pauses at the same
	// endpoint, and pauseSweepInterval the time between two removals of old entries.
	pauseReportInterval = time.Second
	pauseSweepInterval  = time.Minute
)

// pauseReports limits the rate of log lines on pauses at each endpoint. The zero value is ready
// for use. It is safe for concurrent use.
type pauseReports struct {
	mu         sync.Mutex
	byEndpoint map[tables.EndpointID]pauseReport
	sweptAt    tables.Instant
}

// pauseReport is when a pause at an endpoint was last logged, and how many were not since.
type pauseReport struct {
	loggedAt tables.Instant
	unlogged int
}

// admit reports whether a pause may be logged, and how many pauses at the endpoint were not
// logged since the last one that was.
func (p *pauseReports) admit(now tables.Instant, id tables.EndpointID) (unlogged int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sweep(now)
	last, known := p.byEndpoint[id]
	if known && now-last.loggedAt < pauseReportInterval {
		last.unlogged++
		p.byEndpoint[id] = last
		return 0, false
	}
	p.byEndpoint[id] = pauseReport{loggedAt: now}
	return last.unlogged, true
}

// sweep removes the entries of endpoints that have had no log line for a while, some of which no
// longer exist.
func (p *pauseReports) sweep(now tables.Instant) {
	if p.byEndpoint == nil {
		p.byEndpoint = map[tables.EndpointID]pauseReport{}
	}
	if now-p.sweptAt < pauseSweepInterval {
		return
	}
	p.sweptAt = now
	for id, last := range p.byEndpoint {
		if now-last.loggedAt > pauseSweepInterval {
			delete(p.byEndpoint, id)
		}
	}
}
