package usage

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	org    = Subject("org")
	window = 8 * time.Second
	// maxOverage is the fraction by which the use within a window may exceed the limit.
	maxOverage = 0.1
	// warmUp is the time after the start by which all buckets are full.
	warmUp = 2 * time.Second
)

var limit = Limit{Rate: 90_000, Burst: 90_000}

func limitsOf(l Limit) map[Subject]Limit { return map[Subject]Limit{org: l} }

// maxUse is the highest use that a window may hold under a limit.
func maxUse(l Limit) int64 { return int64((l.Rate*window.Seconds() + l.Burst) * (1 + maxOverage)) }

var instanceCounts = []int{9, 68, 300}

// forEachSize runs a test with each number of instances.
func forEachSize(t *testing.T, f func(t *testing.T, instances int)) {
	for _, n := range instanceCounts {
		t.Run(fmt.Sprint(n), func(t *testing.T) { f(t, n) })
	}
}

// Guards against the limit being exceeded, or partly unused, when callers demand more than
// it at any number of instances.
func TestDemandAboveLimitUsesWholeLimit(t *testing.T) {
	for _, demand := range []float64{1.2, 2, 5} {
		t.Run(fmt.Sprint(demand), func(t *testing.T) {
			forEachSize(t, func(t *testing.T, n int) {
				s := newSimulation(n, limitsOf(limit))
				s.runUntil(warmUp)
				s.generateLoad(org, demand*limit.Rate, 6000, warmUp+20*time.Second, "a", "b", "c")
				s.runUntil(warmUp + 21*time.Second)
				assert.Assert(t, s.peakUse(org, window) <= maxUse(limit), "%d of %d", s.peakUse(org, window), maxUse(limit))
				usable := float64(s.totalUse(org, warmUp+2*time.Second)) / (limit.Rate * 18)
				t.Logf("usable %.3f, highest window %.3f of the limit, %d messages", usable, float64(s.peakUse(org, window))/(limit.Rate*9), s.messages)
				assert.Assert(t, usable >= 0.98, "%.3f", usable)
			})
		})
	}
}

// Guards against refusals of an organisation that stays below its limit, however unevenly
// its demand is spread over zones and instances, beside an organisation that is far above
// its own limit.
func TestDemandBelowLimitIsNotRefused(t *testing.T) {
	forEachSize(t, func(t *testing.T, n int) {
		s := newSimulation(n, map[Subject]Limit{org: limit, "greedy": limit})
		s.runUntil(warmUp)
		s.generateLoad("greedy", 5*limit.Rate, 6000, warmUp+20*time.Second, "a", "b")
		s.generateLoad(org, 0.5*limit.Rate, 6000, warmUp+20*time.Second, "a")
		s.generateLoad(org, 0.05*limit.Rate, 1000, warmUp+20*time.Second, "b", "c")
		s.runUntil(warmUp + 21*time.Second)
		assert.Equal(t, s.refused[org], 0)
		assert.Assert(t, s.refused["greedy"] > 0)
		assert.Assert(t, s.peakUse("greedy", window) <= maxUse(limit))
	})
}

// Guards against refusals when an organisation's callers switch to another zone.
func TestDemandCanShiftBetweenZones(t *testing.T) {
	forEachSize(t, func(t *testing.T, n int) {
		s := newSimulation(n, limitsOf(limit))
		s.runUntil(warmUp)
		for i, zone := range []string{"a", "b", "c", "a", "b"} {
			from := warmUp + time.Duration(i)*3*time.Second
			s.runUntil(from)
			s.generateLoad(org, 0.6*limit.Rate, 6000, from+3*time.Second, zone)
		}
		s.runUntil(warmUp + 16*time.Second)
		assert.Equal(t, s.refused[org], 0)
	})
}

