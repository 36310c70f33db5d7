package dispatch

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// partitions are the sets of instances that lose their links, of nine in three zones: instance i
// is in zone i%3.
var partitions = map[string][]int{
	"one of nine":  {4},
	"six of nine":  {0, 1, 3, 4, 6, 7},
	"a whole zone": {0, 3, 6},
	"all but one":  {0, 1, 2, 3, 4, 5, 6, 7},
}

// partitionedCluster is nine dispatchers before nine endpoints, with relays, of which some are
// partitioned. Instance 8 also places requests for the others, as a scheduler.
type partitionedCluster struct {
	*testCluster
	t           *testing.T
	partitioned map[int]bool
	outcome     Outcome
	requests    uint64
	relayed     int
}

const (
	partitionInstances = 9
	partitionEngines   = 9
	schedulerIndex     = 8
)

func newPartitionedCluster(t *testing.T, partitioned []int, outcome Outcome) *partitionedCluster {
	t.Helper()
	c := &partitionedCluster{testCluster: newTestCluster(partitionInstances, partitionEngines), t: t, partitioned: map[int]bool{}, outcome: outcome}
	for _, i := range partitioned {
		c.partitioned[i] = true
	}
	for _, d := range c.dispatchers {
		d.SetRelayAvailable(true)
	}
	return c
}

// probe has each partitioned instance fail to connect to each endpoint, or succeed once the links
// are back.
func (c *partitionedCluster) probe(now tables.Instant, connected bool) {
	for i, d := range c.dispatchers {
		if !c.partitioned[i] {
			continue
		}
		for e := range partitionEngines {
			id := tables.EndpointID(fmt.Sprintf("e%d", e))
			if !connected && c.outcome == ConnectionRefused {
				d.RecordConnectionRefused(now, id)
			}
			d.SetReachable(now, id, connected)
		}
	}
}

// request has an instance serve one request, placed by itself or by the scheduler.
func (c *partitionedCluster) request(now tables.Instant, i int, connected, scheduled bool) {
	d, scheduler := c.dispatchers[i], c.dispatchers[schedulerIndex]
	c.requests++
	r := newTestRequest(c.requests)
	var a, remote *Attempt
	if scheduled {
		question := *r
		question.Remote, question.Avoided = true, d.UnusableEndpoints(now, "models", 5)
		if remote, _ = scheduler.Place(now, &question); remote != nil {
			a = d.AcceptDecision(now, r, remote.Decision(now))
		}
	} else {
		a, _ = d.Place(now, r)
	}
	cut := c.partitioned[i] && !connected
	if a == nil {
		assert.Assert(c.t, cut, "instance %d at %v: not placed; %s", i, now, d.CountEndpoints(now, r))
		return
	}
	outcome := Completed
	switch {
	case a.Relayed:
		c.relayed++
	case cut:
		outcome = c.outcome
	}
	if remote != nil {
		reported := outcome
		if outcome == Completed {
			scheduler.RecordResponseStart(now, remote)
		} else {
			reported = ConnectTimeout // that the link failed is all that a scheduler learns
		}
		scheduler.RecordOutcome(now, remote, reported)
	}
	if outcome == Completed {
		d.RecordResponseStart(now, a)
	}
	d.RecordOutcome(now, a, outcome)
}

// Guards against instances that have lost their links to the endpoints changing what the others
// believe of these: by their load reports and by what they report to a scheduler, while the links
// are lost and once they are back.
func TestLostLinksChangeNothingElsewhere(t *testing.T) {
	const step, probeInterval, lostAt, backAt, end = 10 * time.Millisecond, 250 * time.Millisecond, 2 * time.Second, 6 * time.Second, 8 * time.Second
	for name, partitioned := range partitions {
		for _, outcome := range []Outcome{ConnectionRefused, ConnectTimeout, Broken, ResponseTimeout} {
			t.Run(name+", "+outcome.String(), func(t *testing.T) {
				c := newPartitionedCluster(t, partitioned, outcome)
				for now := time.Second; now < end; now += step {
					connected := now < lostAt || now >= backAt
					if now%probeInterval == 0 && now >= lostAt+probeInterval && now <= backAt+probeInterval {
						c.probe(now, connected)
					}
					c.exchange(now)
					for i := range c.dispatchers {
						c.request(now, i, connected, i != schedulerIndex && (now/step)%2 == 0)
					}
					c.expectUnharmed(now)
				}
				assert.Assert(t, c.relayed > 0)
				for i, d := range c.dispatchers {
					a := mustPlace(t, d, end, newTestRequest(uint64(i)))
					assert.Assert(t, !a.Relayed, "instance %d still relays", i)
				}
			})
		}
	}
}

// expectUnharmed checks what the instances in touch believe of the endpoints.
func (c *partitionedCluster) expectUnharmed(now tables.Instant) {
	c.t.Helper()
	for i, d := range c.dispatchers {
		if c.partitioned[i] {
			continue
		}
		assert.Assert(c.t, !d.LinksSuspected(), "instance %d at %v", i, now)
		for id, row := range d.endpoints {
			assert.Equal(c.t, row.currentFailureScore(now), 0.0, "%s at instance %d, at %v", id, i, now)
			assert.Assert(c.t, row.accepting(now) && row.reachableOver(now, direct) && !row.halfOpen, "%s at instance %d, at %v", id, i, now)
		}
	}
}

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
