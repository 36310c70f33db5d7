package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// peerReady is how long after another instance told of a placement the part
	// is taken to be in the endpoint's memory: the request was just sent, and
	// its prompt has to be read.
	peerReady = 250 * time.Millisecond
	// ownReady is added to the expected time of an own attempt's first event.
	ownReady = 50 * time.Millisecond
	// tellAgain is after how long a use of a part is told again: others fetch
	// from the endpoint that used it last, which is the least likely to have
	// dropped it.
	tellAgain = 4 * time.Second
	// storeRank is how long ago an engine must have used a part for the store to
	// be the better source.
	storeRank = 4 * time.Second
	// storeReady is how long after the first event of the request that read a
	// part it has reached the store.
	storeReady = 400 * time.Millisecond
	// holdFor is how long a placement is believed in after its last use. Engines
	// drop what was not used for the longest time; believing too long costs a
	// fetch that finds nothing, too short another reading.
	holdFor = 40 * time.Second
	// maxHeld bounds the parts that are remembered, at some 100 bytes each.
	maxHeld = 50_000
)

// Placement says that a part of a prompt was brought to an endpoint's memory.
// The key holds the weights version.
type Placement struct {
	Endpoint tables.EndpointID
	Key      uint64
}

// holder is an endpoint that has a part in its memory, or will.
type holder struct {
	row *endpointRow
	// ready is when the part can be used by others, used when it last was.
	ready tables.Instant
	used  tables.Instant
	// told is when the others last heard of it from here.
	told tables.Instant
}

// holders is where shared parts of prompts lie, as far as this instance knows
// by its own attempts and by what others tell. Engines publish what they hold
// too late and with gaps; a request that was sent there is the earlier news.
type holders struct {
	rows map[uint64][]holder
	// sweptAt is when parts that were not used for long were last dropped.
	sweptAt tables.Instant
}

// keyOf names a part under a weights version: what was made under another one
// must not be used.
func keyOf(part uint64, version uint64) uint64 {
	return placement.Mix(part ^ version*0x9e3779b97f4a7c15)
}

// of lists the endpoints that hold a part, those that still serve it.
func (h *holders) of(now tables.Instant, key uint64) []holder {
	known := h.rows[key]
	kept := known[:0]
	for _, one := range known {
		if now-one.used < holdFor && !one.row.gone {
			kept = append(kept, one)
		}
	}
	if len(kept) != len(known) {
		h.rows[key] = kept
	}
	return kept
}

// note records that a part comes to an endpoint, or is used there.
func (h *holders) note(now, ready tables.Instant, key uint64, r *endpointRow) (one *holder, fresh bool) {
	h.sweep(now)
	known := h.of(now, key)
	for i := range known {
		if known[i].row == r {
			known[i].used = now
			return &known[i], false
		}
	}
	known = append(known, holder{row: r, ready: ready, used: now})
	h.rows[key] = known
	return &known[len(known)-1], true
}

// ready notes that an attempt's endpoint has read its prompt.
func (h *holders) ready(now tables.Instant, a *Attempt) {
	for _, key := range a.placed {
		for i, one := range h.rows[key] {
			if one.row == a.row {
				h.rows[key][i].ready = min(one.ready, now)
			}
		}
	}
}

// undo takes back what an attempt would have brought that never began.
func (h *holders) undo(a *Attempt) {
	for _, key := range a.placed {
		known := h.rows[key]
		for i, one := range known {
			if one.row == a.row {
				h.rows[key] = append(known[:i:i], known[i+1:]...)
				break
			}
		}
	}
}

// sweep drops parts that nobody uses any more.
func (h *holders) sweep(now tables.Instant) {
	if now-h.sweptAt < holdFor && len(h.rows) < maxHeld {
		return
	}
	h.sweptAt = now
	for key := range h.rows {
		if len(h.of(now, key)) == 0 {
			delete(h.rows, key)
		}
	}
	if len(h.rows) >= maxHeld {
		clear(h.rows)
	}
}

// Told takes what another instance placed.
func (d *Dispatcher) Told(now tables.Instant, p Placement) {
	if r := d.rows[p.Endpoint]; r != nil {
		_, _ = d.holders.note(now, now+peerReady, p.Key, r)
	}
}

// News returns what this instance placed since the last call, for the others.
func (d *Dispatcher) News() []Placement {
	news := d.news
	d.news = nil
	return news
}

// place records the shared parts that an attempt brings to its endpoint, or
// uses there.
func (d *Dispatcher) place(now tables.Instant, r *Request, a *Attempt) {
	for _, part := range r.Shared {
		key := keyOf(part.Key, a.Weights)
		one, fresh := d.holders.note(now, now+a.Expected+ownReady, key, a.row)
		if fresh {
			a.placed = append(a.placed, key)
		}
		if fresh || now-one.told > tellAgain {
			one.told = now
			d.news = append(d.news, Placement{Endpoint: a.Endpoint.ID, Key: key})
		}
	}
}

