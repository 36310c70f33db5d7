package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// staleGrace is how long after newer weights were announced older ones cost nothing,
	// and staleCost the cost of older weights after that.
	staleGrace = 1200 * time.Millisecond
	staleCost  = 150.0
	// staleMargin is the safety margin between the expected begin of a request and the time from
	// which none may begin on older weights. It covers what the known queues do not show, such as
	// requests that other instances place at the same time.
	staleMargin = 1500 * time.Millisecond
)

// mayBeginAt reports whether a request that is expected to begin at a time may do so on a version
// of a model's weights.
func (d *Dispatcher) mayBeginAt(begin tables.Instant, model string, version uint64) bool {
	since, outdated := d.weights.OutdatedSince(model, version)
	return !outdated || d.mayBeginOutdated(begin, since)
}

// mayBeginOutdated is mayBeginAt for a version that has been outdated since a time.
func (d *Dispatcher) mayBeginOutdated(begin, since tables.Instant) bool {
	limit := d.options.StaleWeightsTimeout
	return limit == 0 || begin-since < limit-staleMargin
}

// evaluateStaleWeights adds the cost of running on weights that have been replaced, and marks a
// candidate that is expected to begin when none may any more. An endpoint's queue delays the begin,
// so the time of the placement does not tell.
func (d *Dispatcher) evaluateStaleWeights(now tables.Instant, r *Request, c *candidate) {
	since, outdated := d.weights.OutdatedSince(r.Model, c.row.Weights[r.Model])
	if !outdated {
		return
	}
	if now-since >= staleGrace {
		c.cost += staleCost
	}
	c.beginsTooLate = !d.mayBeginOutdated(now+c.expectedLatency(), since)
}

// beginsTooLate reports whether the endpoint would begin the request when its weights may no longer
// be used.
func (d *Dispatcher) beginsTooLate(now tables.Instant, r *Request, row *endpointRow) bool {
	if _, outdated := d.weights.OutdatedSince(r.Model, row.Weights[r.Model]); !outdated {
		return false
	}
	d.views = d.views[:0]
	c := d.evaluate(now, r, row, d.services[r.Service.Name])
	return c.beginsTooLate
}
