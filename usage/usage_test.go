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
	// overage is the part by which a window's use may exceed the limit.
	overage = 0.1
	// settle is when accounts are full after the start.
	settle = 2 * time.Second
)

var limit = Limit{Rate: 90_000, Burst: 90_000}

func limited(l Limit) map[Subject]Limit { return map[Subject]Limit{org: l} }

// allowed is the most use that a window may hold under a limit.
func allowed(l Limit) int64 { return int64((l.Rate*window.Seconds() + l.Burst) * (1 + overage)) }

var sizes = []int{9, 68, 300}

func atSizes(t *testing.T, f func(t *testing.T, instances int)) {
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) { f(t, n) })
	}
}

// Guards against the limit being exceeded, or a part of it being of no use, when callers
// ask for more than it, at however many instances.
func TestAboveTheLimitAllOfItIsUsed(t *testing.T) {
	for _, demand := range []float64{1.2, 2, 5} {
		t.Run(fmt.Sprint(demand), func(t *testing.T) {
			atSizes(t, func(t *testing.T, n int) {
				s := newSim(n, limited(limit))
				s.run(settle)
				s.load(org, demand*limit.Rate, 6000, settle+20*time.Second, "a", "b", "c")
				s.run(settle + 21*time.Second)
				assert.Assert(t, s.most(org, window) <= allowed(limit), "%d of %d", s.most(org, window), allowed(limit))
				usable := float64(s.used(org, settle+2*time.Second)) / (limit.Rate * 18)
				t.Logf("usable %.3f, highest window %.3f of the limit, %d messages", usable, float64(s.most(org, window))/(limit.Rate*9), s.messages)
				assert.Assert(t, usable >= 0.98, "%.3f", usable)
			})
		})
	}
}

// Guards against refusals of an organisation that keeps below its limit, however uneven the
// demand is over zones and instances, beside one that is far above its own.
func TestBelowTheLimitNothingIsRefused(t *testing.T) {
	atSizes(t, func(t *testing.T, n int) {
		s := newSim(n, map[Subject]Limit{org: limit, "greedy": limit})
		s.run(settle)
		s.load("greedy", 5*limit.Rate, 6000, settle+20*time.Second, "a", "b")
		s.load(org, 0.5*limit.Rate, 6000, settle+20*time.Second, "a")
		s.load(org, 0.05*limit.Rate, 1000, settle+20*time.Second, "b", "c")
		s.run(settle + 21*time.Second)
		assert.Equal(t, s.refused[org], 0)
		assert.Assert(t, s.refused["greedy"] > 0)
		assert.Assert(t, s.most("greedy", window) <= allowed(limit))
	})
}

// Guards against an organisation being refused because its callers turn to another zone.
func TestDemandMayMoveBetweenZonesAtOnce(t *testing.T) {
	atSizes(t, func(t *testing.T, n int) {
		s := newSim(n, limited(limit))
		s.run(settle)
		for i, zone := range []string{"a", "b", "c", "a", "b"} {
			from := settle + time.Duration(i)*3*time.Second
			s.run(from)
			s.load(org, 0.6*limit.Rate, 6000, from+3*time.Second, zone)
		}
		s.run(settle + 16*time.Second)
		assert.Equal(t, s.refused[org], 0)
	})
}

// Guards against zones that are cut off from each other each using the whole limit, and
// against their using too little of it.
func TestZonesThatAreCutOffShareTheLimit(t *testing.T) {
	for _, demand := range []float64{0.6, 1.5} {
		t.Run(fmt.Sprint(demand), func(t *testing.T) {
			atSizes(t, func(t *testing.T, n int) {
				s := newSim(n, limited(limit))
				s.run(settle)
				end := settle + 30*time.Second
				s.load(org, 0.6*demand*limit.Rate, 6000, end, "a")
				s.load(org, 0.3*demand*limit.Rate, 6000, end, "b")
				s.load(org, 0.1*demand*limit.Rate, 6000, end, "c")
				s.run(settle + 8*time.Second)
				s.cut = func(a, b string) bool { return a != b }
				s.run(settle + 20*time.Second)
				during := s.used(org, settle+10*time.Second)
				s.cut = func(string, string) bool { return false }
				s.run(end)
				usable := float64(during) / (min(1, demand) * limit.Rate * 10)
				t.Logf("usable %.3f, highest window %.3f of the limit, refused %d", usable, float64(s.most(org, window))/(limit.Rate*9), s.refused[org])
				assert.Assert(t, s.most(org, window) <= allowed(limit))
				assert.Assert(t, usable >= 0.95, "%.3f", usable)
			})
		})
	}
}

