package shares

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// contended returns totals by which greedy leads, middle is next, and last has had least.
func contended(now time.Duration) *Totals {
	var totals Totals
	totals.Placed(now, key("greedy"), Request{Model: "other", Tokens: 10_000})
	totals.Placed(now, key("middle"), Request{Model: "other", Tokens: 6_000})
	totals.Placed(now, key("last"), Request{Model: "other", Tokens: 100})
	totals.TakePlaced(now, 64)
	return &totals
}

// Guards against memory that is kept from small requests because a large one yields to a large one.
func TestYieldForMemoryHoldsBackOnlyLargeRequests(t *testing.T) {
	now := time.Second
	small, large := Request{Model: "m", Tokens: 100}, Request{Model: "m", Tokens: 10_000}
	totals := contended(now)
	totals.Refused(now, key("last"), large, LacksMemory)
	assert.Assert(t, totals.Yields(now, key("middle"), large))
	totals.Refused(now, key("middle"), large, Yielded)
	assert.Assert(t, !totals.Yields(now, key("greedy"), small))
	assert.Assert(t, totals.Yields(now, key("greedy"), large))
	assert.Equal(t, len(totals.TakePlaced(now, 64)), 0, "it lacks memory")
	totals.Refused(now, key("last"), small, Saturated)
	totals.Refused(now, key("middle"), large, Yielded)
	totals.Placed(now, key("last"), small)
	assert.Assert(t, totals.Yields(now, key("greedy"), small), "middle waits for shorter queues")
}

// Guards against capacity that is kept for requests at other placers while only large ones lack
// memory here.
func TestLackOfMemoryIsNoSaturation(t *testing.T) {
	now := time.Second
	small, large := Request{Model: "m", Tokens: 100}, Request{Model: "m", Tokens: 10_000}
	totals := contended(now)
	totals.RecordPlaced(now, key("last"), "there", 0)
	totals.Refused(now, key("greedy"), large, LacksMemory)
	assert.Assert(t, !totals.Yields(now, key("greedy"), small))
	totals.Refused(now, key("greedy"), small, Saturated)
	assert.Assert(t, totals.Yields(now, key("greedy"), small))
}

// Guards against capacity that is kept for a request that has been placed, or for one of the
// organisation that yields.
func TestPlacedRequestHoldsBackNobody(t *testing.T) {
	now := time.Second
	r := Request{Model: "m", Tokens: 100}
	totals := contended(now)
	totals.Refused(now, key("last"), r, Saturated)
	assert.Assert(t, totals.Yields(now, key("greedy"), r))
	totals.Placed(now, key("last"), r)
	assert.Assert(t, !totals.Yields(now, key("greedy"), r))
	totals.Refused(now, key("last"), r, Saturated)
	totals.RecordPlaced(now, key("last"), "there", 0)
	totals.Placed(now, key("last"), Request{Model: "other", Tokens: 100_000})
	assert.Assert(t, !totals.Yields(now, key("last"), r), "its own refusals")
	totals.Placed(now, key("new"), Request{Model: "other", Tokens: 100_000})
	assert.Assert(t, totals.Yields(now, key("new"), r), "requests for another model do not count")
}

// Guards against reports of organisations that have stopped waiting.
func TestOldMarksAreNotReported(t *testing.T) {
	var totals Totals
	now := time.Second
	for i := range 2000 {
		totals.Refused(now, key(fmt.Sprint(i)), Request{Model: "m", Tokens: 100}, Saturated)
	}
	assert.Equal(t, len(totals.TakePlaced(now, 10)), 10)
	now += elsewhereWindow
	totals.Refused(now, key("1500"), Request{Model: "m", Tokens: 100}, Saturated)
	totals.Placed(now, key("1900"), Request{Model: "m", Tokens: 100})
	assert.DeepEqual(t, totals.TakePlaced(now, 10), []Cost{{Key: key("1500")}, {Key: key("1900"), Total: 100}})
}
