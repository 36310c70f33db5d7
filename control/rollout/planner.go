// Package rollout performs rolling updates of model weights on the engines of a forwarding
// deployment. It is a reconciliation controller: one control instance at a time, under a fenced
// lease, sends orders until all engines serve the target versions. Planner is the pure decision
// logic; Controller holds the lease and executes the planned actions.
package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
	"github.com/carawaystile/carawaystile/weights"
)

const (
	// firstPollDelay is the time between the acceptance of an order and the first poll of its
	// engine. Loading takes 0.4 s at least.
	firstPollDelay = 350 * time.Millisecond
	// pollInterval is the time between two polls of an engine. Each poll has a cost.
	pollInterval = 150 * time.Millisecond
	// pollRetryDelay is the time to the next poll of an engine that did not answer.
	pollRetryDelay = 400 * time.Millisecond
	// maxReportAge bounds how far a report lags behind the engine. A report that does not show an
	// order proves that the order was lost or is delayed only if it is received later than this
	// after the order.
	maxReportAge = 700 * time.Millisecond
	// cordonTime is how long an engine is cordoned before its order is sent. Requests that wait
	// there when the order arrives are declined and restart at another engine.
	cordonTime = 150 * time.Millisecond
	// updateTimeout is how long an update is considered in progress while no report shows it.
	// Engines finish running requests first.
	updateTimeout = 6 * time.Second
)

// phase is the stage of an engine in its update.
type phase uint8

const (
	// idle: no update is known to be in progress.
	idle phase = iota
	// cordoned: the other instances send no new requests to the engine, so that its queue is empty
	// when the order arrives.
	cordoned
	// orderSent: an order was sent and is not answered yet.
	orderSent
	// updating: an order was accepted, or may have been.
	updating
)

// String returns the name of the phase.
func (p phase) String() string {
	return [...]string{"idle", "cordoned", "order sent", "updating"}[p]
}

type engineState struct {
	fleet.Endpoint
	phase phase
	// orderedModel and orderedVersion are the subject of the latest order.
	orderedModel   string
	orderedVersion uint64
	// rejectedModel is the model whose order the engine rejected last; its other models come first then.
	rejectedModel string
	// sequence is the engine's sequence, valid if sequenceKnown is set.
	sequence      uint64
	sequenceKnown bool
	// polling is set while a poll is in flight, which was sent at polledAt; nextPollAt is when the next one is
	// due. phaseSince is when the phase began, or when a report last showed the update in progress.
	polling    bool
	polledAt   tables.Instant
	nextPollAt tables.Instant
	phaseSince tables.Instant
	// confirmedAt is when the engine itself last showed the weights that are known. doubted is set if these may be
	// wrong, so that its report is needed before anything else. listed is what the list showed last.
	confirmedAt tables.Instant
	doubted     bool
	listed      map[string]uint64
	// process is the start of the process that the state is about, in Unix milliseconds; 0 if it is unknown.
	process int64
	// announcedLeave is set once the process itself has announced that it is about to stop.
	announcedLeave bool
	// orderedAt is when the latest order was sent, 0 if none was, and pendingSince since when the engine has
	// been behind a target, 0 if it is not.
	orderedAt, pendingSince tables.Instant
	// acceptedSequence is the engine's sequence after it accepts the latest order.
	acceptedSequence uint64
	// settledSequence is the sequence of the last order that is known to be accepted, or to come after an older one.
	settledSequence uint64
	// unconfirmed is set in an update that is not seen: the order got no answer, or the latest poll got none.
	// Most such orders are lost, or wait for seconds. The engine then still serves its old weights, and if it
	// does not, it declines requests itself.
	unconfirmed bool
	// pausedUntil is when the back-off that the engine has requested ends.
	pausedUntil tables.Instant
	// loadsUnordered is set while an idle engine reports a load: an earlier holder of the lease has ordered it, or
	// the order was carried out late.
	loadsUnordered bool
	// unanswered is set if the engine has left an order unanswered since it last answered one; unreported is set if
	// the latest poll got no report.
	unanswered, unreported bool
	// unansweredInARow counts the latest orders for orderedModel without an answer.
	unansweredInARow int
	// loadingSince is when the load that is in progress was accepted or first seen, 0 if none is.
	loadingSince tables.Instant
}

