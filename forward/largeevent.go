package forward

import "github.com/carawaystile/carawaystile/bufferbudget"

// reserveEvent reserves bytes of a large event that is being read. While they do not fit, the
// endpoint is not read. Like a buffered response, one event at a time may exceed the budget:
// parts of events would wait for each other otherwise.
func (r *streamRelay) reserveEvent(bytes int) error {
	a := r.attempt
	if r.eventHolder == nil {
		r.eventHolder = a.request.openBuffer(bufferbudget.Response)
	}
	if r.eventHolder.Reserve(int64(bytes)) {
		return nil
	}
	a.stopResponseTimer()
	if err := a.request.server.awaitRoom(a.ctx, r.eventHolder, int64(bytes)); err != nil {
		return err
	}
	if a.firstResponseAt == 0 {
		a.armResponseTimer(a.firstResponseTimeout())
	} else {
		a.armResponseTimer(a.eventGapTimeout())
	}
	return nil
}

// releaseEvent gives back the bytes of the last event, which is written or queued.
func (r *streamRelay) releaseEvent() {
	if r.eventHolder != nil {
		r.eventHolder.Release(r.eventHolder.Bytes())
	}
}
