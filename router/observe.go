package router

import "github.com/carawaystile/carawaystile/tables"

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
	case EndpointGone:
		r.endpointGone(in)
	case PeersSeen:
		if in.Share > 0 && in.Share <= 1 {
			r.share = in.Share
		}
	case SuspectSeen:
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
	if row == nil || r.seeBoot(now, row, in.Boot) == tables.BootOld {
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
		own = min(total, row.Load.Own)
	}
	row.Load.Reported = true
	row.Load.ReportedAt = now
	row.Load.Others = max(0, total-own)
	row.Load.OtherTokens = othersTokens(in, own, total)
	if in.CacheBlocks > 0 {
		row.CacheBlocks = in.CacheBlocks
	}
	if len(in.Weights) > 0 {
		r.seeWeights(now, row, in.Weights)
	}
}

// othersTokens is the part of the reported prefill work that other instances
// brought, taken by their part of the attempts.
func othersTokens(in LoadReport, own, total int) int {
	if total == 0 {
		return 0
	}
	return in.QueuedTokens * (total - own) / total
}

func (r *Router) seeWeights(_ tables.Instant, row *tables.EndpointRow, weights map[tables.ModelName]tables.WeightsVersion) {
	row.Weights = weights
	row.WeightsKnown = true
}

func (r *Router) seeBoot(_ tables.Instant, row *tables.EndpointRow, boot tables.BootID) tables.BootChange {
	return row.SeeBoot(boot)
}

func (r *Router) cacheEvent(now tables.Instant, in CacheEvent) {
	if row := r.find(in.Endpoint); row != nil {
		r.seeBoot(now, row, in.Boot)
	}
}

func (r *Router) peerPlacement(_ tables.Instant, _ PeerPlacement) {}

func (r *Router) attemptStarted(now tables.Instant, in AttemptStarted) {
	a, ok := r.attempts[in.Attempt]
	if !ok {
		return
	}
	a.Started = now
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
	if !ok || a.FirstToken != 0 {
		return
	}
	a.FirstToken = now
	r.prefillOver(a)
	r.abortOthers(now, a)
}

// prefillOver takes an attempt's prefill work off the endpoint.
func (r *Router) prefillOver(a *tables.AttemptRow) {
	load := &r.endpoints.Row(a.Endpoint).Load
	load.OwnPrefilling--
	load.OwnTokens -= a.UncachedTokens
}

func (r *Router) endpointGone(in EndpointGone) {
	row := r.find(in.Endpoint)
	if row == nil {
		return
	}
	if !row.Gone || in.Life > row.GoneLife {
		row.Gone = true
		row.GoneLife = in.Life
	}
}
