package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// peerReady is how long after another instance reported a placement the part
	// is taken to be in the endpoint's memory: the request was just sent, and
	// its prompt has to be read.
	peerReady = 250 * time.Millisecond
	// ownReady is added to the expected time of an own attempt's first event.
	ownReady = 50 * time.Millisecond
	// reportAgain is after how long a use of a part is reported again: others fetch
	// from the endpoint that used it last, which is the least likely to have
	// dropped it.
	reportAgain = 4 * time.Second
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

// CacheUpdate says that a part of a prompt was brought to an endpoint's memory.
type CacheUpdate struct {
	Endpoint tables.EndpointID
	Key      parts.Key
	// Evicted is set for a part that the endpoint has no longer.
	Evicted bool
}

// holder is an endpoint that has a part in its memory, or will.
type holder struct {
	row *endpointRow
	// ready is when the part can be used by others, used when it last was.
	ready tables.Instant
	used  tables.Instant
	// reportedAt is when this instance last reported it to the others.
	reportedAt tables.Instant
	// placed is when a request that was to bring it was last known of.
	placed tables.Instant
}

// holders is where shared parts of prompts lie, as far as this instance knows
// by its own attempts, by what others report and by what engines say. A request
// that was sent somewhere is the earliest news; what engines publish comes late
// and with gaps, and corrects it.
type holders struct {
	rows map[parts.Key][]holder
	// sweptAt is when parts that were not used for long were last dropped.
	sweptAt tables.Instant
}

// of lists the endpoints that hold a part, those that still serve it.
func (h *holders) of(now tables.Instant, key parts.Key) []holder {
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
func (h *holders) note(now, ready tables.Instant, key parts.Key, r *endpointRow) (one *holder, fresh bool) {
	h.sweep(now)
	known := h.of(now, key)
	for i := range known {
		if known[i].row == r {
			known[i].used, known[i].placed = now, now
			return &known[i], false
		}
	}
	known = append(known, holder{row: r, ready: ready, used: now, placed: now})
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
		h.drop(key, a.row)
	}
}

// drop removes an endpoint from a part's holders and returns what was known of
// it there; false if it was none.
func (h *holders) drop(key parts.Key, r *endpointRow) (holder, bool) {
	known := h.rows[key]
	for i, one := range known {
		if one.row == r {
			h.rows[key] = append(known[:i:i], known[i+1:]...)
			return one, true
		}
	}
	return holder{}, false
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

// ApplyCacheUpdate takes what another instance placed.
func (d *Dispatcher) ApplyCacheUpdate(now tables.Instant, p CacheUpdate) {
	r := d.rows[p.Endpoint]
	switch {
	case r == nil:
	case p.Evicted:
		d.holders.drop(p.Key, r)
	default:
		d.holders.note(now, now+peerReady, p.Key, r)
	}
}

// TakeCacheUpdates returns what this instance placed since the last call, for the others.
func (d *Dispatcher) TakeCacheUpdates() []CacheUpdate {
	news := d.news
	d.news = nil
	return news
}

// place records the shared parts that an attempt brings to its endpoint, or
// uses there.
func (d *Dispatcher) place(now tables.Instant, r *Request, a *Attempt) {
	for _, part := range r.SharedParts {
		key := part.ID.KeyAt(a.WeightsVersion)
		one, fresh := d.holders.note(now, now+a.ExpectedLatency+ownReady, key, a.row)
		if fresh {
			a.placed = append(a.placed, key)
		}
		if fresh || now-one.reportedAt > reportAgain {
			one.reportedAt = now
			d.news = append(d.news, CacheUpdate{Endpoint: a.Endpoint.ID, Key: key})
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
	a.CacheStore, a.store = store.Endpoint, store
	a.sending = r.transferTime(a.row, store) * float64(r.PromptTokens)
	for _, part := range r.SharedParts {
		key := part.ID.KeyAt(a.WeightsVersion)
		one, fresh := d.holders.note(now, now+a.ExpectedLatency+storeReady, key, store)
		if fresh {
			one.reportedAt = now
			d.news = append(d.news, CacheUpdate{Endpoint: store.ID, Key: key})
		}
	}
}

// storeOf is the store that keeps a prompt: of several the one with the highest
// draw of a hash over the store and the prompt. Each then keeps prompts that the
// others do not, and together they hold as many as their memories sum up to.
func (d *Dispatcher) storeOf(r *Request) *endpointRow {
	if len(r.SharedParts) == 0 {
		return nil
	}
	last := uint64(r.SharedParts[len(r.SharedParts)-1].ID)
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
	return !r.gone && r.availability.takes(now) && r.doubtNow(now) < sourceDoubt
}
