package dispatch

import (
	"math"
	"time"

	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// demandDecay is the time constant over which requests for a part are counted.
	demandDecay = 10 * time.Second
	// demandTTL is after how long a part that nobody asked for is forgotten; its
	// count has fallen to a fiftieth then.
	demandTTL = 4 * demandDecay
	// demandPrior is the count of a part that was never asked for here.
	demandPrior = 0.5
	// updateDelay is how long it takes until other instances know of a placement:
	// the pause between two hints, and their way.
	updateDelay = 40 * time.Millisecond
	// remoteUpdateDelay is the same for instances of zones that are reached through one.
	remoteUpdateDelay = 200 * time.Millisecond
)

// demandCounter counts requests for parts of prompts at this instance, as a sum that
// decays.
type demandCounter struct {
	counts  map[parts.ID]decayedCount
	sweptAt tables.Instant
}

type decayedCount struct {
	count float64
	at    tables.Instant
}

// recordOnce counts a request for its parts, the first time that it is placed.
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

func (d *demandCounter) count(now tables.Instant, part parts.ID) float64 {
	row := d.counts[part]
	return row.count * decay(now-row.at, demandDecay)
}

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

// collisionProbability is the probability that another instance places the part elsewhere
// before it receives a placement made now. Instances that place see equal shares of
// the requests.
//
// A part that nobody has read has a home, so that instances which meet it at the
// same moment read it once. Where a part is asked for every few seconds that is
// not to be feared, and holding to a home that is slow or busy makes answers late.
func (d *Dispatcher) collisionProbability(now tables.Instant, part parts.ID) float64 {
	own := (d.demand.count(now, part) + demandPrior) / demandDecay.Seconds()
	return 1 - math.Exp(-own*(d.schedulers*updateDelay.Seconds()+d.remoteSchedulers*remoteUpdateDelay.Seconds()))
}
