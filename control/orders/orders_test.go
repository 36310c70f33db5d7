package orders

import (
	"context"
	"fmt"
	"net/http"
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

// simulation runs controllers at several instances against one copy of the
// replicated state and engines that take time to load, in virtual time.
type simulation struct {
	t             assert.TestingT
	mu            sync.Mutex
	now           time.Duration
	index         uint64
	state         *state.State
	configuration *tables.Configuration
	engines       map[netip.AddrPort]*fakeEngine
	// instances holds the simulated instances, each with a controller and a
	// count of its orders.
	instances  []*simulatedInstance
	maxRunning int
}

// simulatedInstance has a controller, a connection to the quorum that can be
// cut, and a clock that may run slower or faster than real time.
type simulatedInstance struct {
	simulation  *simulation
	controller  *Controller
	partitioned bool
	// isolated is set if the instance reaches the quorum and no engine.
	isolated  bool
	clockRate float64
	orders    int
}

// fakeEngine does not check fencing tokens.
type fakeEngine struct {
	weights     tables.WeightsVersion
	loading     tables.WeightsVersion
	loadedAt    time.Duration
	unreachable bool
	// hangs is set if the engine accepts connections and answers nothing.
	hangs bool
	// loadTime overrides how long a load takes.
	loadTime time.Duration
	// order overrides what the engine does with an order. crashes is set if each load ends in a restart.
	order   func(ctx context.Context) error
	crashes bool
	// refused are weights that the engine refuses to load.
	refused tables.WeightsVersion
}

const loadTime = 3 * time.Second

// newSimulation returns a simulation of the given numbers of instances and
// engines, with weights w1 in force and a limit of two concurrent loads.
func newSimulation(t assert.TestingT, instances, engines int) *simulation {
	f := &simulation{t: t, state: state.New(state.DefaultLimits()), engines: map[netip.AddrPort]*fakeEngine{}}
	f.configuration = &tables.Configuration{WeightLoads: 2, Models: []tables.Model{{Name: "m", Weights: "w1"}}}
	for i := range engines {
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 9000)
		f.engines[at] = &fakeEngine{}
		f.configuration.Endpoints = append(f.configuration.Endpoints, tables.Endpoint{
			ID: tables.EndpointID(fmt.Sprint("e", i)), Address: at, Models: []tables.ModelName{"m"},
		})
	}
	f.applyConfiguration()
	for i := range instances {
		s := &simulatedInstance{simulation: f, clockRate: 1}
		s.controller = NewController(Options{
			Executor:      s,
			Engines:       s,
			Instance:      tables.InstanceID(fmt.Sprint("i", i)),
			Boot:          1,
			Now:           func() tables.Instant { return time.Duration(float64(f.now) * s.clockRate) },
			Configuration: func() *tables.Configuration { return f.configuration },
			CountedLoads:  func() CountedLoads { return CountedLoads{Rows: f.state.Loads(), LogTime: f.state.Now()} },
		})
		f.instances = append(f.instances, s)
	}
	return f
}

// applyConfiguration puts the configuration with its load limit in force.
func (f *simulation) applyConfiguration() {
	items, err := configuration.Encode(*f.configuration)
	assert.NilError(f.t, err)
	f.index++
	result := f.state.Execute(f.index, &rpc.Command{Action: &rpc.Command_Apply{Apply: &rpc.ApplyConfiguration{
		Request: "r",
		Digest:  configuration.NewContent(items).DeclaredDigest(),
		Changes: items,
	}}})
	assert.Assert(f.t, result.GetAccepted() != nil)
}

func (s *simulatedInstance) Execute(_ context.Context, command *rpc.Command) (*rpc.Result, error) {
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	if s.partitioned {
		return nil, &tables.NoQuorumError{Operation: "command"}
	}
	s.simulation.index++
	command.Stamp = int64(s.simulation.now)
	return s.simulation.state.Execute(s.simulation.index, command), nil
}

func (s *simulatedInstance) Order(ctx context.Context, at netip.AddrPort, order engine.Order) (engine.OrderState, error) {
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	e := s.simulation.engines[at]
	s.orders++
	if s.isolated {
		return engine.OrderState{}, context.DeadlineExceeded
	}
	if e.order != nil {
		s.simulation.mu.Unlock()
		defer s.simulation.mu.Lock()
		return engine.OrderState{}, e.order(ctx)
	}
	if order.Weights == e.refused {
		return engine.OrderState{}, &engine.UnexpectedStatusError{Status: http.StatusBadRequest}
	}
	if e.loading != order.Weights {
		e.loading, e.loadedAt = order.Weights, s.simulation.now+max(loadTime, e.loadTime)
	}
	s.simulation.checkRunningLoads()
	return engine.OrderState{}, nil
}

func (s *simulatedInstance) OrderState(ctx context.Context, at netip.AddrPort) (engine.OrderState, error) {
	s.simulation.mu.Lock()
	defer s.simulation.mu.Unlock()
	e := s.simulation.engines[at]
	if e.hangs {
		s.simulation.mu.Unlock()
		<-ctx.Done()
		s.simulation.mu.Lock()
	}
	if ctx.Err() != nil {
		return engine.OrderState{}, ctx.Err()
	}
	if e.unreachable || s.isolated {
		return engine.OrderState{}, context.DeadlineExceeded
	}
	read := engine.OrderState{Weights: map[tables.ModelName]tables.WeightsVersion{"m": e.weights}}
	if e.loading != "" {
		read.Loading = 1
	}
	return read, nil
}

