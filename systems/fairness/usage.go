package fairness

import (
	"math"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// usageWindow is the time constant over which usage is averaged.
	usageWindow = 5 * time.Second
	// idleAfter is how long after its last use an organisation counts among
	// those that share.
	idleAfter = 10 * time.Second
	// overPart is how much more than its share an organisation may use before
	// it is over it.
	overPart = 1.2
)

// usage is what one organisation has lately used in one class.
type usage struct {
	weight float64
	used   float64
	at     tables.Instant
	listed bool
}

// Usage tells which organisations use more than their share of a class. It is
// not safe for concurrent use.
type Usage struct {
	rows    []usage
	active  []Flow
	weight  float64
	total   float64
	totalAt tables.Instant
}

// SetWeight declares a flow and its weight, which is above 0.
func (u *Usage) SetWeight(f Flow, weight float64) {
	for int(f) >= len(u.rows) {
		u.rows = append(u.rows, usage{weight: 1})
	}
	if u.rows[f].listed {
		u.weight += weight - u.rows[f].weight
	}
	u.rows[f].weight = weight
}

func decayed(value float64, since time.Duration) float64 {
	return value * math.Exp(-float64(since)/float64(usageWindow))
}

// Add counts a use, in any unit.
func (u *Usage) Add(now tables.Instant, f Flow, cost float64) {
	r := &u.rows[f]
	r.used = decayed(r.used, now-r.at) + cost
	r.at = now
	u.total = decayed(u.total, now-u.totalAt) + cost
	u.totalAt = now
	if !r.listed {
		r.listed = true
		u.weight += r.weight
		u.active = append(u.active, f)
	}
}

// Over says whether a flow has lately used more than its share of all use, by
// its weight among those that have used anything.
func (u *Usage) Over(now tables.Instant, f Flow) bool {
	r := &u.rows[f]
	if !r.listed || len(u.active) < 2 {
		return false
	}
	share := r.weight / u.weight
	return decayed(r.used, now-r.at) > overPart*share*decayed(u.total, now-u.totalAt)
}

// Prune drops flows that have not used anything for a while from those that
// share.
func (u *Usage) Prune(now tables.Instant) {
	kept := u.active[:0]
	for _, f := range u.active {
		r := &u.rows[f]
		if now-r.at < idleAfter {
			kept = append(kept, f)
			continue
		}
		r.listed = false
		u.weight -= r.weight
	}
	u.active = kept
}
