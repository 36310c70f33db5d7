package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/tables"
	"github.com/carawaystile/carawaystile/weights"
)

const (
	// resendInterval is the time between two orders to an engine that leaves them unanswered.
	resendInterval = 300 * time.Millisecond
	// Such an engine gets the next order without a turn when 1/urgentDivisor of the allowed time has passed, and beside
	// more loads than usual when 1/criticalDivisor has, or 1/pressingDivisor while hardly any order is answered. It waits
	// for its turns again when all its targets have been known for overdueTargetFactor times that time.
	urgentDivisor       = 4
	pressingDivisor     = 3
	criticalDivisor     = 2
	overdueTargetFactor = 2
	// maxResendsPerStep bounds the orders without a turn that one step of the control loop begins, whatever the number
	// of engines.
	maxResendsPerStep = 10
	// maxOrdersInARow is how many orders for one model an engine leaves unanswered before its other models come first.
	maxOrdersInARow = 4
	// minAnsweredShare is the share of answered orders below which a further one most likely begins no load now.
	// answeredWeight is the weight of the latest order in it.
	minAnsweredShare = 0.25
	answeredWeight   = 0.125
)

// resendOrders returns further orders to engines that leave them unanswered and whose time runs out. Each of these
// may be carried out seconds later, so there is nothing to cordon them for, and they hold no slot until a load is
// seen.
func (p *Planner) resendOrders(now tables.Instant, engines []*engineState, freeSlots int) []Action {
	var due []*engineState
	for _, r := range engines {
		if r.phase == orderSent && r.unconfirmed {
			freeSlots--
		}
		if p.isResendDue(now, r) {
			due = append(due, r)
		}
	}
	slices.SortStableFunc(due, func(a, b *engineState) int { return cmp.Compare(a.orderedAt, b.orderedAt) })
	var actions []Action
	for _, r := range due {
		if len(actions) < maxResendsPerStep && (freeSlots > 0 || p.needsNoSlot(now, r)) {
			freeSlots--
			actions = append(actions, p.startOrder(now, r))
			r.unconfirmed = true
		}
	}
	return actions
}

// isResendDue reports whether an engine that leaves its orders or polls unanswered is to get the next order.
func (p *Planner) isResendDue(now tables.Instant, r *engineState) bool {
	awaitsOrder := r.phase == updating && r.unconfirmed || r.phase == idle
	hasReport := (p.EnginesCheckFence || !r.polling) && (r.phase == updating || r.sequenceKnown)
	isSilent := r.unanswered && hasReport || p.needsNoReport(r)
	return awaitsOrder && isSilent && p.hasPassed(now, r, urgentDivisor) && now-r.orderedAt >= resendInterval && p.isOrderable(now, r)
}

// needsNoReport reports whether an engine that has left a poll unanswered gets its order all the same. If it checks
// fencing tokens its sequence is not needed, and an order for weights that it serves changes nothing.
func (p *Planner) needsNoReport(r *engineState) bool { return p.EnginesCheckFence && r.unreported }

// needsNoSlot reports whether an engine gets its next order beside as many loads as are allowed.
func (p *Planner) needsNoSlot(now tables.Instant, r *engineState) bool {
	return p.hasPassed(now, r, criticalDivisor) || p.answeredShare < minAnsweredShare && p.hasPassed(now, r, pressingDivisor)
}

// hasPassed reports whether 1/divisor of the time for which an engine may serve outdated weights has passed, and it
// may still get its newest target in time.
func (p *Planner) hasPassed(now tables.Instant, r *engineState, divisor time.Duration) bool {
	oldest, newest := p.outdatedFor(now, r)
	return oldest >= p.WeightsTimeout/divisor && newest < overdueTargetFactor*p.WeightsTimeout
}

// outdatedFor returns for how long an engine has lacked the oldest target version that it does not serve, and the newest
// one since this planner knows that the engine lacks it; 0 if there is none.
func (p *Planner) outdatedFor(now tables.Instant, r *engineState) (oldest, newest time.Duration) {
	for model, version := range r.Weights {
		lacking := p.history.NewerThan(model, version)
		if len(lacking) == 0 {
			continue
		}
		oldest = max(oldest, now-lacking[0].SetAt)
		since := max(lacking[len(lacking)-1].SetAt, r.pendingSince)
		if newest == 0 || now-since < newest {
			newest = now - since
		}
	}
	return oldest, newest
}

// recordTargets records since when the targets have been known.
func (p *Planner) recordTargets(now tables.Instant, targets map[string]uint64) {
	for model, version := range targets {
		if version > p.history.Latest(model) {
			p.history.Record(weights.TargetVersion{Model: model, Version: version, SetAt: now})
		}
	}
}

// recordAnswer adds an order to the share of those that were answered.
func (p *Planner) recordAnswer(answered bool) {
	latest := 0.0
	if answered {
		latest = 1
	}
	p.answeredShare += answeredWeight * (latest - p.answeredShare)
}
