package rollout

import (
	"cmp"
	"errors"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/tables"
)

// referenceInterval is the time between two orders of the reference to one engine.
const referenceInterval = orderTimeout + stepInterval

// reference decides with full knowledge of the engines: their weights, loads and sequences. A draw in which it keeps the
// bound leaves a planner a chance; one in which it does not may leave one too.
type reference struct {
	*simulation
	// next is when a process may get its next order, by its start.
	next map[int64]tables.Instant
}

// referenceOrder is an order that a process needs. The oldest version that it lacks is due since an instant.
type referenceOrder struct {
	to    *simProcess
	since tables.Instant
	order Order
}

// useReference has the reference decide in place of the planner.
func useReference(s *simulation) {
	s.decide = (&reference{simulation: s, next: map[int64]tables.Instant{}}).step
}

// step sends orders to the engines that have lacked a version for longest, while a fifth of the engines may load.
func (r *reference) step() {
	running := r.running()
	free := max(minConcurrent, (len(running)+concurrencyDivisor-1)/concurrencyDivisor)
	var due []referenceOrder
	for _, p := range running {
		if p.loading != 0 {
			free--
			continue
		}
		if o := r.orderFor(p); o.order.Version != 0 && r.now >= r.next[p.start] {
			due = append(due, o)
		}
	}
	slices.SortStableFunc(due, func(a, b referenceOrder) int { return cmp.Compare(a.since, b.since) })
	for _, o := range due {
		if free > 0 && r.send(o) {
			free--
		}
	}
}

// orderFor returns the order of the newest version of the model that has been due for longest.
func (r *reference) orderFor(p *simProcess) referenceOrder {
	best := referenceOrder{to: p}
	consider := func(model string, named []simVersion, served uint64) {
		for _, n := range named {
			if since := max(n.ackedAt, p.bornAt); n.version > served && (best.order.Version == 0 || since < best.since) {
				best.since = since
				best.order = Order{Model: model, Version: named[len(named)-1].version, Fence: tables.FencingToken(len(r.named) + len(r.namedSecond))}
			}
		}
	}
	consider(simModel, r.named, p.version)
	consider(simSecondModel, r.namedSecond, p.second)
	return best
}

// send sends an order and reports whether a load has begun.
func (r *reference) send(o referenceOrder) bool {
	p := o.to
	r.next[p.start] = r.now + referenceInterval
	switch {
	case r.isCut(p) || r.now < p.hangingUntil && r.random.Float64() < r.platform.hangShare:
		return false
	case r.now < p.lateUntil && r.random.Float64() < r.platform.lateShare:
		r.after(r.platform.lateMin+time.Duration(r.random.Int64N(int64(r.platform.lateMax-r.platform.lateMin))), func() {
			if current := r.process(p.id); current != nil {
				o.order.Sequence = current.sequence
				r.carryOutLate(p, p.id, o.order)
			}
		})
		return false
	}
	var pushback *engine.PushbackError
	if errors.As(r.shed(p), &pushback) {
		r.next[p.start] = r.now + pushback.RetryAfter
		return false
	}
	o.order.Sequence = p.sequence
	return r.carryOut(p, o.order) == Accepted
}

// Guards against draws that no planner can keep the bound in.
func TestTroubledDrawsLeaveAChance(t *testing.T) {
	var lags []time.Duration
	for seed := *searchFirst; seed < *searchFirst+uint64(*searchSeeds); seed++ {
		lag, _ := drawTroubled(seed, true, anyKinds).run(seed, useReference)
		lags = append(lags, lag)
		assert.Check(t, lag <= maxVersionLag, "seed %d: %v", seed, lag)
	}
	slices.Sort(lags)
	t.Logf("lags of %d draws: median %v, worst %v", len(lags), lags[len(lags)/2], lags[max(0, len(lags)-5):])
}
