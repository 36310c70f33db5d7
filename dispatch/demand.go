package dispatch

import (
	"math"
	"time"

	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// demandKeep is the time constant over which requests for a part are counted.
	demandKeep = 10 * time.Second
	// demandGone is after how long a part that nobody asked for is forgotten; its
	// count has fallen to a fiftieth then.
	demandGone = 4 * demandKeep
	// demandFirst is the count of a part that was never asked for here.
	demandFirst = 0.5
	// tellDelay is how long it takes until other instances know of a placement:
	// the pause between two hints, and their way.
	tellDelay = 40 * time.Millisecond
	// remoteDelay is the same for instances of zones that are reached through one.
	remoteDelay = 200 * time.Millisecond
)

// demand counts requests for parts of prompts at this instance, as a sum that
// decays.
type demand struct {
	rows    map[parts.ID]demandRow
	sweptAt tables.Instant
}

type demandRow struct {
	count float64
	at    tables.Instant
}

// noteOnce counts a request for its parts, the first time that it is placed.
func (d *demand) noteOnce(now tables.Instant, r *Request) {
	if r.counted {
		return
	}
	r.counted = true
	for _, part := range r.SharedParts {
		d.note(now, part.ID)
	}
}

// note counts a request for a part.
func (d *demand) note(now tables.Instant, part parts.ID) {
	if now-d.sweptAt > demandGone || len(d.rows) > maxHeld {
		d.sweep(now)
	}
	d.rows[part] = demandRow{count: d.count(now, part) + 1, at: now}
}

func (d *demand) count(now tables.Instant, part parts.ID) float64 {
	row := d.rows[part]
	return row.count * decay(now-row.at, demandKeep)
}

func (d *demand) sweep(now tables.Instant) {
	d.sweptAt = now
	for part, row := range d.rows {
		if now-row.at > demandGone {
			delete(d.rows, part)
		}
	}
	if len(d.rows) > maxHeld {
		clear(d.rows)
	}
}

// collision is the probability that another instance places the part elsewhere
// before it receives a placement made now. Instances that place see equal shares of
// the requests.
//
// A part that nobody has read has a home, so that instances which meet it at the
// same moment read it once. Where a part is asked for every few seconds that is
// not to be feared, and holding to a home that is slow or busy makes answers late.
func (d *Dispatcher) collision(now tables.Instant, part parts.ID) float64 {
	own := (d.demand.count(now, part) + demandFirst) / demandKeep.Seconds()
	return 1 - math.Exp(-own*(d.placers*tellDelay.Seconds()+d.remotePlacers*remoteDelay.Seconds()))
}
