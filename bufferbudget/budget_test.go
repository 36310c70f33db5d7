package bufferbudget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// reader opens an evictable holder with so many bytes that made progress at the given time.
func reader(b *Budget, account string, bytes int64, progressAt time.Duration, evicted *[]string, name string) *Holder {
	h := b.Open(account, Stream)
	h.Reserve(bytes)
	h.Evictable(progressAt, func() { *evicted = append(*evicted, name) })
	return h
}

func disconnect(victims []Victim) {
	for _, v := range victims {
		v.Disconnect()
	}
}

// Guards against an instance that holds more than its budget, or that loses bytes when holders
// are closed twice or released late.
func TestReservationsStayWithinBudget(t *testing.T) {
	b := New(100)
	body, stream := b.Open("a", RequestBody), b.Open("b", Stream)
	assert.Assert(t, body.Reserve(60))
	assert.Assert(t, !stream.Reserve(41))
	assert.Assert(t, stream.Reserve(40))
	assert.Equal(t, b.Used(), int64(100))
	assert.Equal(t, b.UsedBy(Stream), int64(40))
	stream.Close()
	stream.Close()
	stream.Release(40)
	assert.Assert(t, !stream.Reserve(1))
	body.Close()
	assert.Equal(t, b.Used(), int64(0))
	assert.Equal(t, len(b.accounts), 0)
}

// Guards against the eviction of a small organisation's reader for the bytes of a large one, and
// of a reader that makes progress.
func TestLongestStalledReaderOfLargestAccountIsEvictedFirst(t *testing.T) {
	b := New(134)
	var evicted []string
	reader(b, "small", 20, 0, &evicted, "small")
	late := reader(b, "large", 30, time.Second, &evicted, "late")
	early := reader(b, "large", 30, 500*time.Millisecond, &evicted, "early")
	moving := reader(b, "large", 20, 0, &evicted, "moving")
	moving.Progress(9 * time.Second)
	disconnect(b.Evict(9*time.Second+500*time.Millisecond, Stream, 10))
	assert.DeepEqual(t, evicted, []string{"early"})
	// What is being evicted makes room for the same bytes only once.
	disconnect(b.Evict(9*time.Second+500*time.Millisecond, Stream, 30))
	assert.DeepEqual(t, evicted, []string{"early"})
	disconnect(b.Evict(9*time.Second+500*time.Millisecond, Stream, 31))
	assert.DeepEqual(t, evicted, []string{"early", "late"})
	early.Close()
	late.Close()
	assert.Equal(t, b.Used(), int64(40))
	// The largest account has no stalled reader left, so that the next one's is evicted.
	disconnect(b.Evict(9*time.Second+500*time.Millisecond, Stream, 70))
	assert.DeepEqual(t, evicted, []string{"early", "late", "small"})
}

// Guards against the eviction of readers that are merely slow for a moment, and of all readers
// for a reservation that can never fit.
func TestReadersAreNotEvictedInVain(t *testing.T) {
	b := New(134)
	var evicted []string
	reader(b, "a", 100, 0, &evicted, "a")
	assert.Equal(t, len(b.Evict(minStall-1, Stream, 10)), 0)
	assert.Equal(t, len(b.Evict(time.Minute, Stream, 101)), 0)
	assert.Equal(t, len(b.Evict(minStall, Stream, 10)), 1)
}

// Guards against waiting reservations that are overtaken, that wait for those of an organisation
// with more bytes, or that keep their bytes after they were cancelled.
func TestWaitingReservationsAreServedInOrder(t *testing.T) {
	b := New(134)
	first, second, third := b.Open("a", Stream), b.Open("b", Stream), b.Open("c", Stream)
	assert.Assert(t, first.Reserve(90))
	small, large := first.Wait(20), second.Wait(50)
	assert.Assert(t, !large.IsGranted() && !small.IsGranted())
	assert.Assert(t, !third.Reserve(1))
	first.Release(50)
	// The account with fewer bytes is served first, although it has waited less.
	assert.Assert(t, large.IsGranted() && !small.IsGranted())
	first.Release(10)
	assert.Assert(t, large.IsGranted() && small.IsGranted())
	large.Cancel()
	assert.Equal(t, second.Bytes(), int64(0))
	waiting := third.Wait(70)
	third.Close()
	assert.Equal(t, b.FirstWaiting(), int64(0))
	waiting.Cancel()
	first.Close()
	second.Close()
	assert.Equal(t, b.Used(), int64(0))
}

