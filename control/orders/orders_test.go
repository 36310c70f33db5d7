package orders

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/carawaystile/carawaystile/control/configuration"
	"github.com/carawaystile/carawaystile/control/state"
	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// fleet is a group with one copy of the state, engines that take time to load,
// and runners at several instances, all in virtual time.
type fleet struct {
	t       assert.TestingT
	mu      sync.Mutex
	now     time.Duration
	index   uint64
	state   *state.State
	wanted  *tables.Configuration
	engines map[netip.AddrPort]*fakeEngine
	// orders counts orders by who gave them.
	runners []*seat
	most    int
}

// seat is one instance: its runner, and whether it reaches the quorum. Its clock
// may run slower or faster than real time.
type seat struct {
	fleet  *fleet
	runner *Controller
	cut    bool
	rate   float64
	orders int
}

// fakeEngine ignores fencing numbers.
type fakeEngine struct {
	weights tables.WeightsVersion
	loading tables.WeightsVersion
	done    time.Duration
	deaf    bool
}

const loadTime = 3 * time.Second

func newFleet(t assert.TestingT, runners, engines int) *fleet {
	f := &fleet{t: t, state: state.New(state.DefaultLimits()), engines: map[netip.AddrPort]*fakeEngine{}}
	f.wanted = &tables.Configuration{WeightLoads: 2, Models: []tables.Model{{Name: "m", Weights: "w1"}}}
	for i := range engines {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 9000)
		f.engines[at] = &fakeEngine{}
		f.wanted.Endpoints = append(f.wanted.Endpoints, tables.Endpoint{
			ID: tables.EndpointID(fmt.Sprint("e", i)), Address: at, Models: []tables.ModelName{"m"},
		})
	}
	f.apply()
	for i := range runners {
		s := &seat{fleet: f, rate: 1}
		s.runner = NewController(Options{
			Executor:      s,
			Engines:       s,
			Instance:      tables.InstanceID(fmt.Sprint("i", i)),
			Boot:          1,
			Now:           func() tables.Instant { return time.Duration(float64(f.now) * s.rate) },
			Configuration: func() *tables.Configuration { return f.wanted },
			CountedLoads:  func() []*rpc.Load { return f.state.Loads() },
		})
		f.runners = append(f.runners, s)
	}
	return f
}

// apply has the limit of loads agreed.
func (f *fleet) apply() {
	items, err := configuration.Encode(*f.wanted)
	assert.NilError(f.t, err)
	f.index++
	result := f.state.Execute(f.index, &rpc.Command{Action: &rpc.Command_Apply{Apply: &rpc.ApplyConfiguration{
		Request: "r",
		Digest:  configuration.NewContent(items).Declared(),
		Changes: items,
	}}})
	assert.Assert(f.t, result.GetAccepted() != nil)
}

func (s *seat) Execute(_ context.Context, command *rpc.Command) (*rpc.Result, error) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	if s.cut {
		return nil, &tables.NoQuorumError{Operation: "command"}
	}
	s.fleet.index++
	command.Stamp = int64(s.fleet.now)
	return s.fleet.state.Execute(s.fleet.index, command), nil
}

func (s *seat) Order(_ context.Context, at netip.AddrPort, order engine.Order) (engine.OrderState, error) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	e := s.fleet.engines[at]
	s.orders++
	if e.loading != order.Weights {
		e.loading, e.done = order.Weights, s.fleet.now+loadTime
	}
	s.fleet.count()
	return engine.OrderState{}, nil
}

func (s *seat) OrderState(_ context.Context, at netip.AddrPort) (engine.OrderState, error) {
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	e := s.fleet.engines[at]
	if e.deaf {
		return engine.OrderState{}, context.DeadlineExceeded
	}
	read := engine.OrderState{Weights: map[tables.ModelName]tables.WeightsVersion{"m": e.weights}}
	if e.loading != "" {
		read.Loading = 1
	}
	return read, nil
}

// count notes how many loads run at once.
func (f *fleet) count() {
	running := 0
	for _, e := range f.engines {
		if e.loading != "" {
			running++
		}
	}
	f.most = max(f.most, running)
	assert.Assert(f.t, running <= f.wanted.WeightLoads, "%d loads at once", running)
}

