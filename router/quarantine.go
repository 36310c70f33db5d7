package router

import (
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/systems/quarantine"
	"github.com/carawaystile/carawaystile/tables"
)

// suspectFilter drops endpoints that a request suspected of crashing them may
// not share with what runs there.
type suspectFilter struct{ suspects *quarantine.Detector }

// Name is the reason given for a dropped candidate.
func (suspectFilter) Name() string { return "quarantine" }

// Keep asks the quarantine, unless it suspects nobody.
func (f suspectFilter) Keep(q *placement.Query, c *placement.Candidate) bool {
	if f.suspects.Empty() {
		return true
	}
	verdict := f.suspects.Verdict(q.Now, q.Request.Request.Fingerprint)
	if q.AnyOwner {
		verdict = verdict.WithoutOwnership()
	}
	return f.suspects.Admits(q.Now, c.Row.Endpoint.ID, verdict)
}

// convicted says whether equal work must not run for now.
func (r *Router) convicted(now tables.Instant, f tables.Fingerprint) bool {
	return !r.suspects.Empty() && r.suspects.Verdict(now, f) == quarantine.Reject
}

// suspectEnd tells the quarantine how an attempt ended.
func (r *Router) suspectEnd(now tables.Instant, a *tables.AttemptRow, in AttemptEnded) {
	switch in.Result {
	case Completed:
		r.suspects.Completed(a.ID)
	case Interrupted:
		r.suspects.Interrupted(now, a.ID, in.GeneratedTokens, in.DeliveredTokens)
	case Crashed:
		r.suspects.Interrupted(now, a.ID, in.GeneratedTokens, in.DeliveredTokens)
		r.suspectCrash(now, quarantine.Incarnation{Endpoint: r.endpoints.Row(a.Endpoint).Endpoint.ID, Boot: a.Boot})
	default:
		r.suspects.Ended(a.ID)
	}
}

// attemptCrashed takes in a crash that showed only after its attempt had ended.
func (r *Router) attemptCrashed(now tables.Instant, in CrashDetected) {
	life, known := r.suspects.IncarnationOf(in.Attempt)
	if !known {
		return
	}
	if row := r.find(life.Endpoint); row != nil {
		r.crashed(now, row, life.Boot)
	}
	r.suspectCrash(now, life)
}

// suspectCrash blames what a life of an endpoint was running for its end, and
// asks the shell to tell the other instances.
func (r *Router) suspectCrash(now tables.Instant, life quarantine.Incarnation) {
	if told := r.suspects.Crashed(now, life); len(told) > 0 {
		r.actions = append(r.actions, BroadcastSuspects{Suspects: told})
	}
}

// refuseConvicted ends waiting requests that were convicted meanwhile.
func (r *Router) refuseConvicted(now tables.Instant) {
	if r.suspects.Empty() {
		return
	}
	for _, row := range r.sortedRequests(func(row *tables.RequestRow) bool {
		return row.State == tables.Pending && r.convicted(now, row.Request.Fingerprint)
	}) {
		if row.Dispatched {
			r.fail(row, tables.CodeQuarantined, 0)
			continue
		}
		r.refuse(row.Request, tables.Refusal{Code: tables.CodeQuarantined})
		r.finish(row)
	}
}
