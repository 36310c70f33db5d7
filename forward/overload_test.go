package forward

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/tables"
)

// tally is what the callers of some requests got.
type tally struct {
	requests, inTime, onArrival, whileWaiting int
	tokens                                    float64
}

// tally sums up the requests that arrived in a period and meet a condition.
func (s *simulation) tally(from, until tables.Instant, matches func(*waiter) bool) tally {
	var t tally
	for _, r := range s.requests {
		if r.waiter.arrivedAt < from || r.waiter.arrivedAt >= until || !matches(&r.waiter) {
			continue
		}
		t.requests++
		switch {
		case r.answered && r.firstEventAt-r.waiter.arrivedAt <= r.waiter.target:
			t.inTime++
		case r.rejectedOnArrival:
			t.onArrival++
		case r.rejectedAt > 0:
			t.whileWaiting++
		}
		if r.started {
			t.tokens += float64(r.waiter.prompt)
		}
	}
	return t
}

// utilisation returns the fraction of the engines' time in which they computed prompts.
func (s *simulation) utilisation(took time.Duration) float64 {
	busy := time.Duration(0)
	for _, e := range s.engines {
		busy += e.busy
	}
	return float64(busy) / float64(took) / float64(len(s.engines))
}

// overload returns a load of the given multiple of the capacity of four engines: a third of the
// tokens in short urgent requests, the rest in long ones. One organisation sends ten times the
// requests of each of the ten others.
func overload(multiple float64, from, until tables.Instant) []workload {
	const tokensPerSecond = 4 * simulatedRate * 1000
	var load []workload
	for i := range 11 {
		share := 1.0 / 20
		if i == 0 {
			share = 10.0 / 20
		}
		name := fmt.Sprintf("org%d", i)
		load = append(load,
			workload{organisation: name, priority: 0, prompt: 500, target: 400 * time.Millisecond, perSecond: share * multiple * tokensPerSecond / 3 / 500, from: from, until: until},
			workload{organisation: name, priority: 1, prompt: 6000, target: 3 * time.Second, perSecond: share * multiple * tokensPerSecond * 2 / 3 / 6000, from: from, until: until})
	}
	return load
}

func isUrgent(w *waiter) bool { return w.target < time.Second }
func isLong(w *waiter) bool   { return !isUrgent(w) }

// Guards against overload in which all are late: at twice the capacity the engines stay busy,
// urgent requests are answered in time, and neither class nor any organisation is starved. With
// one instance organisations get equal shares.
func TestOverloadIsSharedBetweenClassesAndOrganisations(t *testing.T) {
	for instances, shares := range map[int][2]float64{1: {0.8, 1.2}, 16: {0.3, 11}} {
		s := newSimulation(4, instances)
		s.run(41*time.Second, overload(2, time.Second, 41*time.Second)...)
		used := s.utilisation(40 * time.Second)
		urgent, long := s.tally(3*time.Second, 37*time.Second, isUrgent), s.tally(3*time.Second, 37*time.Second, isLong)
		t.Logf("%d instances: prefill utilisation %.3f; urgent %+v; long %+v", instances, used, urgent, long)
		assert.Assert(t, used >= 0.9)
		assert.Assert(t, float64(urgent.inTime) >= 0.95*float64(urgent.requests), "%+v", urgent)
		assert.Assert(t, long.tokens >= 0.25*(long.tokens+urgent.tokens), "%+v", long)
		assert.Assert(t, 6000*float64(long.inTime) >= 0.95*long.tokens, "long requests that are placed are in time: %+v", long)
		for i := range 11 {
			of := func(w *waiter) bool { return isLong(w) && w.organisation == fmt.Sprintf("org%d", i) }
			share := s.tally(3*time.Second, 37*time.Second, of).tokens / (long.tokens / 11)
			assert.Assert(t, share > shares[0] && share < shares[1], "organisation %d got %.2f of an equal share", i, share)
		}
	}
}

// Guards against capacity that is reserved for organisations without requests, and against an
// organisation that has to wait until what others have borrowed is paid back.
func TestIdleOrganisationsLendTheirShares(t *testing.T) {
	s := newSimulation(4, 1)
	greedy := workload{organisation: "greedy", priority: 1, prompt: 4000, target: 2 * time.Second, perSecond: 64, from: time.Second, until: 21 * time.Second}
	back := greedy
	back.organisation, back.from = "back", 11*time.Second
	s.run(21*time.Second, greedy, back)
	of := func(name string) func(*waiter) bool { return func(w *waiter) bool { return w.organisation == name } }
	alone := s.tally(2*time.Second, 10*time.Second, of("greedy")).tokens / (8 * 4 * simulatedRate * 1000)
	first := s.tally(11*time.Second, 13*time.Second, of("back")).tokens
	share := first / (first + s.tally(11*time.Second, 13*time.Second, of("greedy")).tokens)
	t.Logf("alone %.2f of the capacity, then %.2f for the other one within two seconds", alone, share)
	assert.Assert(t, alone >= 0.9)
	assert.Assert(t, share >= 0.45)
}

