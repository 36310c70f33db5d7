package dispatch

import (
	"cmp"
	"slices"

	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// promptView is what is known of a request's shared parts under one weights version.
type promptView struct {
	version uint64
	// id tells views apart: rows of the version that hold a beginning of the prompt
	// bear it, and how much they hold.
	id uint64
	// holders are the holders of each shared part.
	holders [][]holder
	// heldTokens counts the tokens of the longest beginning of which each part is or
	// will be heldTokens by some endpoint, and readyAt is when all of it can be used by
	// others.
	heldTokens int
	readyAt    tables.Instant
	// sources lists for each part the best endpoints to fetch it and the parts
	// after it from; nil until asked for.
	sources [][]source
	// home is where the first part that nobody holds belongs.
	home     *endpointRow
	homeHash uint64
	// collision is the probability that the part is read twice if it is not read at its
	// home.
	collision float64
}

// source is an endpoint that holds some parts of a prompt.
type source struct {
	row *endpointRow
	// endPart counts the parts from the prompt's beginning to the last one held.
	endPart int
	usedAt  tables.Instant
}

// maxSources bounds the sources that are remembered of a part: a few are enough
// to find one that is not the endpoint in question, or one of its zone.
const maxSources = 8

// newView looks up what is known for a version.
func (d *Dispatcher) newView(now tables.Instant, r *Request, version uint64, rows []*endpointRow) promptView {
	d.lastViewID++
	v := promptView{version: version, id: d.lastViewID}
	missing, found := parts.ID(0), false
	for i, part := range r.SharedParts {
		holding := d.cache.holdersOf(now, part.ID.KeyAt(version))
		v.holders = append(v.holders, holding)
		v.markHolders(now, r, i, holding)
		switch {
		case found:
		case len(holding) == 0:
			missing, found = part.ID, true
		default:
			v.heldTokens = part.EndTokens
			v.readyAt = max(v.readyAt, earliestReady(holding))
		}
	}
	if found {
		v.chooseHome(now, r, missing, rows)
		v.collision = d.collisionProbability(now, missing)
	}
	return v
}

func earliestReady(holding []holder) tables.Instant {
	first := holding[0].readyAt
	for _, one := range holding[1:] {
		first = min(first, one.readyAt)
	}
	return first
}

// chooseHome picks the endpoint that a part which nobody holds belongs to: the
// one with the highest draw of a hash over the endpoint and the part. Instances
// that meet a new part at the same moment send it to one place without a word.
func (v *promptView) chooseHome(now tables.Instant, r *Request, part parts.ID, rows []*endpointRow) {
	for _, row := range rows {
		if row.Draining || row.Loading || row.Weights[r.Model] != v.version || row.currentFailureScore(now) > maxHomeFailureScore || row.absentFor(now) > 0 {
			continue
		}
		if hash := placement.Mix(row.hash ^ uint64(part)); v.home == nil || hash > v.homeHash {
			v.home, v.homeHash = row, hash
		}
	}
}

// markHolders notes at the rows that hold a part and all before it how many these are, so that
// no row has to be looked up among the holders.
func (v *promptView) markHolders(now tables.Instant, r *Request, level int, holding []holder) {
	for i := range holding {
		row := holding[i].row
		if holding[i].readyAt > now || row.Weights[r.Model] != v.version {
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

// cachedParts counts the parts from the prompt's beginning that an endpoint of the view's version
// has read. What another request is still reading there is read once more.
func (v *promptView) cachedParts(row *endpointRow) int {
	if row.viewID != v.id {
		return 0
	}
	return row.cachedParts
}

func isReadyOn(now tables.Instant, holding []holder, row *endpointRow) bool {
	for i := range holding {
		if holding[i].row == row {
			return holding[i].readyAt <= now
		}
	}
	return false
}

// sourceFor is the endpoint from which one that has the first parts can fetch
// most of the others, and until which part: of several one of its own zone, and
// the one that used them last.
func (v *promptView) sourceFor(now tables.Instant, row *endpointRow, has int) (*endpointRow, int) {
	if has >= len(v.holders) {
		return nil, has
	}
	if v.sources == nil {
		v.sources = make([][]source, len(v.holders))
	}
	if v.sources[has] == nil {
		v.sources[has] = v.sourcesFrom(now, has)
	}
	var best *source
	for i := range v.sources[has] {
		one := &v.sources[has][i]
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
		return nil, has
	}
	return best.row, best.endPart
}

// sourcesFrom lists the endpoints that hold a part, those first that hold most of
// what follows, and among them those that used it last.
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
