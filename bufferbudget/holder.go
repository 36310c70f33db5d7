package bufferbudget

import (
	"slices"

	"github.com/carawaystile/carawaystile/tables"
)

// Holder holds bytes of a budget for one request, response, stream or connection. It is safe for
// concurrent use.
type Holder struct {
	budget  *Budget
	account *account
	kind    Kind

	// The fields below are guarded by the budget's mutex.
	bytes           int64
	closed, evicted bool
	// disconnect ends the reader; nil if the holder cannot be evicted.
	disconnect func()
	// progressAt is when the reader last made progress.
	progressAt tables.Instant
}

// Kind returns what the bytes are held for.
func (h *Holder) Kind() Kind { return h.kind }

// Evictable makes the holder evictable: its bytes wait for a reader that disconnect ends.
func (h *Holder) Evictable(now tables.Instant, disconnect func()) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.disconnect, h.progressAt = disconnect, now
}

// Unevictable ends what Evictable began.
func (h *Holder) Unevictable() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.disconnect = nil
}

// Progress records that the reader has accepted data.
func (h *Holder) Progress(now tables.Instant) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.progressAt = now
}

// Bytes returns the bytes that the holder has reserved.
func (h *Holder) Bytes() int64 {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.bytes
}

// Reserve reserves bytes and reports whether they fit into the budget. It also fails if the holder
// is closed or evicted, and for bytes that may wait while others do, so that these are not
// overtaken.
func (h *Holder) Reserve(bytes int64) bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed || h.evicted {
		return false
	}
	if h.kind == RequestBody && !b.fitsBody(h.bytes, bytes, 0) {
		return false
	}
	overtakes := h.kind.mayWait() && len(b.waiters) > 0
	if h != b.overLimit && (overtakes || !b.fits(h.kind, bytes, 0)) {
		return false
	}
	h.add(bytes)
	return true
}

// Release gives bytes back; after Close it does nothing.
func (h *Holder) Release(bytes int64) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return
	}
	h.add(-bytes)
	b.grant()
}

// Close gives all bytes back. It may be called more than once.
func (h *Holder) Close() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return
	}
	h.add(-h.bytes)
	h.closed = true
	delete(h.account.holders, h)
	if len(h.account.holders) == 0 {
		delete(b.accounts, h.account.name)
	}
	if b.overLimit == h {
		b.overLimit = nil
	}
	b.waiters = slices.DeleteFunc(b.waiters, func(w *Waiter) bool { return w.holder == h })
	b.grant()
}

// add changes the bytes of the holder. The caller holds the budget's mutex.
func (h *Holder) add(bytes int64) {
	h.bytes += bytes
	h.budget.used += bytes
	h.budget.byKind[h.kind] += bytes
	if h.evicted {
		h.budget.evicting += bytes
		return
	}
	h.account.bytes += bytes
}

// Waiter is a reservation that waits for room.
type Waiter struct {
	holder  *Holder
	bytes   int64
	granted chan struct{}
}

// Wait reserves bytes as soon as they fit. Reservations of the account with the fewest bytes are
// served first, so that one organisation's slow readers do not hold up the others. One response at a time
// may exceed the budget and does not wait: responses that each hold a part of the budget would
// otherwise wait for each other forever. Once the budget fits again, this is another response's turn.
func (h *Holder) Wait(bytes int64) *Waiter {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	w := &Waiter{holder: h, bytes: bytes, granted: make(chan struct{})}
	if !h.closed {
		b.waiters = append(b.waiters, w)
		b.grant()
	}
	return w
}

// Granted returns a channel that is closed once the bytes are reserved. It is never closed if the
// holder is closed first.
func (w *Waiter) Granted() <-chan struct{} { return w.granted }

// IsGranted reports whether the bytes are reserved.
func (w *Waiter) IsGranted() bool {
	select {
	case <-w.granted:
		return true
	default:
		return false
	}
}

// Cancel gives up the reservation, also if it was granted. On nil it does nothing.
func (w *Waiter) Cancel() {
	if w == nil {
		return
	}
	b := w.holder.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if i := slices.Index(b.waiters, w); i >= 0 {
		b.waiters = slices.Delete(b.waiters, i, i+1)
	} else if !w.holder.closed {
		w.holder.add(-w.bytes)
	}
	b.grant()
}

// grant serves waiters for whom there is room. The caller holds the mutex.
func (b *Budget) grant() {
	if b.fits(Response, 0, 0) {
		b.overLimit = nil
	}
	for len(b.waiters) > 0 {
		i := b.nextWaiter()
		if !b.fits(b.waiters[i].holder.kind, b.waiters[i].bytes, 0) {
			break
		}
		b.serve(i)
	}
	if b.overLimit != nil {
		return
	}
	i := slices.IndexFunc(b.waiters, func(w *Waiter) bool { return w.holder.kind == Response })
	if i >= 0 {
		b.overLimit = b.waiters[i].holder
		b.serve(i)
	}
}

// nextWaiter returns the index of the first waiter of the account with the fewest bytes among
// those that wait. There must be one.
func (b *Budget) nextWaiter() int {
	next := 0
	for i, w := range b.waiters {
		if w.holder.account.bytes < b.waiters[next].holder.account.bytes {
			next = i
		}
	}
	return next
}

// serve reserves the bytes of a waiter.
func (b *Budget) serve(i int) {
	w := b.waiters[i]
	b.waiters = slices.Delete(b.waiters, i, i+1)
	w.holder.add(w.bytes)
	close(w.granted)
}