// Planner decides which engines to poll and which to update, as a state machine per engine. It
// limits the number of concurrent updates. It is not safe for concurrent use.
type Planner struct {
	engineStates map[tables.EndpointID]*engineState
	targets      map[string]uint64
	// notBefore is the earliest time for orders to an endpoint.
	notBefore map[tables.EndpointID]tables.Instant
	pauses    map[tables.EndpointID]pause
	// generation counts the changes of the targets; history has since when each has been known.
	generation uint64
	history    *weights.History
	// WeightsTimeout is how long requests may begin on outdated weights; 0 is without a limit.
	WeightsTimeout time.Duration
	// EnginesCheckFence is set if engines carry out no order under a lower fencing token than they have seen.
	EnginesCheckFence bool
	// answeredShare is a decayed average of the share of orders that were answered.
	answeredShare float64
	// MaxConcurrent overrides how many engines load at once; zero derives it from their number.
	MaxConcurrent int
	// loadTime is the moving average of the time from the acceptance of an order to the report that shows it
	// done, 0 before the first.
	loadTime time.Duration
	// overdueSince is since when there has been an overdue load, 0 if there is none, and endedBesideOverdue
	// counts the loads that have begun and ended since.
	overdueSince       tables.Instant
	endedBesideOverdue int
}

// NewPlanner returns a planner without engines and targets.
func NewPlanner() *Planner {
	return &Planner{
		engineStates: map[tables.EndpointID]*engineState{}, targets: map[string]uint64{},
		notBefore: map[tables.EndpointID]tables.Instant{}, pauses: map[tables.EndpointID]pause{},
		history: &weights.History{}, answeredShare: 1,
	}
}

// DelayOrders prevents orders to an endpoint until the given time.
func (p *Planner) DelayOrders(id tables.EndpointID, until tables.Instant) { p.notBefore[id] = until }

// SetTarget sets the version that a model should be served with. A target is never lowered.
func (p *Planner) SetTarget(model string, version uint64) {
	if version > p.targets[model] {
		p.targets[model] = version
		p.generation++
	}
}

// UpdateEndpoints replaces the list of known endpoints. Endpoints without weights are ignored, unless most others
// of their service have some: those are engines, and a poll tells what they serve. A restarted endpoint loses its
// update state. For the others what they have shown themselves is kept: the list lags, and may have entries of
// other writers.
func (p *Planner) UpdateEndpoints(endpoints []fleet.Endpoint) {
	present := make(map[tables.EndpointID]bool, len(endpoints))
	engines := engineServices(endpoints)
	for _, e := range endpoints {
		if len(e.Weights) == 0 && !engines[e.Service] {
			continue
		}
		present[e.ID] = true
		known := p.engineStates[e.ID]
		if known == nil || known.restartedAs(e.StartUnixMilli) {
			p.engineStates[e.ID] = newEngineState(e)
			p.resumePause(p.engineStates[e.ID])
			continue
		}
		known.doubted = known.doubted || known.isClaimedNewer(e)
		weights := known.Weights
		known.Endpoint = newEngineState(e).Endpoint
		known.Draining = known.Draining || known.announcedLeave
		maps.Copy(known.Weights, weights)
	}
	for id := range p.engineStates {
		if !present[id] {
			delete(p.engineStates, id)
			delete(p.pauses, id)
		}
	}
}

// newEngineState returns the state of a listed process of which nothing else is known.
func newEngineState(e fleet.Endpoint) *engineState {
	e = e.Clone()
	if e.Weights == nil {
		e.Weights = map[string]uint64{}
	}
	return &engineState{Endpoint: e, process: e.StartUnixMilli, doubted: len(e.Weights) == 0}
}