// Guards against partitioned zones each using the whole limit, and against their using too
// little of it.
func TestPartitionedZonesShareLimit(t *testing.T) {
	for _, demand := range []float64{0.6, 1.5} {
		t.Run(fmt.Sprint(demand), func(t *testing.T) {
			forEachSize(t, func(t *testing.T, n int) {
				s := newSimulation(n, limitsOf(limit))
				s.runUntil(warmUp)
				end := warmUp + 30*time.Second
				s.generateLoad(org, 0.6*demand*limit.Rate, 6000, end, "a")
				s.generateLoad(org, 0.3*demand*limit.Rate, 6000, end, "b")
				s.generateLoad(org, 0.1*demand*limit.Rate, 6000, end, "c")
				s.runUntil(warmUp + 8*time.Second)
				s.partitioned = func(a, b string) bool { return a != b }
				s.runUntil(warmUp + 20*time.Second)
				during := s.totalUse(org, warmUp+10*time.Second)
				s.partitioned = func(string, string) bool { return false }
				s.runUntil(end)
				usable := float64(during) / (min(1, demand) * limit.Rate * 10)
				t.Logf("usable %.3f, highest window %.3f of the limit, refused %d", usable, float64(s.peakUse(org, window))/(limit.Rate*9), s.refused[org])
				assert.Assert(t, s.peakUse(org, window) <= maxUse(limit))
				assert.Assert(t, usable >= 0.95, "%.3f", usable)
			})
		})
	}
}

// Guards against instances each granting a burst of their own after a restart of all: the
// window spans the restart.
func TestRestartOfAllInstancesGrantsNoExtraBurst(t *testing.T) {
	forEachSize(t, func(t *testing.T, n int) {
		s := newSimulation(n, limitsOf(limit))
		s.runUntil(warmUp)
		s.generateLoad(org, 3*limit.Rate, 6000, warmUp+20*time.Second, "a", "b", "c")
		for at := warmUp + 5*time.Second; at < warmUp+9*time.Second; at += time.Second {
			s.runUntil(at)
			for _, m := range s.members {
				s.boot(m)
			}
		}
		s.runUntil(warmUp + 21*time.Second)
		assert.Assert(t, s.peakUse(org, window) <= maxUse(limit), "%d of %d", s.peakUse(org, window), maxUse(limit))
	})
}

// Guards against a new owner granting a full burst because it does not know the use under
// the previous owner.
func TestOwnerCrashGrantsNoExtraBurst(t *testing.T) {
	forEachSize(t, func(t *testing.T, n int) {
		s := newSimulation(n, limitsOf(limit))
		s.runUntil(warmUp)
		s.generateLoad(org, 2*limit.Rate, 6000, warmUp+20*time.Second, "a", "b", "c")
		for i, zone := range s.zones {
			s.runUntil(warmUp + time.Duration(4+i)*time.Second)
			s.crash(s.ownerOf(zone, org))
		}
		s.runUntil(warmUp + 21*time.Second)
		assert.Assert(t, s.peakUse(org, window) <= maxUse(limit), "%d of %d", s.peakUse(org, window), maxUse(limit))
	})
}

// Guards against a lowered limit not being enforced, and against a raised limit taking
// effect late.
func TestLimitChangeAppliesAtOnce(t *testing.T) {
	low := Limit{Rate: 30_000, Burst: 30_000}
	s := newSimulation(68, limitsOf(limit))
	s.runUntil(warmUp)
	s.generateLoad(org, 0.6*limit.Rate, 6000, warmUp+30*time.Second, "a", "b", "c")
	s.runUntil(warmUp + 5*time.Second)
	assert.Equal(t, s.refused[org], 0)
	s.setLimits(limitsOf(low))
	s.runUntil(warmUp + 15*time.Second)
	assert.Assert(t, s.totalUse(org, warmUp+7*time.Second) <= maxUse(low))
	s.setLimits(limitsOf(limit))
	before := s.refused[org]
	s.runUntil(warmUp + 30*time.Second)
	assert.Equal(t, s.refused[org], before)
}

