package router

import (
	"maps"

	"github.com/carawaystile/carawaystile/systems/cacheview"
	"github.com/carawaystile/carawaystile/systems/quarantine"
	"github.com/carawaystile/carawaystile/tables"
)

// Observe takes in something that happened. Its consequences come out of the
// next Tick.
func (r *Router) Observe(now tables.Instant, in Input) {
	switch in := in.(type) {
	case LoadReport:
		r.loadReport(now, in)
	case CacheEvent:
		r.cacheEvent(now, in)
	case PeerPlacement:
		r.peerPlacement(now, in)
	case AttemptStarted:
		r.attemptStarted(now, in)
	case FirstToken:
		r.firstToken(now, in)
	case AttemptEnded:
		r.attemptEnded(now, in)
	case CrashDetected:
		r.attemptCrashed(now, in)
	case EndpointWithdrawn:
		r.endpointGone(in)
	case EntryPeers:
		if in.Share > 0 && in.Share <= 1 {
			r.share = in.Share
			r.view.SetShare(in.Share)
		}
		r.suspects.SetRank(in.Rank, in.Count)
	case PeerSuspect:
		r.suspects.Merge(now, in.Suspect)
	}
}

func (r *Router) find(id tables.EndpointID) *tables.EndpointRow {
	index := r.endpoints.Find(id)
	if index == tables.NoEndpoint {
		return nil
	}
	return r.endpoints.Row(index)
}

func (r *Router) loadReport(now tables.Instant, in LoadReport) {
	row := r.find(in.Endpoint)
	if row == nil || r.seeBoot(now, row, in.Boot) == tables.BootStale {
		return
	}
	own := 0
	for _, id := range in.Attempts {
		if a, ok := r.attempts[id]; ok && a.Endpoint == row.Index {
			own++
		}
	}
	total := in.Running + in.Queued
	if len(in.Attempts) == 0 {
		own = min(total, row.Load.LocalAttempts)
	}
	if total < row.Load.ReportedAttempts || in.QueuedPrefillTokens < row.Load.ReportedPrefillTokens {
		row.LastProgress = now
	}
	row.Load.ReportedAttempts, row.Load.ReportedPrefillTokens = total, in.QueuedPrefillTokens
	r.learnBusy(now, row, in.QueuedPrefillTokens > 0)
	row.Load.HasReport = true
	row.Load.ReportedAt = now
	others := max(0, total-own)
	row.Load.Remote.Observe(now, others, min(othersTokens(in, own, total), int(r.meanUncached*otherMargin)*others))
	if in.CacheBlocks > 0 {
		row.CacheBlocks = in.CacheBlocks
		r.view.SetEndpoint(row.Index, in.CacheBlocks)
	}
	if len(in.Weights) > 0 {
		r.seeWeights(row, in.Weights)
	}
}

// othersTokens is the part of the reported prefill work that other instances
// brought, taken by their part of the attempts.
func othersTokens(in LoadReport, own, total int) int {
	if total == 0 {
		return 0
	}
	return in.QueuedPrefillTokens * (total - own) / total
}

// seeWeights takes over what an endpoint says it serves. When a version has
// changed, cache of the older one must not be counted on any more.
func (r *Router) seeWeights(row *tables.EndpointRow, weights map[tables.ModelName]tables.WeightsVersion) {
	if row.WeightsKnown && !maps.Equal(row.Weights, weights) {
		r.view.Reset(row.Index)
	}
	row.Weights = maps.Clone(weights)
	row.WeightsKnown = true
}

// seeBoot compares a boot identity. A new boot has an empty cache. The first
// one heard of changes nothing: what was placed so far went to it.
func (r *Router) seeBoot(now tables.Instant, row *tables.EndpointRow, boot tables.BootID) tables.BootChange {
	first := row.Boot == "" && len(row.FormerBoots) == 0
	former := quarantine.Incarnation{Endpoint: row.Endpoint.ID, Boot: row.Boot}
	change := row.ObserveBoot(boot)
	if change == tables.BootNew && !first {
		r.view.Reset(row.Index)
	}
	if change == tables.BootNew && former.Boot != "" {
		r.suspectCrash(now, former)
	}
	return change
}

func (r *Router) cacheEvent(now tables.Instant, in CacheEvent) {
	row := r.find(in.Endpoint)
	if row == nil || r.seeBoot(now, row, in.Boot) == tables.BootStale {
		return
	}
	r.heardAt = now
	r.view.Event(now, row.Index, cacheview.Event{Sequence: in.Sequence, Stored: in.Stored, Evicted: in.Evicted})
}

// peerPlacement takes over what another instance placed, unless it concerns a
// life of the endpoint that is not the present one. A peer may know of a new
// boot first; that is left to the endpoint's own messages.
func (r *Router) peerPlacement(now tables.Instant, in PeerPlacement) {
	row := r.find(in.Endpoint)
	if row == nil || (in.Boot != "" && row.Boot != "" && in.Boot != row.Boot) {
		return
	}
	r.heardAt = now
	r.view.Peer(now, row.Index, in.Block)
}

func (r *Router) attemptStarted(now tables.Instant, in AttemptStarted) {
	a, ok := r.attempts[in.Attempt]
	if !ok {
		return
	}
	a.StartedAt = now
	r.suspects.Accepted(a.ID, in.Boot)
	if in.Weights != "" {
		a.Weights = in.Weights
	}
	if in.Boot != "" {
		a.Boot = in.Boot
		r.seeBoot(now, r.endpoints.Row(a.Endpoint), in.Boot)
	}
}

func (r *Router) firstToken(now tables.Instant, in FirstToken) {
	a, ok := r.attempts[in.Attempt]
	if !ok || a.FirstTokenAt != 0 {
		return
	}
	a.FirstTokenAt = now
	r.suspects.FirstToken(now, a.ID)
	r.endpoints.Row(a.Endpoint).LastProgress = now
	r.prefillOver(a)
	r.learn(now, a, in.CachedTokens)
	r.abortOthers(now, a)
}

// prefillOver takes an attempt's prefill work off the endpoint.
func (r *Router) prefillOver(a *tables.AttemptRow) {
	load := &r.endpoints.Row(a.Endpoint).Load
	load.LocalPrefilling--
	load.LocalPrefillTokens[a.Priority] -= a.UncachedTokens
}

func (r *Router) endpointGone(in EndpointWithdrawn) {
	row := r.find(in.Endpoint)
	if row == nil {
		return
	}
	if !row.Withdrawn || in.Life > row.WithdrawnLife {
		row.Withdrawn = true
		row.WithdrawnLife = in.Life
	}
}