// Guards against a burst of each instance's own after all were restarted: a window spans
// the restart.
func TestARestartOfAllGivesNoSecondBurst(t *testing.T) {
	atSizes(t, func(t *testing.T, n int) {
		s := newSim(n, limited(limit))
		s.run(settle)
		s.load(org, 3*limit.Rate, 6000, settle+20*time.Second, "a", "b", "c")
		for at := settle + 5*time.Second; at < settle+9*time.Second; at += time.Second {
			s.run(at)
			for _, m := range s.members {
				s.start(m)
			}
		}
		s.run(settle + 21*time.Second)
		assert.Assert(t, s.most(org, window) <= allowed(limit), "%d of %d", s.most(org, window), allowed(limit))
	})
}

// Guards against a new accountant that knows nothing of what was used under the one before.
func TestALostAccountantGivesNoSecondBurst(t *testing.T) {
	atSizes(t, func(t *testing.T, n int) {
		s := newSim(n, limited(limit))
		s.run(settle)
		s.load(org, 2*limit.Rate, 6000, settle+20*time.Second, "a", "b", "c")
		for i, zone := range s.zones {
			s.run(settle + time.Duration(4+i)*time.Second)
			s.lose(s.accountantOf(zone, org))
		}
		s.run(settle + 21*time.Second)
		assert.Assert(t, s.most(org, window) <= allowed(limit), "%d of %d", s.most(org, window), allowed(limit))
	})
}

// Guards against a lowered limit that goes on as before, and a raised one that is not in
// force at once.
func TestLimitsChangeAtOnce(t *testing.T) {
	low := Limit{Rate: 30_000, Burst: 30_000}
	s := newSim(68, limited(limit))
	s.run(settle)
	s.load(org, 0.6*limit.Rate, 6000, settle+30*time.Second, "a", "b", "c")
	s.run(settle + 5*time.Second)
	assert.Equal(t, s.refused[org], 0)
	s.setLimits(limited(low))
	s.run(settle + 15*time.Second)
	assert.Assert(t, s.used(org, settle+7*time.Second) <= allowed(low))
	s.setLimits(limited(limit))
	before := s.refused[org]
	s.run(settle + 30*time.Second)
	assert.Equal(t, s.refused[org], before)
}

// Guards against an instance that wakes with an old lease using it on and on.
func TestAnOldLeaseEndsWithItsFirstReport(t *testing.T) {
	a := NewBucketOwner(0, "z", 1)
	a.SetLimits(limited(limit))
	now := 5 * time.Second
	m := &LocalLimiter{}
	d := m.NewDebit(now, org, 1000)
	answer, _ := a.Debit(now, "sleeper", d)
	m.ApplyReply(now, d, answer)
	assert.Assert(t, answer.Lease > 0)
	used, ended := a.Debit(now, "other", Debit{Subject: org, Cost: int64(limit.Burst)})
	assert.Assert(t, used.Admitted)
	assert.DeepEqual(t, ended, []tables.InstanceID{"sleeper"})
	// The notice is lost. The instance's clock has stood still while it was frozen.
	step, _ := m.Check(now, 1000)
	assert.Equal(t, step, Admit)
	d = m.NewDebit(now, org, 0)
	answer, _ = a.Debit(now+time.Second/2, "sleeper", d)
	m.ApplyReply(now, d, answer)
	step, _ = m.Check(now, 1000)
	assert.Equal(t, step, AskOwner)
}

// Guards against requests that did not run counting for good.
func TestWhatDidNotRunIsGivenBack(t *testing.T) {
	a := NewBucketOwner(0, "z", 1)
	a.SetLimits(limited(limit))
	now := 5 * time.Second
	m := &LocalLimiter{}
	for range 3 {
		d := m.NewDebit(now, org, int64(limit.Burst)+1)
		answer, _ := a.Debit(now, "i", d)
		m.ApplyReply(now, d, answer)
		assert.Assert(t, answer.Admitted)
		m.Charge(now, -int64(limit.Burst)-1)
		d = m.NewDebit(now, org, 0)
		answer, _ = a.Debit(now, "i", d)
		m.ApplyReply(now, d, answer)
	}
}

// Guards against refused callers coming back all at the same moment.
func TestRefusedCallersComeBackOneAfterTheOther(t *testing.T) {
	a := NewBucketOwner(0, "z", 1)
	a.SetLimits(limited(limit))
	now := 5 * time.Second
	a.Debit(now, "i", Debit{Subject: org, Cost: 2 * int64(limit.Burst)})
	last := time.Duration(0)
	for range 5 {
		answer, _ := a.Debit(now, "i", Debit{Subject: org, Cost: 9000})
		assert.Assert(t, !answer.Admitted)
		assert.Assert(t, answer.RetryAfter > last, "%v after %v", answer.RetryAfter, last)
		last = answer.RetryAfter
	}
	assert.Assert(t, last >= time.Second, "the level is one second of the rate below zero")
}

// Guards against accounts of organisations that are not active taking memory and messages.
func TestIdleOrganisationsCostNothing(t *testing.T) {
	limits := map[Subject]Limit{}
	for i := range 8600 {
		limits[Subject(fmt.Sprint(i))] = limit
	}
	a := NewBucketOwner(0, "z", 1)
	a.SetLimits(limits)
	now := time.Second
	for id := range limits {
		a.Debit(now, "i", Debit{Subject: id, Cost: 1})
	}
	a.DueReports(now)
	now += time.Minute
	assert.Equal(t, len(a.DueReports(now)), 0)
	assert.Assert(t, a.Empty())
}

