package orders

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// loading returns the endpoints that hold a slot of the weight store.
func (f *simulation) loading() []tables.Endpoint {
	var endpoints []tables.Endpoint
	for _, row := range f.state.Loads() {
		i := slices.IndexFunc(f.configuration.Endpoints, func(e tables.Endpoint) bool { return string(e.ID) == row.GetEndpoint() })
		endpoints = append(endpoints, f.configuration.Endpoints[i])
	}
	return endpoints
}

// othersServe reports whether all engines but those at the given endpoints serve the weights.
func (f *simulation) othersServe(want tables.WeightsVersion, but []tables.Endpoint) bool {
	for at, e := range f.engines {
		if e.weights != want && !slices.ContainsFunc(but, func(b tables.Endpoint) bool { return b.Address == at }) {
			return false
		}
	}
	return true
}

// Guards against engines that are counted as unreachable since reads of silent ones take the whole step.
func TestSilentEnginesDoNotKeepOthersFromBeingRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulation(t, 1, maxConcurrentReads+8)
		for _, endpoint := range f.configuration.Endpoints[:maxConcurrentReads+4] {
			f.engines[endpoint.Address].hangs = true
		}
		f.advance(time.Minute)
		for _, endpoint := range f.configuration.Endpoints[maxConcurrentReads+4:] {
			assert.Equal(t, string(f.engines[endpoint.Address].weights), "w1", "%s", endpoint.ID)
		}
	})
}

// Guards against a slot that nobody frees since its endpoint was removed, and is read no more, while it loaded.
func TestRemovedEndpointsHoldNoLoadSlotForGood(t *testing.T) {
	for name, seenLoading := range map[string]time.Duration{"ordered": stepInterval, "seen loading": 2 * stepInterval} {
		f := newSimulation(t, 1, 6)
		f.advance(seenLoading)
		removed := f.loading()
		assert.Equal(t, len(removed), 2, name)
		f.configuration.Endpoints = slices.DeleteFunc(slices.Clone(f.configuration.Endpoints), func(e tables.Endpoint) bool {
			return slices.ContainsFunc(removed, func(r tables.Endpoint) bool { return r.ID == e.ID })
		})
		f.advance(maxLoadDuration - time.Minute)
		assert.Equal(t, len(f.state.Loads()), 2, name)
		f.advance(2 * time.Minute)
		assert.Assert(t, f.othersServe("w1", removed), name)
	}
}

// Guards against a slot of a silent endpoint that each new holder of the lease keeps anew.
func TestSilentEndpointsHoldNoLoadSlotAcrossHolders(t *testing.T) {
	f := newSimulation(t, 2, 6)
	f.advance(stepInterval)
	silent := f.loading()
	assert.Equal(t, len(silent), 2)
	for _, endpoint := range silent {
		f.engines[endpoint.Address].unreachable = true
	}
	for passed := time.Duration(0); passed < maxLoadDuration+time.Minute; passed += time.Minute {
		holder := f.leaseHolder()
		for _, s := range f.instances {
			s.partitioned = s == holder
		}
		f.advance(time.Minute)
	}
	assert.Assert(t, f.othersServe("w1", silent))
}

// Guards against a slot of an endpoint that answers for ever that it is loading.
func TestLoadsThatNeverEndHoldNoSlotForGood(t *testing.T) {
	f := newSimulation(t, 1, 6)
	hung := f.configuration.Endpoints[:2]
	for _, endpoint := range hung {
		f.engines[endpoint.Address].loadTime = 1000 * time.Hour
	}
	f.advance(maxLoadDuration - time.Minute)
	assert.Equal(t, len(f.state.Loads()), 2)
	f.advance(3 * time.Minute)
	assert.Assert(t, f.othersServe("w1", hung))
	assert.Equal(t, f.instances[0].orders, len(f.engines), "a hung engine is ordered again")
}

// Guards against a load that an operator has ordered and that takes a slot for good.
func TestLoadsOfOthersThatNeverEndTakeNoSlotForGood(t *testing.T) {
	for _, silent := range []bool{false, true} {
		f := newSimulation(t, 1, 6)
		hung := f.configuration.Endpoints[:2]
		for _, endpoint := range hung {
			e := f.engines[endpoint.Address]
			e.loading, e.loadTime, e.loadedAt = "other", 1000*time.Hour, 1000*time.Hour
		}
		f.advance(time.Minute)
		for _, endpoint := range hung {
			f.engines[endpoint.Address].unreachable = silent
		}
		f.advance(maxLoadDuration + time.Minute)
		assert.Assert(t, f.othersServe("w1", hung), "silent: %v", silent)
	}
}

// Guards against a holder of the lease that renews it and reaches no engine, while another instance would.
func TestHolderThatReachesNoEngineGivesTheLeaseUp(t *testing.T) {
	f := newSimulation(t, 2, 4)
	f.advance(stepInterval)
	first := f.leaseHolder()
	first.isolated = true
	f.advance(time.Minute)
	assert.Assert(t, f.allServe("w1"))
	for _, s := range f.instances {
		s.isolated = true
	}
	f.advance(time.Minute)
	f.configuration.Models[0].Weights = "w2"
	first.isolated = false
	f.advance(time.Minute)
	assert.Assert(t, f.allServe("w2"))
}

// Guards against a lease that is given up since there is no engine to reach.
func TestHolderWithoutEnginesKeepsTheLease(t *testing.T) {
	f := newSimulation(t, 2, 0)
	f.advance(stepInterval)
	first := f.leaseHolder()
	f.advance(time.Minute)
	assert.Equal(t, f.leaseHolder(), first)
}
