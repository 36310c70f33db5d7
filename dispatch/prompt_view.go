package dispatch

import (
	"cmp"
	"slices"

	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// promptView is what the cache directory holds of a request's shared parts under one
// version of the weights.
type promptView struct {
	version uint64
	// id identifies the view. Rows of endpoints that hold a prefix of the prompt carry
	// it, together with the number of parts that they hold.
	id uint64
	// holders lists the reliable holders of each shared part.
	holders [][]holder
	// heldTokens is the length in tokens of the longest prefix of which each part is
	// held, or being computed, by some endpoint; readyAt is when all of its parts can be
	// reused.
	heldTokens int
	readyAt    tables.Instant
	// sources caches for each part the best endpoints from which to fetch it and the
	// parts after it; nil until requested.
	sources [][]source
	// home is the home, by rendezvous hashing, of the first part that no endpoint holds,
	// and homeHash its hash.
	home     *endpointRow
	homeHash uint64
	// collision is the probability that the part is computed twice if it is not computed
	// at its home.
	collision float64
}

// source is an endpoint that holds some consecutive parts of a prompt.
type source struct {
	row *endpointRow
	// endPart counts the parts from the prompt's beginning to the last one held.
	endPart int
	usedAt  tables.Instant
}

// maxSources bounds the cached sources of a part: a few suffice to find one other than
// the endpoint in question, or one of its zone.
const maxSources = 8

// newView looks up a request's shared parts under a version of the weights.
func (d *Dispatcher) newView(now tables.Instant, r *Request, version uint64, rows []*endpointRow) promptView {
	d.lastViewID++
	v := promptView{version: version, id: d.lastViewID}
	missing, found := parts.ID(0), false
	for i, part := range r.SharedParts {
		holders := d.reliableHolders(d.cache.holdersOf(now, part.ID.KeyAt(version)), r.Model, version)
		v.holders = append(v.holders, holders)
		v.markHolders(now, r, i, holders)
		switch {
		case found:
		case len(holders) == 0:
			missing, found = part.ID, true
		default:
			v.heldTokens = part.EndTokens
			v.readyAt = max(v.readyAt, earliestReady(holders))
		}
	}
	if found {
		v.chooseHome(now, r, missing, rows)
		v.collision = d.collisionProbability(now, missing)
	}
	return v
}

// reliableHolders returns the holders of a part that have it as a version of the weights made it. A run keeps its
// salt when its endpoint loads newer weights, and stores what it reads again under it, there and at the store. A store
// keeps a part as it was first made.
func (d *Dispatcher) reliableHolders(holders []holder, model string, version uint64) []holder {
	outdatedSince, outdated := d.weights.OutdatedSince(model, version)
	unreliable := func(h holder) bool {
		if h.row.isStore {
			return outdated && h.readyAt >= outdatedSince
		}
		serves := h.row.Weights[model]
		return serves > version || h.row.Loading && serves == version
	}
	if !slices.ContainsFunc(holders, unreliable) {
		return holders
	}
	return slices.DeleteFunc(slices.Clone(holders), unreliable)
}

// earliestReady returns when the first of a part's holders can share it.
func earliestReady(holders []holder) tables.Instant {
	first := holders[0].readyAt
	for _, one := range holders[1:] {
		first = min(first, one.readyAt)
	}
	return first
}

// chooseHome picks the home of a part that no endpoint holds by rendezvous hashing
// (highest random weight) of the endpoints and the part. Instances that meet a new part
// concurrently send it to the same endpoint without coordination.
func (v *promptView) chooseHome(now tables.Instant, r *Request, part parts.ID, rows []*endpointRow) {
	for _, row := range rows {
		if row.isLeaving() || row.Loading || row.Weights[r.Model] != v.version || row.currentFailureScore(now) > maxHomeFailureScore || row.absentFor(now) > 0 || !row.presumedUp(now) || row.announced.pushedBackAny(now) {
			continue
		}
		if hash := placement.Mix64(row.hash ^ uint64(part)); v.home == nil || hash > v.homeHash {
			v.home, v.homeHash = row, hash
		}
	}
}

// markHolders updates, in the rows of the endpoints that hold a part and all parts before
// it, the length of that prefix. Evaluating an endpoint then needs no search among the
// holders.
func (v *promptView) markHolders(now tables.Instant, r *Request, level int, holders []holder) {
	for i := range holders {
		row := holders[i].row
		if holders[i].readyAt > now || row.Weights[r.Model] != v.version {
			continue
		}
		switch {
		case level == 0:
			row.viewID, row.cachedParts = v.id, 1
		case row.viewID == v.id && row.cachedParts == level:
			row.cachedParts = level + 1
		}
	}
}

// cachedParts returns the number of parts, from the prompt's beginning, that an endpoint
// of the view's version has computed. Parts that it is still computing for another
// request do not count, since a request placed now would compute them again.
func (v *promptView) cachedParts(row *endpointRow) int {
	if row.viewID != v.id {
		return 0
	}
	return row.cachedParts
}

// isReadyOn reports whether an endpoint is among the holders of a part and can share it.
func isReadyOn(now tables.Instant, holders []holder, row *endpointRow) bool {
	for i := range holders {
		if holders[i].row == row {
			return holders[i].readyAt <= now
		}
	}
	return false
}

// sourceFor returns the endpoint from which one that has the first parts can fetch the
// longest run of the following ones, and the number of parts up to its end. Among equals
// it prefers one in the same zone, then the one that used the parts last.
func (v *promptView) sourceFor(now tables.Instant, row *endpointRow, cached int) (*endpointRow, int) {
	if cached >= len(v.holders) {
		return nil, cached
	}
	if v.sources == nil {
		v.sources = make([][]source, len(v.holders))
	}
	if v.sources[cached] == nil {
		v.sources[cached] = v.sourcesFrom(now, cached)
	}
	var best *source
	for i := range v.sources[cached] {
		one := &v.sources[cached][i]
		if one.row == row {
			continue
		}
		if best == nil {
			best = one
		}
		if one.row.Zone == row.Zone && one.endPart == best.endPart {
			return one.row, one.endPart
		}
	}
	if best == nil {
		return nil, cached
	}
	return best.row, best.endPart
}

// sourcesFrom lists the endpoints that hold a part, ordered by how many of the following
// parts they hold, then by the most recent use.
func (v *promptView) sourcesFrom(now tables.Instant, from int) []source {
	found := make([]source, 0, min(len(v.holders[from]), maxSources))
	for i := range v.holders[from] {
		one := &v.holders[from][i]
		if one.readyAt > now || !one.row.canServeFetch(now) {
			continue
		}
		until := from + 1
		for until < len(v.holders) && isReadyOn(now, v.holders[until], one.row) {
			until++
		}
		found = append(found, source{row: one.row, endPart: until, usedAt: one.lastUse(now)})
	}
	slices.SortStableFunc(found, func(a, b source) int {
		return cmp.Or(cmp.Compare(b.endPart, a.endPart), cmp.Compare(b.usedAt, a.usedAt))
	})
	return found[:min(len(found), maxSources)]
}