// Guards against an instance that reaches no accountant using more than its own part.
func TestAnInstanceThatIsCutOffKeepsToItsOwnPart(t *testing.T) {
	m, now := &LocalLimiter{}, time.Second
	m.ApplyReply(now, Debit{}, DebitReply{Ready: true, Level: int64(limit.Burst), Demand: int64(limit.Rate / 2)})
	used := int64(0)
	for end := now + 10*time.Second; now < end; now += 10 * time.Millisecond {
		_, _ = m.Check(now, 1000)
		if admitted, _ := m.AdmitFromShare(now, limit, 68, 1000); admitted {
			used += 1000
		}
	}
	// Its own demand, a hundred thousand a second, is above the limit.
	assert.Assert(t, float64(used) <= limit.Rate*10+limit.Burst)
	quiet := &LocalLimiter{}
	admitted, _ := quiet.AdmitFromShare(now, limit, 68, 1000)
	assert.Assert(t, admitted, "the first request is admitted into debt")
	admitted, after := quiet.AdmitFromShare(now, limit, 68, 1000)
	assert.Assert(t, !admitted && after > 0)
}

// Guards against a tolerance that is given out whole: accounts differ by what they have not
// received yet.
func TestHalfOfTheToleranceIsGivenOut(t *testing.T) {
	got := Tolerance{Overage: 0.1, Slack: 20_000}.Relax(Limit{Rate: 1000, Burst: 2000})
	assert.DeepEqual(t, got, Limit{Rate: 1050, Burst: 2100 + 10_000})
	assert.DeepEqual(t, Tolerance{}.Relax(limit), limit)
}

// Guards against one caller's large requests keeping the small ones of its organisation out.
func TestSmallRequestsPassAtALowerLevel(t *testing.T) {
	a := NewBucketOwner(0, "z", 1)
	a.SetLimits(limited(limit))
	now := 5 * time.Second
	a.Debit(now, "i", Debit{Subject: org, Cost: int64(limit.Burst) - 1000})
	large, _ := a.Debit(now, "i", Debit{Subject: org, Cost: 9000})
	small, _ := a.Debit(now, "i", Debit{Subject: org, Cost: 200})
	assert.Assert(t, !large.Admitted)
	assert.Assert(t, small.Admitted)
}

// Guards against an instance's old knowledge of the level undoing what was given back since.
func TestOldLevelsCountOnlyForANewAccount(t *testing.T) {
	a := NewBucketOwner(0, "z", 1)
	a.SetLimits(limited(limit))
	now := 5 * time.Second
	cost := int64(limit.Burst)
	stale := Debit{Subject: org, LevelKnown: true, Level: 0}
	a.Debit(now, "i", Debit{Subject: org, Cost: cost})
	now += learnFor + time.Second
	a.Debit(now, "i", Debit{Subject: org, Spent: -cost})
	a.Debit(now, "j", stale)
	answer, _ := a.Debit(now, "i", Debit{Subject: org})
	assert.Equal(t, answer.Level, cost)

	successor := NewBucketOwner(0, "z", 1)
	successor.SetLimits(limited(limit))
	answer, _ = successor.Debit(now, "j", stale)
	assert.Equal(t, answer.Level, int64(0))
}

// Guards against a part of the limit being kept for a zone whose callers have left.
func TestNothingIsSetAsideForAZoneWithoutCallers(t *testing.T) {
	for _, lost := range []bool{false, true} {
		s := newSim(68, limited(limit))
		s.run(settle)
		s.load(org, 0.3*limit.Rate, 6000, settle+4*time.Second, "a")
		s.run(settle + 14*time.Second)
		if lost {
			s.cut = func(a, b string) bool { return a == "a" || b == "a" }
		}
		s.load(org, 0.8*limit.Rate, 1000, settle+34*time.Second, "b")
		s.run(settle + 35*time.Second)
		assert.Equal(t, s.refused[org], 0, "zone a is cut off: %v", lost)
	}
}

// Guards against a part of the limit being kept for an accountant that is gone, though
// another one serves its zone.
func TestNothingIsSetAsideForAnAccountantThatWasReplaced(t *testing.T) {
	for _, zone := range []string{"a", "b", "c"} {
		s := newSim(68, limited(limit))
		s.run(settle)
		s.load(org, 0.85*limit.Rate, 1000, settle+30*time.Second, "a", "b", "c")
		s.run(settle + 5*time.Second)
		s.lose(s.accountantOf(zone, org))
		s.run(settle + 8*time.Second)
		before := s.refused[org]
		s.run(settle + 31*time.Second)
		assert.Equal(t, s.refused[org], before, "zone %s", zone)
	}
}