// pass lets time go by and steps all runners.
func (f *fleet) pass(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += period
		for _, e := range f.engines {
			if e.loading != "" && f.now >= e.done {
				e.weights, e.loading = e.loading, ""
			}
		}
		for _, s := range f.runners {
			s.runner.Step(context.Background())
		}
	}
}

func (f *fleet) loaded(want tables.WeightsVersion) bool {
	for _, e := range f.engines {
		if e.weights != want {
			return false
		}
	}
	return true
}

func (f *fleet) holder() *seat {
	for _, s := range f.runners {
		if _, left := s.runner.lease.Held(); left > 0 {
			return s
		}
	}
	return nil
}

func TestLoadsAreBounded(t *testing.T) {
	f := newFleet(t, 3, 9)
	f.pass(time.Minute)
	assert.Assert(t, f.loaded("w1"))
	assert.Equal(t, f.most, 2)
	assert.Equal(t, len(f.state.Loads()), 0)
	f.wanted.Models[0].Weights = "w2"
	f.pass(time.Minute)
	assert.Assert(t, f.loaded("w2"))
}

// The instance that gives orders is cut off from the others in the middle of a
// roll-out, and its clock is slow. The engines do not check fencing numbers. It
// has to stop before another one starts, and the loads it left must count.
func TestIsolatedHolderStopsBeforeASuccessorStarts(t *testing.T) {
	f := newFleet(t, 3, 9)
	f.runners[0].rate = 0.99
	f.pass(2 * time.Second)
	first := f.holder()
	assert.Equal(t, first, f.runners[0])
	first.cut = true
	for f.holder() == first {
		f.pass(period)
		holding := 0
		for _, s := range f.runners {
			if _, left := s.runner.lease.Held(); left > 0 {
				holding++
			}
		}
		assert.Assert(t, holding <= 1)
	}
	orders := first.orders
	f.pass(time.Minute)
	assert.Assert(t, f.holder() != first)
	assert.Equal(t, first.orders, orders)
	assert.Assert(t, f.loaded("w1"))
}

// An endpoint takes an order and then cannot be reached. Its load may go on, so
// it keeps its place at the weight store until no load can still be running.
func TestLostEndpointKeepsItsPlace(t *testing.T) {
	f := newFleet(t, 1, 4)
	f.pass(period)
	for _, row := range f.state.Loads() {
		for _, endpoint := range f.wanted.Endpoints {
			if string(endpoint.ID) == row.GetEndpoint() {
				f.engines[endpoint.Address].deaf = true
			}
		}
	}
	f.pass(abandonAfter - time.Minute)
	assert.Equal(t, len(f.state.Loads()), 2)
	f.pass(3 * time.Minute)
	served := 0
	for _, e := range f.engines {
		if !e.deaf && e.weights == "w1" {
			served++
		}
	}
	assert.Equal(t, served, 2)
}

// An engine restarts in the middle of a load and comes back empty. The order
// has to be given again.
func TestOrderIsRepeatedAfterARestart(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.pass(period)
	for _, e := range f.engines {
		e.loading, e.weights = "", ""
	}
	f.pass(10 * time.Second)
	assert.Assert(t, f.loaded("w1"))
	assert.Assert(t, f.runners[0].orders >= 2)
}

// Instances are cut off and come back, clocks drift, engines restart, weights
// change. The weight store never has to serve more loads than declared, and no
// two instances give orders at one time.
func TestLoadsStayBoundedUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, 3, 5)
		for _, s := range f.runners {
			s.rate = 1 + float64(rapid.IntRange(-10, 10).Draw(t, "drift"))/1000
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				f.pass(time.Duration(rapid.IntRange(1, 20).Draw(t, "periods")) * period)
			},
			"cut": func(t *rapid.T) {
				s := rapid.SampledFrom(f.runners).Draw(t, "instance")
				s.cut = !s.cut
			},
			"weights": func(t *rapid.T) {
				f.wanted.Models[0].Weights += "+"
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, len(f.wanted.Endpoints)-1).Draw(t, "engine")
				e := f.engines[f.wanted.Endpoints[i].Address]
				e.loading, e.weights = "", ""
			},
			"": func(t *rapid.T) {
				holding := 0
				for _, s := range f.runners {
					if _, left := s.runner.lease.Held(); left > 0 {
						holding++
					}
				}
				assert.Assert(t, holding <= 1)
			},
		})
	})
}
