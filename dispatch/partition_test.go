package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// Guards against instances that are partitioned from all endpoints excluding the endpoints
// for the instances that reach them.
func TestRefusedConnectionsElsewhereExcludeNoEndpoint(t *testing.T) {
	const (
		instances, engines = 9, 9
		probeInterval      = 250 * time.Millisecond
		step               = 10 * time.Millisecond
		length             = 5 * time.Second
	)
	for _, partitioned := range []int{1, 3, 6, 8} {
		t.Run(fmt.Sprintf("%d of %d", partitioned, instances), func(t *testing.T) {
			c := newTestCluster(instances, engines)
			var probedAt tables.Instant
			requests := uint64(0)
			for now := time.Second; now < time.Second+length; now += step {
				if now-probedAt >= probeInterval {
					probedAt = now
					for _, d := range c.dispatchers[:partitioned] {
						for e := range engines {
							id := tables.EndpointID(fmt.Sprintf("e%d", e))
							d.RecordConnectionRefused(now, id)
							d.SetReachable(now, id, false)
						}
					}
				}
				c.exchange(now)
				for i, d := range c.dispatchers[partitioned:] {
					requests++
					r := newTestRequest(requests)
					a, reason := d.Place(now, r)
					assert.Assert(t, a != nil, "instance %d at %v: %s; %s", partitioned+i, now, reason, d.CountEndpoints(now, r))
					d.RecordResponseStart(now, a)
					d.RecordOutcome(now, a, Completed)
				}
			}
		})
	}
}

// Guards against a scheduler that takes the lost links of the instances that it places
// requests for as failures of the endpoints.
func TestRemoteConnectFailuresDoNotExcludeEndpointAtScheduler(t *testing.T) {
	for _, outcome := range []Outcome{ConnectionRefused, ConnectTimeout} {
		d, _ := newTestDispatcher(2)
		now := time.Second
		for range 20 {
			r := newTestRequest(1)
			r.Remote = true
			d.RecordOutcome(now, mustPlace(t, d, now, r), outcome)
		}
		mustPlace(t, d, now, newTestRequest(2))
		for _, l := range d.TakeLoadReports(now) {
			assert.Equal(t, l.AbsentFor, time.Duration(0), "%s is reported as absent", l.Endpoint)
		}
	}
}
