package router

import (
	"maps"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/systems/quarantine"
	"github.com/carawaystile/carawaystile/tables"
)

// quarantineFilter rejects endpoints where a request that is suspected of
// crashing endpoints must not run beside the work already there.
type quarantineFilter struct{ suspects *quarantine.Detector }

// Name is the reason reported for a rejected candidate.
func (quarantineFilter) Name() string { return "quarantine" }

// Keep applies the quarantine's verdict. It skips the check while there are no
// suspects.
func (f quarantineFilter) Keep(q *placement.Query, c *placement.Candidate) bool {
	if f.suspects.Empty() {
		return true
	}
	verdict := f.suspects.Verdict(q.Now, workOf(q.Request.Request))
	if q.IgnoreOwnership {
		verdict = verdict.WithoutOwnership()
	}
	return f.suspects.Admits(q.Now, c.Row.Endpoint.ID, verdict)
}

// workOf returns what identifies a request to the quarantine. Its parts are the
// blocks of its prompt, each of which stands for the prompt up to there.
func workOf(request *tables.Request) quarantine.Work {
	work := quarantine.Work{Request: request.Fingerprint}
	for _, block := range request.Blocks {
		work.Parts = append(work.Parts, quarantine.Part(block))
	}
	return work
}

// quarantineCode returns the error code for a request that is refused at present
// since it, or a part of its prompt, crashes endpoints; 0 if it is not refused.
func (r *Router) quarantineCode(now tables.Instant, request *tables.Request) tables.ErrorCode {
	if r.suspects.Empty() {
		return 0
	}
	work := workOf(request)
	if r.suspects.Verdict(now, work) != quarantine.Reject {
		return 0
	}
	if _, convicted := r.suspects.ConvictedPart(now, work); convicted {
		return tables.CodeQuarantinedPart
	}
	return tables.CodeQuarantined
}

// updateQuarantine reports the end of an attempt to the quarantine.
func (r *Router) updateQuarantine(now tables.Instant, a *tables.AttemptRow, in AttemptEnded) {
	switch in.Result {
	case Completed:
		r.broadcastSuspects(r.suspects.Completed(now, a.ID))
	case Interrupted:
		r.suspects.Interrupted(now, a.ID, in.GeneratedTokens, in.DeliveredTokens)
	case Crashed:
		r.suspects.Interrupted(now, a.ID, in.GeneratedTokens, in.DeliveredTokens)
		r.recordCrash(now, quarantine.Incarnation{Endpoint: r.endpoints.Row(a.Endpoint).Endpoint.ID, Boot: a.Boot})
	default:
		r.suspects.Ended(a.ID)
	}
}

// observeCrashDetected handles a crash that was detected only after the attempt
// had ended.
func (r *Router) observeCrashDetected(now tables.Instant, in CrashDetected) {
	incarnation, known := r.suspects.IncarnationOf(in.Attempt)
	if !known {
		return
	}
	if row := r.endpointRow(incarnation.Endpoint); row != nil {
		r.handleCrash(now, row, incarnation.Boot)
	}
	r.recordCrash(now, incarnation)
}

// setOwnableEndpoints sets the endpoints that instances divide among themselves for requests that
// are suspected of crashing endpoints.
func (r *Router) setOwnableEndpoints() {
	groups := make(map[string][]tables.EndpointID)
	for i := range r.endpoints.Len() {
		row := r.endpoints.Row(tables.EndpointIndex(i))
		if row.Declared {
			key := string(row.Endpoint.Service)
			for _, model := range slices.Sorted(slices.Values(row.Endpoint.Models)) {
				key += "/" + string(model)
			}
			groups[key] = append(groups[key], row.Endpoint.ID)
		}
	}
	r.suspects.SetEndpoints(slices.Collect(maps.Values(groups)))
}

// recordCrash reports the crash of an endpoint's boot to the quarantine, which
// then suspects the requests that were running there. The resulting suspects
// are broadcast to the other instances.
func (r *Router) recordCrash(now tables.Instant, incarnation quarantine.Incarnation) {
	r.broadcastSuspects(r.suspects.Crashed(now, incarnation))
}

// broadcastSuspects adds the action that sends reports to the other instances, if there are any.
func (r *Router) broadcastSuspects(suspects []quarantine.Suspect) {
	if len(suspects) > 0 {
		r.actions = append(r.actions, BroadcastSuspects{Suspects: suspects})
	}
}

const (
	// convictionGossipInterval is the interval between two GossipConvictions, which
	// hold at most maxGossipedConvictions.
	convictionGossipInterval = time.Second
	maxGossipedConvictions   = 64
)

// shareQuarantine adds the actions that log and repeat convictions.
func (r *Router) shareQuarantine(now tables.Instant) {
	if changes := r.suspects.TakePartChanges(); len(changes) > 0 {
		r.actions = append(r.actions, PartsChanged{Changes: changes})
	}
	if r.suspects.Empty() || now < r.nextConvictionGossip {
		return
	}
	r.nextConvictionGossip = now + convictionGossipInterval
	if convictions := r.suspects.ConvictionReports(now, maxGossipedConvictions); len(convictions) > 0 {
		r.actions = append(r.actions, GossipConvictions{Convictions: convictions})
	}
}

// refuseQuarantined ends pending requests that have been quarantined since they
// were queued.
func (r *Router) refuseQuarantined(now tables.Instant) {
	if r.suspects.Empty() {
		return
	}
	// A verdict may convict, so the verdicts are asked for in a fixed order.
	for _, row := range r.sortedRequests(func(row *tables.RequestRow) bool { return row.State == tables.Pending }) {
		code := r.quarantineCode(now, row.Request)
		switch {
		case code == 0:
		case row.Dispatched:
			r.fail(row, code, 0)
		default:
			r.refuse(row.Request, tables.Refusal{Code: code})
			r.finish(row)
		}
	}
}