// Guards against an instance that was suspended using its stale lease on and on after it
// resumes.
func TestStaleLeaseEndsWithFirstReport(t *testing.T) {
	owner := NewBucketOwner(0, "z", 1)
	owner.SetLimits(limitsOf(limit))
	now := 5 * time.Second
	limiter := &LocalLimiter{}
	d := limiter.NewDebit(now, org, 1000)
	reply, _ := owner.Debit(now, "sleeper", d)
	limiter.ApplyReply(now, d, reply)
	assert.Assert(t, reply.Lease > 0)
	used, revoked := owner.Debit(now, "other", Debit{Subject: org, Cost: int64(limit.Burst)})
	assert.Assert(t, used.Admitted)
	assert.DeepEqual(t, revoked, []tables.InstanceID{"sleeper"})
	// The revocation is lost. The instance's clock has stood still while it was suspended.
	verdict, _ := limiter.Check(now, 1000)
	assert.Equal(t, verdict, Admit)
	d = limiter.NewDebit(now, org, 0)
	reply, _ = owner.Debit(now+time.Second/2, "sleeper", d)
	limiter.ApplyReply(now, d, reply)
	verdict, _ = limiter.Check(now, 1000)
	assert.Equal(t, verdict, AskOwner)
}

// Guards against a permanent charge for requests that did not run.
func TestChargeIsRefundedIfRequestDidNotRun(t *testing.T) {
	owner := NewBucketOwner(0, "z", 1)
	owner.SetLimits(limitsOf(limit))
	now := 5 * time.Second
	limiter := &LocalLimiter{}
	for range 3 {
		d := limiter.NewDebit(now, org, int64(limit.Burst)+1)
		reply, _ := owner.Debit(now, "i", d)
		limiter.ApplyReply(now, d, reply)
		assert.Assert(t, reply.Admitted)
		limiter.Charge(now, -int64(limit.Burst)-1)
		d = limiter.NewDebit(now, org, 0)
		reply, _ = owner.Debit(now, "i", d)
		limiter.ApplyReply(now, d, reply)
	}
}

// Guards against all refused callers retrying at the same moment.
func TestRetryDelaysAreStaggered(t *testing.T) {
	owner := NewBucketOwner(0, "z", 1)
	owner.SetLimits(limitsOf(limit))
	now := 5 * time.Second
	owner.Debit(now, "i", Debit{Subject: org, Cost: 2 * int64(limit.Burst)})
	last := time.Duration(0)
	for range 5 {
		reply, _ := owner.Debit(now, "i", Debit{Subject: org, Cost: 9000})
		assert.Assert(t, !reply.Admitted)
		assert.Assert(t, reply.RetryAfter > last, "%v after %v", reply.RetryAfter, last)
		last = reply.RetryAfter
	}
	assert.Assert(t, last >= time.Second, "the bucket is overdrawn by one second of the rate")
}

// Guards against buckets of idle organisations taking memory and messages.
func TestIdleBucketsAreEvicted(t *testing.T) {
	limits := map[Subject]Limit{}
	for i := range 8600 {
		limits[Subject(fmt.Sprint(i))] = limit
	}
	owner := NewBucketOwner(0, "z", 1)
	owner.SetLimits(limits)
	now := time.Second
	for id := range limits {
		owner.Debit(now, "i", Debit{Subject: id, Cost: 1})
	}
	owner.DueReports(now)
	now += time.Minute
	assert.Equal(t, len(owner.DueReports(now)), 0)
	assert.Assert(t, owner.Empty())
}

// Guards against an instance that reaches no owner using more than its own share.
func TestInstanceWithoutOwnerUsesOnlyItsShare(t *testing.T) {
	limiter, now := &LocalLimiter{}, time.Second
	limiter.ApplyReply(now, Debit{}, DebitReply{Ready: true, Level: int64(limit.Burst), Demand: int64(limit.Rate / 2)})
	used := int64(0)
	for end := now + 10*time.Second; now < end; now += 10 * time.Millisecond {
		_, _ = limiter.Check(now, 1000)
		if admitted, _ := limiter.AdmitFromShare(now, limit, 68, 1000); admitted {
			used += 1000
		}
	}
	// The instance's own demand of a hundred thousand a second is above the limit.
	assert.Assert(t, float64(used) <= limit.Rate*10+limit.Burst)
	quiet := &LocalLimiter{}
	admitted, _ := quiet.AdmitFromShare(now, limit, 68, 1000)
	assert.Assert(t, admitted, "the first request may overdraw the fallback bucket")
	admitted, retryAfter := quiet.AdmitFromShare(now, limit, 68, 1000)
	assert.Assert(t, !admitted && retryAfter > 0)
}

