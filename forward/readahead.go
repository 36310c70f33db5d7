package forward

import (
	"github.com/carawaystile/carawaystile/bufferbudget"
	"github.com/carawaystile/carawaystile/engine/exchange"
)

// readAhead reads events into the queue while the client's goroutine is blocked in a write; if
// that is not, it does nothing. It runs in a goroutine of its own. Until it sets readDone, it alone uses the response
// and the state of the attempt.
func (r *streamRelay) readAhead() {
	c := r.attempt.request
	r.mu.Lock()
	if !r.phase.CompareAndSwap(writingDirectly, readingAhead) {
		r.mu.Unlock()
		return
	}
	r.readDone = false
	if r.holder == nil {
		r.holder = c.openBuffer(bufferbudget.Stream)
		r.holder.Evictable(c.now(), c.disconnect)
	} else {
		r.holder.Progress(c.now())
	}
	r.mu.Unlock()
	for {
		if !r.keepAlive {
			r.attempt.beginPause()
		}
		r.attempt.armResponseTimer(r.attempt.eventGapTimeout())
		event, end := r.next()
		if end != nil {
			r.finishReading(end)
			return
		}
		r.attempt.stopResponseTimer() // the endpoint may not be read while the queue is full
		if ended := r.enqueue(event); ended {
			return
		}
	}
}

// finishReading ends the read-ahead goroutine.
func (r *streamRelay) finishReading(end *streamEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end = end
	r.readDone = true
	r.changed.Broadcast()
}

// queuedEventBytes is the memory of a queued event beside its bytes.
const queuedEventBytes = 64

// enqueue appends an event to the queue. It waits until there is room in the queue and in the
// budget; meanwhile the endpoint is not read. It reports whether it has ended the read-ahead
// goroutine.
func (r *streamRelay) enqueue(event exchange.Event) (ended bool) {
	bytes := int64(cap(event.Raw)) + queuedEventBytes
	result := r.offer(&event, bytes, nil)
	if result == queued || result == returned {
		return result == returned
	}
	s := r.attempt.request.server
	s.buffers.waitingStreams.Add(1)
	defer s.buffers.waitingStreams.Add(-1)
	var waiter *bufferbudget.Waiter
	var granted <-chan struct{}
	for result == queueFull || result == budgetUsedUp {
		if result == budgetUsedUp && waiter == nil {
			waiter = r.holder.Wait(bytes)
			granted = waiter.Granted()
			s.armEviction()
		}
		select {
		case <-r.room:
		case <-granted:
		case <-r.attempt.ctx.Done():
			waiter.Cancel()
			r.enqueueBeyondLimits(event)
			r.finishReading(r.recordEnd(r.attempt.ctx.Err()))
			return true
		}
		result = r.offer(&event, bytes, waiter)
	}
	return result == returned
}

// enqueueBeyondLimits appends the event that was read last when the attempt ends, without a
// reservation. A resumption continues after that event, so that the client would never get it
// otherwise. It does nothing if the client is gone.
func (r *streamRelay) enqueueBeyondLimits(event exchange.Event) {
	if r.attempt.request.r.Context().Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.aborted {
		r.queue = append(r.queue, queuedEvent{raw: event.Raw})
		r.changed.Broadcast()
	}
}

// offerResult says what has become of an event.
type offerResult int

const (
	// queued means that the event is in the queue.
	queued offerResult = iota
	// returned means that the client has caught up: the event and the reading of the response
	// are handed over to the writer, and the read-ahead goroutine ends.
	returned
	queueFull
	budgetUsedUp
)

// offer tries to enqueue an event. The waiter is for its bytes; nil for none.
func (r *streamRelay) offer(event *exchange.Event, bytes int64, waiter *bufferbudget.Waiter) offerResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.writerWaits:
		waiter.Cancel()
		r.handedOver = event
		r.readDone = true
		r.changed.Broadcast()
		return returned
	case r.queuedBytes > 0 && r.queuedBytes+bytes > maxQueueBytes:
		return queueFull
	case waiter == nil && !r.holder.Reserve(bytes), waiter != nil && !waiter.IsGranted():
		return budgetUsedUp
	}
	r.queue = append(r.queue, queuedEvent{raw: event.Raw, reserved: bytes})
	r.queuedBytes += bytes
	r.changed.Broadcast()
	return queued
}
