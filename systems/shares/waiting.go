package shares

import (
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// maxWaiting bounds the refusals of a tier that are remembered, so that one of another organisation
// is left when those of an organisation do not count.
const maxWaiting = 4

// waiting holds the latest refusals of a tier: one for each organisation and cause.
type waiting []refusal

// refusal is the latest time at which a request of an organisation has found no capacity.
type refusal struct {
	organisation string
	at           tables.Instant
	// need is the least need in tokens of those that lack memory; 0 for one that waits for shorter
	// queues.
	need int
}

// record stores a refusal. If there is no room, it replaces the oldest one.
func (w *waiting) record(now tables.Instant, window time.Duration, key Key, need int) {
	*w = slices.DeleteFunc(*w, func(r refusal) bool { return !isRecent(now, r.at, window) })
	at := slices.IndexFunc(*w, func(r refusal) bool {
		return r.organisation == key.Organisation && (r.need == 0) == (need == 0)
	})
	switch {
	case at >= 0:
		need = min(need, (*w)[at].need)
		*w = slices.Delete(*w, at, at+1)
	case len(*w) >= maxWaiting:
		*w = slices.Delete(*w, 0, 1)
	}
	*w = append(*w, refusal{organisation: key.Organisation, at: now, need: need})
}

// holdsBack returns why requests of other organisations that were refused within a window hold back
// a request.
func (w waiting) holdsBack(now tables.Instant, window time.Duration, key Key, r Request) cause {
	found := noCause
	for _, refused := range w {
		switch {
		case refused.organisation == key.Organisation, !isRecent(now, refused.at, window), r.Tokens < refused.need:
		case refused.need == 0:
			return saturated
		default:
			found = lacksMemory
		}
	}
	return found
}

// clear deletes the refusals of an organisation that do not need more than a placed request.
func (w *waiting) clear(key Key, placed Request) {
	*w = slices.DeleteFunc(*w, func(r refusal) bool {
		return r.organisation == key.Organisation && r.need <= placed.Tokens
	})
}
