package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// A repeat counts at the service whose process is at the endpoint's address when it
// arrives. After an endpoint's end that may be a service that is asked for next to nothing,
// for which the budget of the service that was asked for is far too large. So a repeat goes
// to an endpoint whose address is certainly still its own, where there is one that is
// usable, and the others are bounded by what any service bears.

// confirmMargin is kept of the time for which an address stays free: the answer that
// confirmed the endpoint was on its way, and so will the repeat be.
const confirmMargin = 500 * time.Millisecond

// confirmed says whether no other process can be at the endpoint's address yet: it answered
// as itself so lately.
func (d *Dispatcher) confirmed(now tables.Instant, row *endpointRow) bool {
	since := row.sinceAnswer(now)
	return since >= 0 && since+confirmMargin <= d.options.AddressReuseDelay
}

// CanRetryUnconfirmed says whether a repeat may be sent to an endpoint that is not confirmed. All such
// repeats may arrive at the same service, beside those that are meant for it.
func (d *Dispatcher) CanRetryUnconfirmed(now tables.Instant) bool {
	excess := 0.0
	for service := range d.budgets {
		requests, repeats := d.budget(now, service).sums()
		excess = max(excess, float64(repeats)-d.options.RetryBudget.Ratio*float64(requests))
	}
	return float64(d.straysIn(now)+1)+excess <= d.extraShare()
}

// straysAllowed says whether this repeat may.
func (d *Dispatcher) straysAllowed(now tables.Instant, r *Request) bool {
	if r.Remote {
		return !r.ConfirmedOnly
	}
	return d.CanRetryUnconfirmed(now)
}

func (d *Dispatcher) straysIn(now tables.Instant) int {
	d.slide(&d.strays, now)
	_, strays := d.strays.sums()
	return strays
}

// stray counts an attempt as one that may arrive at another service.
func (d *Dispatcher) stray(now tables.Instant, a *Attempt) {
	d.slide(&d.strays, now)
	d.strays.repeats[d.strays.at()]++
	a.stray, a.straySlice = true, d.strays.slice
}

// settleStray takes the count back if the attempt arrived at its endpoint or nowhere.
func (d *Dispatcher) settleStray(now tables.Instant, a *Attempt) {
	if !a.stray {
		return
	}
	a.stray = false
	d.slide(&d.strays, now)
	if d.strays.holds(a.straySlice) {
		d.strays.repeats[d.strays.index(a.straySlice)]--
	}
}
