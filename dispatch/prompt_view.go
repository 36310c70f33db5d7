package dispatch

import (
	"cmp"
	"slices"

	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// view is what is known of a request's shared parts under one weights version.
type view struct {
	version uint64
	// stamp tells views apart: rows of the version that hold a beginning of the prompt
	// bear it, and how much they hold.
	stamp uint64
	// levels are the holders of each shared part.
	levels [][]holder
	// held counts the tokens of the longest beginning of which each part is or
	// will be held by some endpoint, and readyAt is when all of it can be used by
	// others.
	held    int
	readyAt tables.Instant
	// sources lists for each part the best endpoints to fetch it and the parts
	// after it from; nil until asked for.
	sources [][]source
	// home is where the first part that nobody holds belongs.
	home     *endpointRow
	homeDraw uint64
	// stray is the probability that the part is read twice if it is not read at its
	// home.
	stray float64
}

// source is an endpoint that holds some parts of a prompt.
type source struct {
	row *endpointRow
	// until counts the parts from the prompt's beginning to the last one held.
	until int
	used  tables.Instant
}

// maxSources bounds the sources that are remembered of a part: a few are enough
// to find one that is not the endpoint in question, or one of its zone.
const maxSources = 8

// view looks up what is known for a version.
func (d *Dispatcher) view(now tables.Instant, r *Request, version uint64, rows []*endpointRow) view {
	d.viewed++
	v := view{version: version, stamp: d.viewed}
	cold, found := parts.ID(0), false
	for i, part := range r.SharedParts {
		holding := d.holders.of(now, part.ID.KeyAt(version))
		v.levels = append(v.levels, holding)
		v.mark(now, r, i, holding)
		switch {
		case found:
		case len(holding) == 0:
			cold, found = part.ID, true
		default:
			v.held = part.EndTokens
			v.readyAt = max(v.readyAt, earliest(holding))
		}
	}
	if found {
		v.chooseHome(now, r, cold, rows)
		v.stray = d.collision(now, cold)
	}
	return v
}

func earliest(holding []holder) tables.Instant {
	first := holding[0].ready
	for _, one := range holding[1:] {
		first = min(first, one.ready)
	}
	return first
}

// chooseHome picks the endpoint that a part which nobody holds belongs to: the
// one with the highest draw of a hash over the endpoint and the part. Instances
// that meet a new part at the same moment send it to one place without a word.
func (v *view) chooseHome(now tables.Instant, r *Request, part parts.ID, rows []*endpointRow) {
	for _, row := range rows {
		if row.Draining || row.Loading || row.Weights[r.Model] != v.version || row.doubtNow(now) > homeDoubt || row.absence(now) > 0 {
			continue
		}
		if draw := placement.Mix(row.hash ^ uint64(part)); v.home == nil || draw > v.homeDraw {
			v.home, v.homeDraw = row, draw
		}
	}
}

// mark notes at the rows that hold a part and all before it how many these are, so that
// no row has to be looked up among the holders.
func (v *view) mark(now tables.Instant, r *Request, level int, holding []holder) {
	for i := range holding {
		row := holding[i].row
		if holding[i].ready > now || row.Weights[r.Model] != v.version {
			continue
		}
		switch {
		case level == 0:
			row.stamp, row.has = v.stamp, 1
		case row.stamp == v.stamp && row.has == level:
			row.has = level + 1
		}
	}
}

// at counts the parts from the prompt's beginning that an endpoint of the view's version
// has read. What another request is still reading there is read once more.
func (v *view) at(row *endpointRow) int {
	if row.stamp != v.stamp {
		return 0
	}
	return row.has
}

func holds(now tables.Instant, holding []holder, row *endpointRow) bool {
	for i := range holding {
		if holding[i].row == row {
			return holding[i].ready <= now
		}
	}
	return false
}

// sourceFor is the endpoint from which one that has the first parts can fetch
// most of the others, and until which part: of several one of its own zone, and
// the one that used them last.
func (v *view) sourceFor(now tables.Instant, row *endpointRow, has int) (*endpointRow, int) {
	if has >= len(v.levels) {
		return nil, has
	}
	if v.sources == nil {
		v.sources = make([][]source, len(v.levels))
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
		if one.row.Zone == row.Zone && one.until == best.until {
			return one.row, one.until
		}
	}
	if best == nil {
		return nil, has
	}
	return best.row, best.until
}

// sourcesFrom lists the endpoints that hold a part, those first that hold most of
// what follows, and among them those that used it last.
func (v *view) sourcesFrom(now tables.Instant, from int) []source {
	found := make([]source, 0, min(len(v.levels[from]), maxSources))
	for i := range v.levels[from] {
		one := &v.levels[from][i]
		if one.ready > now || !one.row.sound(now) {
			continue
		}
		until := from + 1
		for until < len(v.levels) && holds(now, v.levels[until], one.row) {
			until++
		}
		found = append(found, source{row: one.row, until: until, used: one.lastUse(now)})
	}
	slices.SortStableFunc(found, func(a, b source) int {
		return cmp.Or(cmp.Compare(b.until, a.until), cmp.Compare(b.used, a.used))
	})
	return found[:min(len(found), maxSources)]
}
