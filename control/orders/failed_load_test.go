package orders

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/tables"
)

// Guards against slots of engines whose loads fail again and again.
func TestFailedLoadsHoldNoSlotForGood(t *testing.T) {
	answer := func(err error) func(*fakeEngine) {
		return func(e *fakeEngine) { e.order = func(context.Context) error { return err } }
	}
	for name, fail := range map[string]func(*fakeEngine){
		"accepts and loads nothing": answer(nil),
		"refuses the order":         answer(&engine.UnexpectedStatusError{Status: http.StatusBadRequest}),
		"has seen a newer fence":    answer(&engine.StaleFencingTokenError{}),
		"pushes back":               answer(&engine.PushbackError{RetryAfter: time.Second}),
		"crashes in its load":       func(e *fakeEngine) { e.crashes = true },
	} {
		f := newSimulation(t, 1, 6)
		failing := f.configuration.Endpoints[:2]
		for _, endpoint := range failing {
			fail(f.engines[endpoint.Address])
		}
		f.advance(time.Minute)
		assert.Assert(t, f.othersServe("w1", failing), name)
		for _, endpoint := range failing {
			f.engines[endpoint.Address].order, f.engines[endpoint.Address].crashes = nil, false
		}
		f.advance(maxLoadDuration)
		assert.Assert(t, f.allServe("w1"), name)
	}
}

// Guards against slots of engines that answer reads, but no order: each may have been accepted.
func TestUnansweredOrdersHoldTheirSlotsForTheLongestLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulation(t, 1, 6)
		failing := f.configuration.Endpoints[:2]
		for _, endpoint := range failing {
			f.engines[endpoint.Address].order = func(ctx context.Context) error {
				<-ctx.Done()
				return ctx.Err()
			}
		}
		f.advance(maxLoadDuration - time.Minute)
		assert.Equal(t, len(f.state.Loads()), 2)
		f.advance(2 * time.Minute)
		assert.Assert(t, f.othersServe("w1", failing))
	})
}

// Guards against a load that fails and keeps its endpoint from loading what else is missing.
func TestFailedLoadDoesNotHoldUpOthersOfItsEndpoint(t *testing.T) {
	f := newSimulation(t, 1, 1)
	f.configuration.Models = append([]tables.Model{{Name: "broken", Weights: "w9"}}, f.configuration.Models...)
	f.configuration.Endpoints[0].Models = []tables.ModelName{"broken", "m"}
	f.engines[f.configuration.Endpoints[0].Address].refused = "w9"
	f.advance(time.Minute)
	assert.Assert(t, f.allServe("w1"))
}