// checkRunningLoads records how many loads run at once and asserts the limit. A load that takes longer than any
// does counts as hung.
func (f *simulation) checkRunningLoads() {
	running := 0
	for _, e := range f.engines {
		if e.loading != "" && f.now < e.loadedAt-max(loadTime, e.loadTime)+maxLoadDuration {
			running++
		}
	}
	f.maxRunning = max(f.maxRunning, running)
	assert.Assert(f.t, running <= f.configuration.WeightLoads, "%d concurrent loads", running)
}

// advance advances the virtual time and steps all controllers.
func (f *simulation) advance(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += stepInterval
		for _, e := range f.engines {
			switch {
			case e.loading == "" || f.now < e.loadedAt:
			case e.crashes:
				e.loading = ""
			default:
				e.weights, e.loading = e.loading, ""
			}
		}
		for _, s := range f.instances {
			s.controller.Step(context.Background())
		}
	}
}

func (f *simulation) allServe(want tables.WeightsVersion) bool {
	for _, e := range f.engines {
		if e.weights != want {
			return false
		}
	}
	return true
}

func (f *simulation) leaseHolder() *simulatedInstance {
	for _, s := range f.instances {
		if _, left := s.controller.lease.TokenAndTTL(); left > 0 {
			return s
		}
	}
	return nil
}

func TestConcurrentLoadsAreLimited(t *testing.T) {
	f := newSimulation(t, 3, 9)
	f.advance(time.Minute)
	assert.Assert(t, f.allServe("w1"))
	assert.Equal(t, f.maxRunning, 2)
	assert.Equal(t, len(f.state.Loads()), 0)
	f.configuration.Models[0].Weights = "w2"
	f.advance(time.Minute)
	assert.Assert(t, f.allServe("w2"))
}

// The lease holder is partitioned from the quorum during a rollout, and its
// clock is slow. The engines do not check fencing tokens. The holder must stop
// before the next one starts, and the loads that it left must count against the
// limit.
func TestPartitionedHolderStopsBeforeNextHolderStarts(t *testing.T) {
	f := newSimulation(t, 3, 9)
	f.instances[0].clockRate = 0.99
	f.advance(2 * time.Second)
	first := f.leaseHolder()
	assert.Equal(t, first, f.instances[0])
	first.partitioned = true
	for f.leaseHolder() == first {
		f.advance(stepInterval)
		holding := 0
		for _, s := range f.instances {
			if _, left := s.controller.lease.TokenAndTTL(); left > 0 {
				holding++
			}
		}
		assert.Assert(t, holding <= 1)
	}
	orders := first.orders
	f.advance(time.Minute)
	assert.Assert(t, f.leaseHolder() != first)
	assert.Equal(t, first.orders, orders)
	assert.Assert(t, f.allServe("w1"))
}

// An endpoint receives an order and then becomes unreachable. Its load may
// still be running, so it keeps its slot of the weight store until the load must
// have ended.
func TestUnreachableEndpointKeepsItsLoadSlot(t *testing.T) {
	f := newSimulation(t, 1, 4)
	f.advance(stepInterval)
	for _, row := range f.state.Loads() {
		for _, endpoint := range f.configuration.Endpoints {
			if string(endpoint.ID) == row.GetEndpoint() {
				f.engines[endpoint.Address].unreachable = true
			}
		}
	}
	f.advance(maxLoadDuration - time.Minute)
	assert.Equal(t, len(f.state.Loads()), 2)
	f.advance(3 * time.Minute)
	served := 0
	for _, e := range f.engines {
		if !e.unreachable && e.weights == "w1" {
			served++
		}
	}
	assert.Equal(t, served, 2)
}

// An engine restarts during a load and loses its weights. The order must be
// sent again.
func TestOrderIsResentAfterEngineRestart(t *testing.T) {
	f := newSimulation(t, 1, 1)
	f.advance(stepInterval)
	for _, e := range f.engines {
		e.loading, e.weights = "", ""
	}
	f.advance(10 * time.Second)
	assert.Assert(t, f.allServe("w1"))
	assert.Assert(t, f.instances[0].orders >= 2)
}

// Instances are partitioned and reconnected, clocks drift, engines restart and
// weights change. The weight store must never serve more loads than the
// declared limit, and no two instances may hold the lease at once.
func TestLoadLimitAndLeaseExclusivityUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSimulation(t, 3, 5)
		for _, s := range f.instances {
			s.clockRate = 1 + float64(rapid.IntRange(-10, 10).Draw(t, "drift"))/1000
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				f.advance(time.Duration(rapid.IntRange(1, 20).Draw(t, "periods")) * stepInterval)
			},
			"cut": func(t *rapid.T) {
				s := rapid.SampledFrom(f.instances).Draw(t, "instance")
				s.partitioned = !s.partitioned
			},
			"weights": func(t *rapid.T) {
				f.configuration.Models[0].Weights += "+"
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, len(f.configuration.Endpoints)-1).Draw(t, "engine")
				e := f.engines[f.configuration.Endpoints[i].Address]
				e.loading, e.weights = "", ""
			},
			"": func(t *rapid.T) {
				holding := 0
				for _, s := range f.instances {
					if _, left := s.controller.lease.TokenAndTTL(); left > 0 {
						holding++
					}
				}
				assert.Assert(t, holding <= 1)
			},
		})
	})
}
