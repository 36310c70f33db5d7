package forward

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/carawaystile/carawaystile/bufferbudget"
	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/engine/exchange"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// maxQueueBytes bounds the queue of one stream. Beyond it the endpoint is not read.
	maxQueueBytes = 256 << 10
)

// The goroutine that serves the client reads and writes in turn while its writes do not block.
// When one does, the read-ahead goroutine reads the events into the queue. It ends as soon as
// the client has caught up.
const (
	readyToWrite int32 = iota
	writingDirectly
	readingAhead
)

// streamRelay relays the events of one attempt's response to the client.
type streamRelay struct {
	attempt  *attempt
	response *exchange.Response
	events   *exchange.EventReader
	phase    atomic.Int32
	// writeStartedAt is when the last direct write began, in nanoseconds of the server's clock.
	writeStartedAt atomic.Int64
	// holder counts the bytes of the queue; nil until the first write has blocked.
	holder *bufferbudget.Holder
	// early holds the keep-alives before the first event of the client's response, which does not
	// begin with them: another endpoint may still answer. They are the whole body if the stream ends
	// without an event. keepAlive is set if what was read last is a keep-alive.
	early     []byte
	keepAlive bool

	// eventHolder counts the bytes of a large event while it is read and written directly; nil
	// before the first.
	eventHolder *bufferbudget.Holder

	mu sync.Mutex
	// changed signals the writer that the queue or readDone has changed, and room signals the
	// read-ahead goroutine that the writer has taken an event or waits for one.
	changed sync.Cond
	room    chan struct{}
	queue   []queuedEvent
	// queuedBytes includes the event that is being written.
	queuedBytes int64
	// writerWaits is set while all events of the queue are written and the writer waits for more.
	writerWaits bool
	// handedOver is an event that the read-ahead goroutine has read and the writer writes
	// directly; nil for none.
	handedOver *exchange.Event
	// aborted is set once the client gets no more events.
	aborted bool
	// readDone is set once the read-ahead goroutine touches no state any more.
	readDone bool
	// end is how the response has ended; nil while it goes on.
	end *streamEnd
}

// queuedEvent is an event for the client; reserved is its part of the budget.
type queuedEvent struct {
	raw      []byte
	reserved int64
}

// streamEnd is how a response has ended. It is recorded with the load balancer when the response
// ends, also while events are queued.
type streamEnd struct {
	complete bool
	outcome  dispatch.Outcome
}

// newStreamRelay returns a relay that must be stopped.
func newStreamRelay(a *attempt, response *exchange.Response) *streamRelay {
	r := &streamRelay{attempt: a, response: response, events: exchange.NewEventReader(response), room: make(chan struct{}, 1)}
	r.changed.L = &r.mu
	r.events.Meter = r.reserveEvent
	if a.placement.HasBackup() {
		r.events.ExpectWeights(strings.ToLower(a.request.server.headers.Weights), a.placement.WeightsVersion)
	}
	a.request.server.blockedWrites.register(r)
	return r
}

// run relays events until the response has ended and the client has all of them. It fails if the
// client accepts no more.
func (r *streamRelay) run() (*streamEnd, error) {
	for r.end == nil {
		event, end := r.take()
		if end != nil {
			r.end = end
			break
		}
		if err := r.writeDirectly(event); err != nil {
			return nil, err
		}
	}
	return r.end, nil
}

// take returns the event that the read-ahead goroutine has left, or else the next one.
func (r *streamRelay) take() (exchange.Event, *streamEnd) {
	if event := r.handedOver; event != nil {
		r.handedOver = nil
		return *event, nil
	}
	return r.next()
}

// next reads the next event that no earlier attempt has contributed, or keep-alives after the first
// event, or returns how the response has ended. Keep-alives neither stop the response timer nor
// prove that the endpoint can answer.
func (r *streamRelay) next() (exchange.Event, *streamEnd) {
	a, c := r.attempt, r.attempt.request
	for {
		r.releaseEvent()
		event, err := r.events.Next()
		if err != nil {
			r.releaseEvent()
			return event, r.recordEnd(err)
		}
		if r.keepAlive = event.KeepAlive; event.KeepAlive {
			if c.responseStarted {
				return event, nil
			}
			r.early = append(r.early, event.Raw...)
			continue
		}
		a.stopResponseTimer()
		a.recordResponse()
		if event.HasID && c.hasLastEventNumber && event.ID <= c.lastEventNumber {
			continue // an earlier attempt has contributed it
		}
		c.endPause()
		c.observeEvent(r.response, event, a.placement.Endpoint.Software)
		if len(r.early) > 0 {
			event.Raw, r.early = append(r.early, event.Raw...), nil
		}
		return event, nil
	}
}

