package router

import (
	"maps"

	"github.com/carawaystile/carawaystile/systems/cacheview"
	"github.com/carawaystile/carawaystile/systems/quarantine"
	"github.com/carawaystile/carawaystile/tables"
)

// Observe applies an input. The next Tick returns the resulting actions.
func (r *Router) Observe(now tables.Instant, in Input) {
	switch in := in.(type) {
	case LoadReport:
		r.observeLoadReport(now, in)
	case CacheEvent:
		r.observeCacheEvent(now, in)
	case PeerPlacement:
		r.observePeerPlacement(now, in)
	case AttemptStarted:
		r.observeAttemptStarted(now, in)
	case FirstToken:
		r.observeFirstToken(now, in)
	case AttemptProgressed:
		r.broadcastSuspects(r.suspects.Progressed(now, in.Attempt, in.Tokens))
	case AttemptEnded:
		r.observeAttemptEnded(now, in)
	case CrashDetected:
		r.observeCrashDetected(now, in)
	case EndpointWithdrawn:
		r.observeEndpointWithdrawn(in)
	case EntryPeers:
		if in.Share > 0 && in.Share <= 1 {
			r.trafficShare = in.Share
			r.cacheIndex.SetTrafficShare(in.Share)
		}
		r.suspects.SetRank(in.Rank, in.Count)
	case PeerSuspect:
		r.broadcastSuspects(r.suspects.Merge(now, in.Suspect))
	}
}

func (r *Router) endpointRow(id tables.EndpointID) *tables.EndpointRow {
	index := r.endpoints.Find(id)
	if index == tables.NoEndpoint {
		return nil
	}
	return r.endpoints.Row(index)
}

func (r *Router) observeLoadReport(now tables.Instant, in LoadReport) {
	row := r.endpointRow(in.Endpoint)
	if row == nil || r.observeBoot(now, row, in.Boot) == tables.BootStale {
		return
	}
	local := 0
	for _, id := range in.Attempts {
		if a, ok := r.attempts[id]; ok && a.Endpoint == row.Index {
			local++
		}
	}
	total := in.Running + in.Queued
	if len(in.Attempts) == 0 {
		local = min(total, row.Load.LocalAttempts)
	}
	if total < row.Load.ReportedAttempts || in.QueuedPrefillTokens < row.Load.ReportedPrefillTokens {
		row.LastProgress = now
	}
	row.Load.ReportedAttempts, row.Load.ReportedPrefillTokens = total, in.QueuedPrefillTokens
	r.updateBusyFraction(now, row, in.QueuedPrefillTokens > 0)
	row.Load.HasReport = true
	row.Load.ReportedAt = now
	remote := max(0, total-local)
	row.Load.Remote.Observe(now, remote, min(remotePrefillTokens(in, local, total), int(r.meanUncachedTokens*maxRemoteWorkRatio)*remote))
	if in.CacheBlocks > 0 {
		row.CacheBlocks = in.CacheBlocks
		r.cacheIndex.SetEndpoint(row.Index, in.CacheBlocks)
	}
	if len(in.Weights) > 0 {
		r.observeWeights(row, in.Weights)
	}
}

// remotePrefillTokens estimates the part of the reported prefill work that
// other instances sent, in proportion to their attempts.
func remotePrefillTokens(in LoadReport, local, total int) int {
	if total == 0 {
		return 0
	}
	return in.QueuedPrefillTokens * (total - local) / total
}

// observeWeights records the weights that an endpoint reports to serve. If a
// version has changed, the cache of the previous version is no longer valid.
func (r *Router) observeWeights(row *tables.EndpointRow, weights map[tables.ModelName]tables.WeightsVersion) {
	if row.WeightsKnown && !maps.Equal(row.Weights, weights) {
		r.cacheIndex.Reset(row.Index)
	}
	row.Weights = maps.Clone(weights)
	row.WeightsKnown = true
}

// observeBoot compares a boot ID with the known one. A new boot has an empty
// cache. The first boot that is observed resets nothing, because all placements
// so far went to it.
func (r *Router) observeBoot(now tables.Instant, row *tables.EndpointRow, boot tables.BootID) tables.BootChange {
	isFirstBoot := row.Boot == "" && len(row.FormerBoots) == 0
	former := quarantine.Incarnation{Endpoint: row.Endpoint.ID, Boot: row.Boot}
	change := row.ObserveBoot(boot)
	if change == tables.BootNew && !isFirstBoot {
		r.cacheIndex.Reset(row.Index)
	}
	if change == tables.BootNew && former.Boot != "" {
		r.recordCrash(now, former)
	}
	return change
}

func (r *Router) observeCacheEvent(now tables.Instant, in CacheEvent) {
	row := r.endpointRow(in.Endpoint)
	if row == nil || r.observeBoot(now, row, in.Boot) == tables.BootStale {
		return
	}
	r.cacheInfoAt = now
	r.cacheIndex.ApplyEvent(now, row.Index, cacheview.Event{Sequence: in.Sequence, Stored: in.Stored, Evicted: in.Evicted})
}

// observePeerPlacement adds another instance's placement to the cache index,
// unless it refers to another boot of the endpoint. A peer may observe a new
// boot first, but only the endpoint's own messages change the boot.
func (r *Router) observePeerPlacement(now tables.Instant, in PeerPlacement) {
	row := r.endpointRow(in.Endpoint)
	if row == nil || (in.Boot != "" && row.Boot != "" && in.Boot != row.Boot) {
		return
	}
	r.cacheInfoAt = now
	r.cacheIndex.RecordPeerReport(now, row.Index, in.Block)
}

func (r *Router) observeAttemptStarted(now tables.Instant, in AttemptStarted) {
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
		r.observeBoot(now, r.endpoints.Row(a.Endpoint), in.Boot)
	}
}

func (r *Router) observeFirstToken(now tables.Instant, in FirstToken) {
	a, ok := r.attempts[in.Attempt]
	if !ok || a.FirstTokenAt != 0 {
		return
	}
	a.FirstTokenAt = now
	r.broadcastSuspects(r.suspects.Progressed(now, a.ID, 1))
	r.endpoints.Row(a.Endpoint).LastProgress = now
	r.releasePrefill(a)
	r.recordFirstToken(now, a, in.CachedTokens)
	r.abortOthers(now, a)
}

// releasePrefill subtracts an attempt's prefill work from the endpoint's load.
func (r *Router) releasePrefill(a *tables.AttemptRow) {
	load := &r.endpoints.Row(a.Endpoint).Load
	load.LocalPrefilling--
	load.LocalPrefillTokens[a.Priority] -= a.UncachedTokens
}

func (r *Router) observeEndpointWithdrawn(in EndpointWithdrawn) {
	row := r.endpointRow(in.Endpoint)
	if row == nil {
		return
	}
	if !row.Withdrawn || in.Life > row.WithdrawnLife {
		row.Withdrawn = true
		row.WithdrawnLife = in.Life
	}
}