// Guards against request bodies that are rejected because slow readers occupy the budget.
func TestQueuesLeaveRoomForRequestBodies(t *testing.T) {
	b := New(134)
	assert.Assert(t, b.Open("a", Stream).Reserve(100))
	assert.Assert(t, !b.Open("a", Stream).Wait(1).IsGranted())
	body := b.Open("b", RequestBody)
	assert.Assert(t, body.Reserve(34))
	assert.Assert(t, !body.Reserve(1))
}

// Guards against responses that hold parts of the budget and wait for each other forever.
func TestOneResponseMayExceedTheBudget(t *testing.T) {
	b := New(134)
	first, second := b.Open("a", Response), b.Open("b", Response)
	assert.Assert(t, first.Reserve(50) && second.Reserve(50))
	assert.Assert(t, first.Wait(30).IsGranted())
	assert.Assert(t, first.Reserve(30))
	waiting := second.Wait(30)
	assert.Assert(t, !waiting.IsGranted())
	first.Close()
	assert.Assert(t, waiting.IsGranted())
	second.Close()
	assert.Equal(t, b.Used(), int64(0))
}

// Guards against a response that keeps the others from exceeding the budget for as long as its
// caller reads, although the budget fits again.
func TestAnotherResponseMayExceedOnceTheBudgetFits(t *testing.T) {
	b := New(134)
	first, second, third := b.Open("a", Response), b.Open("b", Response), b.Open("c", Response)
	assert.Assert(t, first.Reserve(40) && second.Reserve(50) && third.Reserve(10))
	assert.Assert(t, first.Wait(20).IsGranted())
	waiting := second.Wait(60)
	assert.Assert(t, !waiting.IsGranted())
	third.Release(10)
	assert.Assert(t, !waiting.IsGranted())
	first.Release(10)
	assert.Assert(t, waiting.IsGranted())
	assert.Assert(t, !first.Reserve(1))
	first.Close()
	second.Close()
	third.Close()
	assert.Equal(t, b.Used(), int64(0))
}

// Guards against small bodies that are rejected while a few callers stop in long ones, and against a long one that is
// rejected though nobody else holds anything.
func TestLongBodiesLeaveRoomForSmallOnes(t *testing.T) {
	const limit = 8 << 20
	b := New(limit)
	alone := b.Open("o", RequestBody)
	assert.Assert(t, alone.Reserve(limit))
	assert.Assert(t, !b.Open("o", RequestBody).Reserve(1))
	alone.Close()

	long := b.Open("o", RequestBody)
	assert.Assert(t, long.Reserve(limit/2))
	assert.Assert(t, !b.Open("o", RequestBody).Reserve(limit/2))
	assert.Assert(t, b.Open("o", RequestBody).Reserve(limit/2-limit/smallBodyDivisor))
	for range limit / smallBodyDivisor / smallBodyBytes {
		assert.Assert(t, b.Open("o", RequestBody).Reserve(smallBodyBytes))
	}
	assert.Equal(t, b.Used(), int64(limit))
}

// Guards against headers that use up the budget of bodies, and against requests that are rejected for their headers
// while bodies use it up.
func TestHeadersHaveAShareOfTheirOwn(t *testing.T) {
	const limit = 1 << 20
	b := New(limit)
	headers, body := b.Open("", Header), b.Open("o", RequestBody)
	assert.Assert(t, body.Reserve(limit))
	assert.Assert(t, headers.Reserve(limit/headerShareDivisor))
	assert.Assert(t, !headers.Reserve(1))
	body.Close()
	assert.Assert(t, !b.Open("o", RequestBody).Reserve(limit))
	assert.Assert(t, b.Open("o", RequestBody).Reserve(limit-limit/headerShareDivisor))
}

// Guards against a caller that stops in its body and holds its bytes until its deadline.
func TestStalledBodyIsEvictedForAnother(t *testing.T) {
	b := New(1 << 20)
	stalled := b.Open("o", RequestBody)
	assert.Assert(t, stalled.Reserve(900<<10))
	disconnected := false
	stalled.Evictable(0, func() { disconnected = true })
	assert.Equal(t, len(b.Evict(minStall-1, RequestBody, 500<<10)), 0)
	for _, victim := range b.Evict(minStall, RequestBody, 500<<10) {
		victim.Disconnect()
	}
	assert.Assert(t, disconnected)
	read := b.Open("o", RequestBody)
	read.Evictable(0, func() { t.Error("a body that was read is evicted") })
	read.Unevictable()
	assert.Equal(t, len(b.Evict(time.Hour, RequestBody, 1<<20)), 0)
}