// recordEnd records the end of the response.
func (r *streamRelay) recordEnd(err error) *streamEnd {
	a := r.attempt
	a.weightsChanged = a.weightsChanged || r.events.WeightsChanged()
	if err == io.EOF && r.response.EndsWithConnection() {
		a.noProof = true
		if a.firstResponseAt == 0 {
			err = io.ErrUnexpectedEOF // no event came, so nothing tells this from a crash
		}
	}
	switch {
	case err == io.EOF:
		a.stopResponseTimer()
		a.recordResponse()
		a.recordOutcome(dispatch.Completed)
		return &streamEnd{complete: true}
	case r.isAborted():
		r.response.Close()
		a.stopResponseTimer()
		a.recordOutcome(dispatch.Cancelled)
		return &streamEnd{outcome: dispatch.Cancelled}
	}
	r.response.Close()
	return &streamEnd{outcome: a.recordFailure(&engine.InterruptedError{Attempt: a.id, Cause: err})}
}

func (r *streamRelay) isAborted() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.aborted
}

// writeDirectly writes an event to the client. If the write blocks for too long, the read-ahead
// goroutine reads meanwhile, and the client gets what that has read.
func (r *streamRelay) writeDirectly(event exchange.Event) error {
	c := r.attempt.request
	r.writeStartedAt.Store(int64(r.readAt()))
	r.phase.Store(writingDirectly)
	err := c.writeEvent(event)
	if r.phase.CompareAndSwap(writingDirectly, readyToWrite) {
		if err == nil && !event.KeepAlive {
			r.attempt.beginPause()
			r.attempt.armResponseTimer(r.attempt.eventGapTimeout())
		}
		return err
	}
	if err != nil {
		return err
	}
	return r.writeQueue()
}

// readAt returns when the event or keep-alive that is written next was read.
func (r *streamRelay) readAt() tables.Instant {
	if r.keepAlive {
		return r.attempt.request.now()
	}
	return r.attempt.request.lastEventAt
}

// writeQueue writes what the read-ahead goroutine reads until that has ended.
func (r *streamRelay) writeQueue() error {
	c := r.attempt.request
	control := http.NewResponseController(c.w)
	for {
		event, more := r.dequeue()
		if !more {
			return nil
		}
		if err := c.writePieces(r.holder, event.raw); err != nil {
			return err
		}
		if r.written(event) {
			if err := control.Flush(); err != nil {
				return err
			}
		}
	}
}

// dequeue takes the next event from the queue. It returns false if the queue is empty and the
// read-ahead goroutine has ended; the calling goroutine reads the response again then.
func (r *streamRelay) dequeue() (queuedEvent, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for len(r.queue) == 0 && !r.readDone {
		r.writerWaits = true
		r.signalRoom()
		r.changed.Wait()
	}
	r.writerWaits = false
	if len(r.queue) == 0 {
		r.phase.Store(readyToWrite)
		return queuedEvent{}, false
	}
	event := r.queue[0]
	r.queue[0] = queuedEvent{}
	r.queue = r.queue[1:]
	return event, true
}

// written gives back the bytes of an event that the client has, and reports whether the queue is
// empty.
func (r *streamRelay) written(event queuedEvent) (empty bool) {
	r.holder.Release(event.reserved)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.queuedBytes -= event.reserved
	r.signalRoom()
	return len(r.queue) == 0
}

// signalRoom wakes the read-ahead goroutine if it waits for room.
func (r *streamRelay) signalRoom() {
	select {
	case r.room <- struct{}{}:
	default:
	}
}

// cancel ends a response whose client accepts no more. The read-ahead goroutine has ended.
func (r *streamRelay) cancel() {
	if r.end == nil {
		r.response.Close()
		r.attempt.recordOutcome(dispatch.Cancelled)
	}
}

// stop ends the read-ahead goroutine, if there is one, and waits for it.
func (r *streamRelay) stop() {
	r.attempt.request.server.blockedWrites.unregister(r)
	if r.phase.CompareAndSwap(writingDirectly, readyToWrite) || r.phase.Load() == readyToWrite {
		return
	}
	r.mu.Lock()
	r.aborted = true
	r.mu.Unlock()
	r.attempt.cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.readDone {
		r.changed.Wait()
	}
	r.phase.Store(readyToWrite)
}