// Action is a call to an engine: an order if Version is set, a poll otherwise.
type Action struct {
	Endpoint fleet.Endpoint
	// Process is the start of the process that the call is meant for, 0 if it is unknown.
	Process  int64
	Model    string
	Version  uint64
	Sequence uint64
	// Generation counts the changes of the targets up to those that the order is for.
	Generation uint64
}

// NextActions returns the actions that are due. The result of each must be passed to HandleReport
// or HandleOrderResult.
func (p *Planner) NextActions(now tables.Instant) []Action {
	p.recordTargets(now, p.targets)
	if p.Converged() {
		return nil
	}
	engines := p.oldestFirst()
	var actions []Action
	var waiting []*engineState
	for _, r := range engines {
		if r.phase == cordoned && !p.isOrderable(now, r) {
			r.phase = idle
		}
		if r.phase == cordoned {
			waiting = append(waiting, r)
		}
		if p.shouldPoll(now, r) {
			r.polling, r.polledAt = true, now
			actions = append(actions, Action{Endpoint: r.Endpoint, Process: r.process})
		}
	}
	cordonedCount := len(waiting)
	freeSlots := p.maxConcurrent() - p.slotsInUse(now)
	slices.SortStableFunc(waiting, func(a, b *engineState) int { return cmp.Compare(a.phaseSince, b.phaseSince) })
	for _, r := range waiting {
		if freeSlots > 0 && now-r.phaseSince >= cordonTime {
			freeSlots--
			cordonedCount--
			actions = append(actions, p.startOrder(now, r))
		}
	}
	actions = append(actions, p.resendOrders(now, engines, freeSlots)...)
	p.cordon(now, engines, p.maxConcurrent()/2-cordonedCount)
	return actions
}

// isOrderable reports whether an engine is to get an order and may get one now.
func (p *Planner) isOrderable(now tables.Instant, r *engineState) bool {
	_, version := p.pendingUpdate(r)
	return version != 0 && (!r.doubted || p.needsNoReport(r)) && !r.Draining && now >= max(r.pausedUntil, p.notBefore[r.ID])
}

// startOrder moves an engine to orderSent and returns its order.
func (p *Planner) startOrder(now tables.Instant, r *engineState) Action {
	model, version := p.pendingUpdate(r)
	if model != r.orderedModel {
		r.unansweredInARow = 0
	}
	r.phase, r.orderedModel, r.orderedVersion, r.phaseSince, r.unconfirmed, r.loadingSince = orderSent, model, version, now, false, 0
	r.acceptedSequence, r.orderedAt = r.sequence+1, now
	return Action{Endpoint: r.Endpoint, Process: r.process, Model: model, Version: version, Sequence: r.sequence, Generation: p.generation}
}

func (p *Planner) shouldPoll(now tables.Instant, r *engineState) bool {
	if r.polling || now < max(r.nextPollAt, r.pausedUntil) {
		return false
	}
	if r.phase == updating {
		return true
	}
	_, version := p.pendingUpdate(r)
	return r.phase == idle && !r.Draining && (r.doubted || version != 0 && !r.sequenceKnown)
}

// pendingUpdate returns the model to order next of those that the engine serves in an older version than their
// targets, and its target, which is 0 if there is no such model.
func (p *Planner) pendingUpdate(r *engineState) (string, uint64) {
	best := ""
	for model, version := range r.Weights {
		if version < p.targets[model] && (best == "" || p.compareModels(r, model, best) < 0) {
			best = model
		}
	}
	return best, p.targets[best]
}