// Guards against the whole tolerance being added to the enforced limit: replicas differ by
// the use that they have not received yet.
func TestRelaxAddsHalfOfTolerance(t *testing.T) {
	got := Tolerance{Overage: 0.1, Slack: 20_000}.Relax(Limit{Rate: 1000, Burst: 2000})
	assert.DeepEqual(t, got, Limit{Rate: 1050, Burst: 2100 + 10_000})
	assert.DeepEqual(t, Tolerance{}.Relax(limit), limit)
}

// Guards against one caller's large requests starving the small ones of the same
// organisation.
func TestSmallRequestsPassAtLowerLevel(t *testing.T) {
	owner := NewBucketOwner(0, "z", 1)
	owner.SetLimits(limitsOf(limit))
	now := 5 * time.Second
	owner.Debit(now, "i", Debit{Subject: org, Cost: int64(limit.Burst) - 1000})
	large, _ := owner.Debit(now, "i", Debit{Subject: org, Cost: 9000})
	small, _ := owner.Debit(now, "i", Debit{Subject: org, Cost: 200})
	assert.Assert(t, !large.Admitted)
	assert.Assert(t, small.Admitted)
}

// Guards against an instance's stale level undoing a refund that came after it.
func TestStaleLevelIsAdoptedOnlyByNewBucket(t *testing.T) {
	owner := NewBucketOwner(0, "z", 1)
	owner.SetLimits(limitsOf(limit))
	now := 5 * time.Second
	cost := int64(limit.Burst)
	stale := Debit{Subject: org, LevelKnown: true, Level: 0}
	owner.Debit(now, "i", Debit{Subject: org, Cost: cost})
	now += levelAdoptionWindow + time.Second
	owner.Debit(now, "i", Debit{Subject: org, Spent: -cost})
	owner.Debit(now, "j", stale)
	reply, _ := owner.Debit(now, "i", Debit{Subject: org})
	assert.Equal(t, reply.Level, cost)

	successor := NewBucketOwner(0, "z", 1)
	successor.SetLimits(limitsOf(limit))
	reply, _ = successor.Debit(now, "j", stale)
	assert.Equal(t, reply.Level, int64(0))
}

// Guards against a share of the limit being reserved for a partitioned zone whose callers
// have left.
func TestNoShareIsReservedForIdleZone(t *testing.T) {
	for _, lost := range []bool{false, true} {
		s := newSimulation(68, limitsOf(limit))
		s.runUntil(warmUp)
		s.generateLoad(org, 0.3*limit.Rate, 6000, warmUp+4*time.Second, "a")
		s.runUntil(warmUp + 14*time.Second)
		if lost {
			s.partitioned = func(a, b string) bool { return a == "a" || b == "a" }
		}
		s.generateLoad(org, 0.8*limit.Rate, 1000, warmUp+34*time.Second, "b")
		s.runUntil(warmUp + 35*time.Second)
		assert.Equal(t, s.refused[org], 0, "zone a is partitioned: %v", lost)
	}
}

// Guards against a share of the limit being reserved for a crashed owner after another owner
// has taken over its zone.
func TestNoShareIsReservedForReplacedOwner(t *testing.T) {
	for _, zone := range []string{"a", "b", "c"} {
		s := newSimulation(68, limitsOf(limit))
		s.runUntil(warmUp)
		s.generateLoad(org, 0.85*limit.Rate, 1000, warmUp+30*time.Second, "a", "b", "c")
		s.runUntil(warmUp + 5*time.Second)
		s.crash(s.ownerOf(zone, org))
		s.runUntil(warmUp + 8*time.Second)
		before := s.refused[org]
		s.runUntil(warmUp + 31*time.Second)
		assert.Equal(t, s.refused[org], before, "zone %s", zone)
	}
}
