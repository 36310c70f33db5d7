package forward

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/systems/admission"
	"github.com/carawaystile/carawaystile/tables"
)

// joinQueue adds a request that may wait for a minute.
func joinQueue(t *testing.T, q *waitQueue, now tables.Instant, w waiter) *waiter {
	t.Helper()
	w.target, w.arrivedAt = time.Minute, now
	w.setLimits(now, 0, false)
	_, joined := q.join(now, &w)
	assert.Assert(t, joined)
	return &w
}

// Guards against small requests that are never asked for because the requests of many
// organisations, or many sizes, wait behind a refused one.
func TestRequestsBehindRefusedOnesDoNotHideOthers(t *testing.T) {
	q, now := newWaitQueue(), time.Second
	for i := range 20 {
		joinQueue(t, q, now, waiter{organisation: fmt.Sprintf("org%d", i), prompt: 6000})
	}
	for size := 6000; size < 6000<<8; size *= 2 {
		joinQueue(t, q, now, waiter{organisation: "sizes", prompt: size})
	}
	refused, _ := q.next(now)
	q.full(now, refused, 30*time.Millisecond)
	// Start tags are equal, so those of the first organisations come first.
	small := joinQueue(t, q, now, waiter{organisation: "small", prompt: 500})
	next, _ := q.next(now)
	assert.Equal(t, next, small)
	q.full(now, small, 30*time.Millisecond)
	sameOrganisation := joinQueue(t, q, now, waiter{organisation: "sizes", prompt: 100})
	next, _ = q.next(now)
	assert.Equal(t, next, sameOrganisation)
}

// Guards against a request that waits for another one's result and blocks those of the same
// organisation and size behind it.
func TestDeferredRequestDoesNotBlockItsSize(t *testing.T) {
	q, now := newWaitQueue(), time.Second
	joinQueue(t, q, now, waiter{organisation: "org", prompt: 500})
	second := joinQueue(t, q, now, waiter{organisation: "org", prompt: 500})
	first, _ := q.next(now)
	q.postpone(now, first, true)
	next, _ := q.next(now)
	assert.Equal(t, next, second)
}

// Guards against a retry, which may not go to some endpoints, and a request for another model
// holding back requests for which there is capacity.
func TestRefusalHoldsBackOnlyRequestsThatNeedTheSame(t *testing.T) {
	q, now := newWaitQueue(), time.Second
	retry := joinQueue(t, q, now, waiter{organisation: "a", model: "m", prompt: 500, restricted: true})
	large := joinQueue(t, q, now, waiter{organisation: "b", model: "m", prompt: 500})
	first, _ := q.next(now)
	assert.Equal(t, first, retry)
	q.full(now, retry, 30*time.Millisecond)
	next, _ := q.next(now)
	assert.Equal(t, next, large, "the refused retry held back a first attempt")
	q.full(now, large, 30*time.Millisecond)
	next, again := q.next(now)
	assert.Assert(t, next == nil)
	assert.Equal(t, again, now+30*time.Millisecond, "a retry asks again after the named wait")
	other := joinQueue(t, q, now, waiter{organisation: "c", model: "other", prompt: 500})
	next, _ = q.next(now)
	assert.Equal(t, next, other, "a refusal for one model held back another model")
}

// Guards against a scan of all waiting requests for each one that arrives, which costs most when
// the service is saturated.
func TestNothingIsScannedUntilARequestMayAsk(t *testing.T) {
	q, now := newWaitQueue(), time.Second
	first := joinQueue(t, q, now, waiter{organisation: "org", prompt: 500})
	q.next(now)
	q.full(now, first, 30*time.Millisecond)
	_, again := q.next(now)
	assert.Equal(t, again, now+30*time.Millisecond)
	joinQueue(t, q, now, waiter{organisation: "org", prompt: 600})
	assert.Equal(t, testing.AllocsPerRun(100, func() { q.next(now) }), 0.0, "a scan allocates")
	small := joinQueue(t, q, now, waiter{organisation: "org", prompt: 300})
	next, _ := q.next(now)
	assert.Equal(t, next, small)
	q.placed(now, small)
	next, _ = q.next(now + 30*time.Millisecond)
	assert.Assert(t, next != nil, "the round has ended")
}

// Guards against memory that grows with the organisations that were ever seen, and against one
// that has had more than its share getting it again because it was forgotten.
func TestIdleOrganisationsAreForgotten(t *testing.T) {
	q, now := newWaitQueue(), time.Second
	served := func(name string) {
		w := joinQueue(t, q, now, waiter{organisation: name, prompt: 500})
		q.next(now)
		q.placed(now, w)
	}
	for i := range 2000 {
		now += 100 * time.Millisecond
		served(fmt.Sprintf("org%d", i))
		// Shares are due while requests wait.
		served("steady")
	}
	assert.Assert(t, len(q.flows) < 1000, "%d organisations", len(q.flows))
	assert.Assert(t, q.flowCount < 1000, "%d numbers", q.flowCount)
	_, known := q.flows["steady"]
	assert.Assert(t, known)
}

// Guards against an organisation that fills the queue for all others.
func TestMaximumLengthIsThatOfAnOrganisation(t *testing.T) {
	q, now := newWaitQueue(), time.Second
	for range admission.MaxQueued {
		joinQueue(t, q, now, waiter{organisation: "greedy", prompt: 500})
	}
	more := &waiter{organisation: "greedy", prompt: 500, target: time.Minute, arrivedAt: now}
	more.setLimits(now, 0, false)
	_, joined := q.join(now, more)
	assert.Assert(t, !joined)
	joinQueue(t, q, now, waiter{organisation: "greedy", priority: 1, prompt: 500})
	joinQueue(t, q, now, waiter{organisation: "other", prompt: 500})
}

// Guards against an organisation that loses its turns by attempts that reached no process.
func TestRefundRestoresTheOrder(t *testing.T) {
	q, now := newWaitQueue(), time.Second
	failed := joinQueue(t, q, now, waiter{organisation: "a", prompt: 5000})
	joinQueue(t, q, now, waiter{organisation: "a", prompt: 500})
	other := joinQueue(t, q, now, waiter{organisation: "b", prompt: 500})
	q.placed(now, failed)
	next, _ := q.next(now)
	assert.Equal(t, next, other)
	q.placed(now, other)
	q.refund(now, failed)
	assert.Equal(t, q.classes[0].placed.value(now, classShareDecay), 500.0)
	third := joinQueue(t, q, now, waiter{organisation: "b", prompt: 500})
	next, _ = q.next(now)
	assert.Assert(t, next != third)
	q.refund(now, failed)
	assert.Equal(t, q.classes[0].placed.value(now, classShareDecay), 500.0, "refunded twice")
}