// Guards against a small request that waits behind a hundred large ones, of its own organisation
// or of another one, whether these are placed or find no capacity.
func TestSmallRequestDoesNotWaitBehindLargeOnes(t *testing.T) {
	for _, placed := range []bool{false, true} {
		for _, organisation := range []string{"large", "other"} {
			q, now := newWaitQueue(), time.Second
			join := func(organisation string, prompt int) *waiter {
				w := &waiter{organisation: organisation, prompt: prompt, target: time.Minute, arrivedAt: now}
				w.setLimits(now, 0, false)
				_, joined := q.join(now, w)
				assert.Assert(t, joined)
				return w
			}
			for range 100 {
				join("large", 20_000)
			}
			first, _ := q.next(now)
			small := join(organisation, 200)
			for asked := 1; first != small; asked++ {
				assert.Assert(t, asked <= 2, "%d large requests came first", asked)
				if placed {
					q.placed(now, first)
				} else {
					q.full(now, first, 30*time.Millisecond)
				}
				first, _ = q.next(now)
			}
		}
	}
}

// waitQuotients returns, for the requests that were rejected on arrival, the quotient of the time
// after which the organisation got capacity for such a request and the wait that was named. The
// request would have started as the one after those of its organisation and class that were
// waiting already, at the same instance.
func (s *simulation) waitQuotients(from, until tables.Instant) []float64 {
	var quotients []float64
	for _, r := range s.requests {
		if !r.rejectedOnArrival || r.rejectedAt < from || r.rejectedAt >= until {
			continue
		}
		var starts []tables.Instant
		ahead := 0
		for _, other := range s.requests {
			if other.instance == r.instance && other.waiter.organisation == r.waiter.organisation && other.waiter.priority == r.waiter.priority && other.startedAt > r.rejectedAt {
				starts = append(starts, other.startedAt)
				if other.waiter.arrivedAt < r.rejectedAt {
					ahead++
				}
			}
		}
		slices.Sort(starts)
		if len(starts) > ahead {
			quotients = append(quotients, float64(starts[ahead]-r.rejectedAt)/float64(headerWait(s.random, r.retryAfter)))
		}
	}
	slices.Sort(quotients)
	return quotients
}

// headerWait returns the Retry-After that a caller is told for a predicted wait.
func headerWait(random *rand.Rand, predicted time.Duration) time.Duration {
	named := saturatedRetryAfter(predicted)
	return named + time.Duration(random.Float64()*float64(min(time.Duration(retryAfterJitter*float64(named)), maxRetryAfterJitter)))
}

// Guards against a Retry-After that says nothing about when there is capacity.
func TestNamedWaitsAreTrue(t *testing.T) {
	for _, multiple := range []float64{1.5, 2, 4} {
		s := newSimulation(4, 1)
		s.run(31*time.Second, overload(multiple, time.Second, 31*time.Second)...)
		quotients := s.waitQuotients(6*time.Second, 25*time.Second)
		within := 0
		for _, q := range quotients {
			if q >= 0.5 && q <= 2 {
				within++
			}
		}
		n := len(quotients)
		t.Logf("load %.1f: %d of %d waits within a factor of two; tenths %.2f %.2f %.2f", multiple, within, n, quotients[n/10], quotients[n/2], quotients[n*9/10])
		assert.Assert(t, float64(within) >= 0.85*float64(n))
		assert.Assert(t, quotients[n/2] > 0.8 && quotients[n/2] < 1.25)
	}
}

// Guards against an instance that has just started rejecting requests by a rate that it has not
// measured: it knows no backlog and decides as before.
func TestInstanceThatHasJustStartedRejectsNothingOnArrival(t *testing.T) {
	q := newWaitQueue()
	now := time.Second
	for i := range 50 {
		w := &waiter{organisation: "org", prompt: 1000, target: time.Second, arrivedAt: now}
		w.setLimits(now, 0, false)
		_, joined := q.join(now, w)
		assert.Assert(t, joined, "request %d", i)
	}
	s := newSimulation(2, 1)
	s.arrive(workload{organisation: "org", prompt: 500, target: 400 * time.Millisecond})
	assert.Assert(t, s.requests[0].started)
}

// Guards against a request that waits although it can no longer be answered in time, and against
// one that is rejected sooner than an eighth of its target after it arrived, or after it was first
// to be placed if its body was slow.
func TestWaitingRequestIsRejectedOnceItIsLate(t *testing.T) {
	w := &waiter{target: 800 * time.Millisecond, arrivedAt: time.Second}
	w.setLimits(time.Second, 0, false)
	assert.Equal(t, w.rejectAt(), 1400*time.Millisecond)
	q := newWaitQueue()
	q.full(time.Second, w, 600*time.Millisecond)
	assert.Equal(t, w.rejectAt(), 1100*time.Millisecond)
	slow := &waiter{target: 800 * time.Millisecond, arrivedAt: time.Second}
	slow.setLimits(3*time.Second, 0, false)
	assert.Equal(t, slow.rejectFrom, 3100*time.Millisecond)
	assert.Equal(t, slow.rejectAt(), 3100*time.Millisecond)
	w.setLimits(time.Second, 500*time.Millisecond, false)
	w.earliest = 0
	assert.Equal(t, w.rejectAt(), 1300*time.Millisecond, "its own prompt takes 500 ms")
	w.deadline = time.Minute
	q.postpone(2*time.Second, w, true)
	assert.Equal(t, w.rejectAt(), time.Minute, "a request that waits for another one's prompt stays until its deadline")
	q.full(3*time.Second, w, 10*time.Millisecond)
	assert.Assert(t, w.rejectAt() <= 3*time.Second, "it has found no capacity after that")
	assert.Equal(t, (&placementAnswer{reason: dispatch.PrefillPending}).full(), false)
}
