package dispatch

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// simulatedFleet is a fleet in simulated time whose engines end in waves. Some time after
// an engine's end its address belongs to a server of another service, which declines
// requests meant for the engine.
type simulatedFleet struct {
	now     tables.Instant
	ends    map[tables.EndpointID]tables.Instant
	listed  map[tables.EndpointID]fleet.Endpoint
	created int
	pending actions
}

const (
	// addressReuseAfter is how long an address stays unused, listLag how long an ended
	// engine stays listed.
	addressReuseAfter = 2 * time.Second
	listLag           = 4 * time.Second
	// responseTime keeps most of the slots of running engines in use.
	responseTime = 400 * time.Millisecond
)

// action is an event of the simulation.
type action struct {
	at tables.Instant
	do func()
}

// actions is a priority queue of events by time, for container/heap.
type actions []action

func (a actions) Len() int           { return len(a) }
func (a actions) Less(i, j int) bool { return a[i].at < a[j].at }
func (a actions) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *actions) Push(x any)        { *a = append(*a, x.(action)) }
func (a *actions) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// after schedules an event.
func (f *simulatedFleet) after(d time.Duration, do func()) {
	heap.Push(&f.pending, action{f.now + d, do})
}

// run advances the simulated time and executes the events that are due.
func (f *simulatedFleet) run(until tables.Instant) {
	for len(f.pending) > 0 && f.pending[0].at <= until {
		next := heap.Pop(&f.pending).(action)
		f.now = next.at
		next.do()
	}
	f.now = until
}

// add lists a new engine.
func (f *simulatedFleet) add() {
	_, all := newTestDispatcher(1)
	e := all["e0"].Clone()
	e.ID = tables.EndpointID(fmt.Sprintf("e%d", f.created))
	e.Zone = tables.Zone([]string{"a", "b"}[f.created%2])
	f.created++
	f.listed[e.ID] = e
}

// end ends an engine; its successor is listed at once.
func (f *simulatedFleet) end(id tables.EndpointID, dispatchers []*Dispatcher) {
	f.ends[id] = f.now
	f.add()
	f.list(dispatchers)
	f.after(listLag, func() {
		delete(f.listed, id)
		f.list(dispatchers)
	})
}

// list gives the endpoint list to all dispatchers.
func (f *simulatedFleet) list(dispatchers []*Dispatcher) {
	for _, d := range dispatchers {
		d.SetEndpoints(f.listed)
	}
}

// outcomeAt returns the outcome of an attempt that arrives now, and the time it takes.
func (f *simulatedFleet) outcomeAt(id tables.EndpointID) (Outcome, time.Duration) {
	ended, gone := f.ends[id]
	switch {
	case !gone:
		return Completed, responseTime
	case f.now-ended < addressReuseAfter:
		return ConnectTimeout, 50 * time.Millisecond
	default:
		return Misdirected, time.Millisecond
	}
}

// probeUntilReachable marks the endpoint unreachable until its address accepts
// connections again.
func (f *simulatedFleet) probeUntilReachable(d *Dispatcher, id tables.EndpointID) {
	d.SetReachable(f.now, id, false)
	f.after(f.ends[id]+addressReuseAfter-f.now, func() { d.SetReachable(f.now, id, true) })
}

// Guards against retries that are within the budget of the requested service but arrive
// at another one, which has been given the addresses of ended engines.
func TestRetriesToReusedAddressesStayWithinTheBudget(t *testing.T) {
	const (
		instances, engines, wave = 9, 18, 11
		gap                      = 4 * time.Millisecond
	)
	c := newTestCluster(instances, 0)
	f := &simulatedFleet{now: time.Second, ends: map[tables.EndpointID]tables.Instant{}, listed: map[tables.EndpointID]fleet.Endpoint{}}
	for range engines {
		f.add()
	}
	f.list(c.dispatchers)
	for _, d := range c.dispatchers {
		d.SetInstanceCount(instances)
	}
	for at := 3 * time.Second; at <= 11*time.Second; at += 2 * time.Second {
		f.after(at, func() {
			left := wave
			for i := 0; i < f.created && left > 0; i++ {
				id := tables.EndpointID(fmt.Sprintf("e%d", i))
				if _, ended := f.ends[id]; !ended {
					f.end(id, c.dispatchers)
					left--
				}
			}
		})
	}
	var retries []tables.Instant
	served := 0
	var try func(d *Dispatcher, r *Request)
	try = func(d *Dispatcher, r *Request) {
		a, _ := d.Place(f.now, r)
		if a == nil {
			return
		}
		outcome, took := f.outcomeAt(a.Endpoint.ID)
		if outcome == Misdirected && r.DeliveredAttempts > 0 {
			retries = append(retries, f.now)
		}
		f.after(took, func() {
			if outcome == Completed {
				served++
				d.RecordResponseStart(f.now, a)
				d.RecordOutcome(f.now, a, outcome)
				return
			}
			d.RecordOutcome(f.now, a, outcome)
			r.Tried = append(r.Tried, a.Endpoint.ID)
			if outcome == ConnectTimeout {
				f.probeUntilReachable(d, a.Endpoint.ID)
			}
			if outcome == Misdirected {
				r.DeliveredAttempts++
				if !d.TakeRetry(f.now, "models") {
					return
				}
			}
			try(d, r)
		})
	}
	requests := 0
	for now := f.now; now < 20*time.Second; now += gap {
		f.run(now)
		c.exchange(now)
		d := c.dispatchers[requests%instances]
		r := newTestRequest(uint64(requests % 200))
		r.SharedParts = nil
		r.ArrivedAt = now
		requests++
		d.RecordRequest(now, "models")
		try(d, r)
	}
	extra, window := c.dispatchers[0].options.RetryBudget.Extra, c.dispatchers[0].options.RetryBudget.Window
	most := 0
	for i, from := range retries {
		n := 0
		for _, at := range retries[i:] {
			if at < from+window {
				n++
			}
		}
		most = max(most, n)
	}
	t.Logf("%d of %d requests served, %d retries at reused addresses, %d in a window", served, requests, len(retries), most)
	// No route leads to the other service, so it receives no requests that would raise
	// its budget above Extra.
	assert.Assert(t, float64(most) <= extra, "%d retries within %v, budget %.0f", most, window, extra)
	assert.Assert(t, served > requests*4/5, "%d of %d requests served", served, requests)
}