// keep has an attempt's endpoint send the parts that it reads to the store, if
// there is one that can take them. Parts that were had from elsewhere are there
// already, or are not worth the way.
func (d *Dispatcher) keep(now tables.Instant, r *Request, a *Attempt, got int) {
	if r.sharedTokens() <= got {
		return
	}
	store := d.storeOf(r)
	if store == nil {
		return
	}
	a.Store = store.Endpoint
	for _, part := range r.Shared {
		key := keyOf(part.Key, a.Weights)
		one, fresh := d.holders.note(now, now+a.Expected+storeReady, key, store)
		if fresh {
			one.told = now
			d.news = append(d.news, Placement{Endpoint: store.ID, Key: key})
		}
	}
}

// storeOf is the store that keeps a prompt: of several the one with the highest
// draw of a hash over the store and the prompt. Each then keeps prompts that the
// others do not, and together they hold as many as their memories sum up to.
func (d *Dispatcher) storeOf(r *Request) *endpointRow {
	if len(r.Shared) == 0 {
		return nil
	}
	last := r.Shared[len(r.Shared)-1].Key
	var best *endpointRow
	for _, row := range d.stores {
		if row.Draining {
			continue
		}
		if best == nil || placement.Mix(row.hash^last) > placement.Mix(best.hash^last) {
			best = row
		}
	}
	return best
}

// view is what is known of a request's shared parts under one weights version.
type view struct {
	version uint64
	// levels are the holders of each shared part.
	levels [][]holder
	// held is the longest beginning that some endpoint has or will have, and
	// readyAt when all of it can be used by others.
	held    int
	readyAt tables.Instant
	// home is where the first part that nobody holds belongs.
	home     *endpointRow
	homeDraw uint64
}

// view looks up what is known for a version.
func (d *Dispatcher) view(now tables.Instant, r *Request, version uint64, rows []*endpointRow) view {
	v := view{version: version}
	cold := uint64(0)
	for _, part := range r.Shared {
		holding := d.holders.of(now, keyOf(part.Key, version))
		v.levels = append(v.levels, holding)
		if len(holding) == 0 {
			if cold == 0 {
				cold = part.Key
			}
			continue
		}
		v.held = part.Tokens
		v.readyAt = max(v.readyAt, earliest(holding))
	}
	if cold != 0 {
		v.chooseHome(now, r, cold, rows)
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
func (v *view) chooseHome(now tables.Instant, r *Request, part uint64, rows []*endpointRow) {
	for _, row := range rows {
		if row.Draining || row.Loading || row.Weights[r.Model] != v.version || row.doubtNow(now) > homeDoubt {
			continue
		}
		if draw := placement.Mix(row.hash ^ part); v.home == nil || draw > v.homeDraw {
			v.home, v.homeDraw = row, draw
		}
	}
}

// at is the longest beginning that an endpoint has read. What another request
// is still reading there is read once more.
func (v *view) at(now tables.Instant, r *Request, row *endpointRow) int {
	for i := len(v.levels) - 1; i >= 0; i-- {
		for _, one := range v.levels[i] {
			if one.row == row && one.ready <= now {
				return r.Shared[i].Tokens
			}
		}
	}
	return 0
}

// sourceFor is the endpoint other than the given one that has the longest
// beginning, of several the one that used it last, and its length.
func (v *view) sourceFor(now tables.Instant, r *Request, but *endpointRow) (*endpointRow, int) {
	for i := len(v.levels) - 1; i >= 0; i-- {
		var source *endpointRow
		var used tables.Instant
		for _, one := range v.levels[i] {
			if one.row == but || one.ready > now || !one.row.sound(now) {
				continue
			}
			if at := one.lastUse(now); source == nil || at > used {
				source, used = one.row, at
			}
		}
		if source != nil {
			return source, r.Shared[i].Tokens
		}
	}
	return nil, 0
}

// lastUse is when a part was last used, for the choice of a source. A store
// keeps parts longer than engines do, which drop them for the prompts of other
// requests, but its link is slower; so it comes after engines that have used a
// part lately.
func (h *holder) lastUse(now tables.Instant) tables.Instant {
	if h.row.store {
		return now - storeRank
	}
	return h.used
}

// sound says whether something may be fetched from the endpoint.
func (r *endpointRow) sound(now tables.Instant) bool {
	return !r.gone && now >= r.avoidUntil && r.doubtNow(now) < sourceDoubt
}
