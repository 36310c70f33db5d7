package dispatch

import (
	"math"
	"time"

	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// demandDecay is the time constant of the decaying count of requests for a part.
	demandDecay = 10 * time.Second
	// demandTTL is how long the count of a part is kept after the last request for it;
	// the count has decayed to a fiftieth by then.
	demandTTL = 4 * demandDecay
	// demandPrior is added to each count, so that a part without requests at this
	// instance has some estimated demand.
	demandPrior = 0.5
	// updateDelay is how long a cache update takes to reach other instances: the interval
	// between two hints plus their transit time.
	updateDelay = 40 * time.Millisecond
	// remoteUpdateDelay is the same for instances of zones that receive updates through a
	// relay.
	remoteUpdateDelay = 200 * time.Millisecond
)

// demandCounter holds an exponentially decaying count of this instance's requests for
// each prompt part.
type demandCounter struct {
	counts  map[parts.ID]decayedCount
	sweptAt tables.Instant
}

// decayedCount is a count as of a point in time.
type decayedCount struct {
	count float64
	at    tables.Instant
}

// recordOnce counts a request for each of its parts when it is first placed, and not when
// placement is tried again.
func (d *demandCounter) recordOnce(now tables.Instant, r *Request) {
	if r.counted {
		return
	}
	r.counted = true
	for _, part := range r.SharedParts {
		d.record(now, part.ID)
	}
}

// record counts a request for a part.
func (d *demandCounter) record(now tables.Instant, part parts.ID) {
	if now-d.sweptAt > demandTTL || len(d.counts) > maxParts {
		d.sweep(now)
	}
	d.counts[part] = decayedCount{count: d.count(now, part) + 1, at: now}
}

// count returns the decayed count of a part.
func (d *demandCounter) count(now tables.Instant, part parts.ID) float64 {
	last := d.counts[part]
	return last.count * decay(now-last.at, demandDecay)
}

// sweep removes expired counts, and all counts if there are still too many.
func (d *demandCounter) sweep(now tables.Instant) {
	d.sweptAt = now
	for part, row := range d.counts {
		if now-row.at > demandTTL {
			delete(d.counts, part)
		}
	}
	if len(d.counts) > maxParts {
		clear(d.counts)
	}
}

// collisionProbability estimates the probability that another instance places the part
// elsewhere before it receives a cache update sent now. Arrivals are modelled as a
// Poisson process, and each scheduling instance as receiving an equal share of the
// requests.
//
// A part that no endpoint holds has a home, so that instances which place it concurrently
// compute it once. For a part that is requested only every few seconds a collision is
// unlikely, and insisting on a slow or busy home would make answers late.
func (d *Dispatcher) collisionProbability(now tables.Instant, part parts.ID) float64 {
	own := (d.demand.count(now, part) + demandPrior) / demandDecay.Seconds()
	return 1 - math.Exp(-own*(d.schedulers*updateDelay.Seconds()+d.remoteSchedulers*remoteUpdateDelay.Seconds()))
}
