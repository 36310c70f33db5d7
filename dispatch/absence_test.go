package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// testCluster is a set of dispatchers that exchange their load reports.
type testCluster struct {
	dispatchers []*Dispatcher
	exchangedAt tables.Instant
}

// newTestCluster returns n dispatchers for the same engines, with different seeds.
func newTestCluster(n, engines int) *testCluster {
	c := &testCluster{}
	for i := range n {
		d, _ := newTestDispatcher(engines)
		d.options.Seed = uint64(i)
		c.dispatchers = append(c.dispatchers, d)
	}
	return c
}

// exchange delivers load reports every 20 ms.
func (c *testCluster) exchange(now tables.Instant) {
	if now-c.exchangedAt < 20*time.Millisecond {
		return
	}
	c.exchangedAt = now
	for i, from := range c.dispatchers {
		for _, l := range from.TakeLoadReports(now) {
			for j, to := range c.dispatchers {
				if i != j {
					to.ApplyLoadReport(now, tables.InstanceID(fmt.Sprint(i)), l)
				}
			}
		}
	}
}

// Guards against engines whose addresses were taken over by other processes attracting
// request after request until the platform's list drops them: they have no load, so they
// look idle.
func TestReplacedEnginesReceiveFewRequests(t *testing.T) {
	const (
		instances, engines = 6, 40
		gap                = time.Millisecond
		// busy keeps three of eight slots of the other engines in use.
		busy   = 100 * time.Millisecond
		length = 3 * time.Second
	)
	c := newTestCluster(instances, engines)
	replaced := map[tables.EndpointID]int{}
	for i := range engines / 5 {
		replaced[tables.EndpointID(fmt.Sprintf("e%d", i*5))] = 0
	}
	type running struct {
		by   *Dispatcher
		a    *Attempt
		ends tables.Instant
	}
	var open []running
	attempts, misdirected := 0, 0
	for now := time.Second; now < time.Second+length; now += gap {
		c.exchange(now)
		open = filterInPlace(open, func(r running) bool {
			if r.ends > now {
				return true
			}
			r.by.RecordResponseStart(now, r.a)
			r.by.RecordOutcome(now, r.a, Completed)
			return false
		})
		d := c.dispatchers[attempts%instances]
		r := newTestRequest(uint64(attempts % 200))
		for {
			a, _ := d.Place(now, r)
			if a == nil {
				break
			}
			attempts++
			if _, gone := replaced[a.Endpoint.ID]; !gone {
				open = append(open, running{by: d, a: a, ends: now + busy})
				break
			}
			replaced[a.Endpoint.ID]++
			misdirected++
			d.RecordOutcome(now, a, Misdirected)
			r.Tried = append(r.Tried, a.Endpoint.ID)
		}
	}
	t.Logf("%d of %d attempts misdirected", misdirected, attempts)
	// One misdirected answer is enough for all dispatchers: they learn of it within the
	// interval of the exchange, and probe the endpoint again after one and after three
	// seconds.
	assert.Assert(t, misdirected <= len(replaced)*instances, "%d misdirected attempts for %d engines", misdirected, len(replaced))
	for id, n := range replaced {
		assert.Assert(t, n <= 2*instances, "%s received %d attempts", id, n)
	}
}

// Guards against an endpoint that was absent for a moment staying excluded for good, and
// against the whole load reaching it before a probe has succeeded.
func TestAbsentEndpointIsProbedByOneRequest(t *testing.T) {
	d, _ := newTestDispatcher(1)
	now := time.Second
	a := mustPlace(t, d, now, newTestRequest(1))
	d.RecordOutcome(now, a, Misdirected)
	_, reason := d.Place(now, newTestRequest(2))
	assert.Equal(t, reason, NoEndpoint)

	now += misdirectedAbsence
	probe := mustPlace(t, d, now, newTestRequest(3))
	_, reason = d.Place(now, newTestRequest(4))
	assert.Equal(t, reason, NoEndpoint)

	d.RecordResponseStart(now, probe)
	mustPlace(t, d, now, newTestRequest(5))
	mustPlace(t, d, now, newTestRequest(6))
}

// Guards against an endpoint whose weights have just changed counting as absent after the
// list has reported the new ones.
func TestListedWeightsChangeEndsAbsence(t *testing.T) {
	d, all := newTestDispatcher(1)
	now := time.Second
	d.RecordOutcome(now, mustPlace(t, d, now, newTestRequest(1)), Misdirected)
	listed := all["e0"].Clone()
	listed.Weights["m"] = 2
	all["e0"] = listed
	d.SetEndpoints(all)
	mustPlace(t, d, now, newTestRequest(2))
}

// Guards against another instance's report excluding an endpoint for longer than a direct
// observation would.
func TestReportedAbsenceIsBounded(t *testing.T) {
	d, _ := newTestDispatcher(1)
	now := time.Second
	d.ApplyLoadReport(now, "i2", LoadReport{Endpoint: "e0", AbsentFor: time.Hour})
	_, reason := d.Place(now, newTestRequest(1))
	assert.Equal(t, reason, NoEndpoint)
	mustPlace(t, d, now+maxAbsence, newTestRequest(1))
}

// Guards against all queued requests going to the one endpoint that has just finished
// loading weights, or is new, before it is known to respond.
func TestNewlyEligibleEndpointIsProbedByOneRequest(t *testing.T) {
	d, all := newTestDispatcher(1)
	now := time.Second
	change := func(f func(*fleet.Endpoint)) {
		e := all["e0"].Clone()
		f(&e)
		all["e0"] = e
		d.SetEndpoints(all)
	}
	unshared := func() *Request {
		r := newTestRequest(1)
		r.SharedParts = nil
		return r
	}
	expectProbe := func() {
		t.Helper()
		probe := mustPlace(t, d, now, unshared())
		_, reason := d.Place(now, unshared())
		assert.Equal(t, reason, NoEndpoint)
		d.RecordResponseStart(now, probe)
		mustPlace(t, d, now, unshared())
	}
	mustPlace(t, d, now, unshared())
	change(func(e *fleet.Endpoint) { e.Loading = true })
	change(func(e *fleet.Endpoint) { e.Loading = false })
	expectProbe()
	change(func(e *fleet.Endpoint) { e.StartUnixMilli++ })
	expectProbe()
}