// HandleReport processes the report of a poll, nil if the engine did not answer. It returns whether
// the report completes an update.
func (p *Planner) HandleReport(now tables.Instant, id tables.EndpointID, report *Report) bool {
	r := p.engineStates[id]
	if r == nil {
		return false
	}
	r.polling, r.loadsUnordered = false, false
	r.unreported = report == nil
	if report == nil {
		r.nextPollAt = now + pollRetryDelay
		r.unconfirmed = r.unconfirmed || r.phase == updating
		p.expireUpdate(now, r)
		return false
	}
	if report.Born != 0 && r.process != 0 && report.Born != r.process {
		*r = engineState{Endpoint: r.Endpoint}
	}
	r.process = cmp.Or(report.Born, r.process)
	r.confirm(now, report)
	r.doubted = false
	r.nextPollAt = now + pollInterval
	switch {
	case r.phase == updating && r.Weights[r.orderedModel] >= r.orderedVersion && !report.Busy:
		r.phase, r.sequenceKnown, r.unanswered, r.unansweredInARow = idle, true, false, 0
		r.sequence = max(report.Sequence, r.acceptedSequence)
		p.recordLoad(now, r)
		return true
	case r.phase == updating && report.Busy:
		r.phaseSince, r.unconfirmed = now, false
		if r.loadingSince == 0 {
			r.loadingSince = now
		}
	case r.phase == updating && report.Sequence >= r.acceptedSequence && !p.mayPrecede(now, r):
		// An earlier order was delayed and has taken the sequence. The engine rejects the latest one if that
		// names it.
		r.phase, r.sequenceKnown, r.sequence = idle, true, report.Sequence
	case r.phase == updating && report.Sequence < r.acceptedSequence && now-r.phaseSince > maxReportAge:
		// The order was lost or is delayed. The next order uses the same sequence, so whichever
		// arrives first makes the other one outdated.
		r.phase, r.sequenceKnown, r.sequence = idle, true, report.Sequence
	case r.phase == idle:
		r.sequenceKnown, r.doubted = !report.Busy, report.Busy
		r.recordUnorderedLoad(now, report.Busy)
		r.sequence = report.Sequence
	default:
		p.expireUpdate(now, r)
	}
	return false
}

// HandleOrderResult processes an engine's answer to an order; zero means none.
func (p *Planner) HandleOrderResult(now tables.Instant, id tables.EndpointID, result OrderResult) {
	r := p.engineStates[id]
	if r == nil || r.phase != orderSent {
		return
	}
	if result != Rejected {
		p.recordAnswer(result != 0)
	}
	switch result {
	case Accepted:
		r.rejectedModel, r.unanswered, r.unansweredInARow, r.unconfirmed = "", false, 0, false
		r.phase, r.phaseSince, r.loadingSince, r.nextPollAt = updating, now, now, now+firstPollDelay
	case AlreadyServing:
		r.phase, r.confirmedAt, r.rejectedModel, r.unanswered, r.unansweredInARow = idle, now, "", false, 0
		r.Weights[r.orderedModel] = max(r.Weights[r.orderedModel], r.orderedVersion)
	case Declined:
		r.phase, r.pausedUntil = idle, max(r.pausedUntil, now+pollRetryDelay)
	case Conflict, Rejected, Fenced:
		r.phase, r.sequenceKnown, r.nextPollAt = idle, false, now+pollInterval
		if result == Rejected {
			r.rejectedModel = r.orderedModel
		}
	default:
		// phaseSince stays at the time when the order was sent. A later report without the order
		// proves that the order was lost or is delayed.
		r.phase, r.nextPollAt, r.unconfirmed, r.unanswered = updating, now, true, true
		r.unansweredInARow++
	}
}

// Converged reports whether no update runs and every engine not draining serves the targets.
func (p *Planner) Converged() bool {
	for _, r := range p.engineStates {
		if _, version := p.pendingUpdate(r); (version != 0 || r.doubted) && !r.Draining || r.phase != idle {
			return false
		}
	}
	return true
}

// Updating reports whether an engine is cordoned for an order or known to execute one.
func (p *Planner) Updating(id tables.EndpointID) bool {
	r := p.engineStates[id]
	return r != nil && r.phase != idle && !r.unconfirmed
}

// AllUpdating returns the engines for which Updating is true.
func (p *Planner) AllUpdating() map[tables.EndpointID]bool {
	ids := map[tables.EndpointID]bool{}
	for id := range p.engineStates {
		if p.Updating(id) {
			ids[id] = true
		}
	}
	return ids
}
