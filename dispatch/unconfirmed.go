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

// addressConfirmed says whether no other process can be at the endpoint's address yet: it answered
// as itself so lately.
func (d *Dispatcher) addressConfirmed(now tables.Instant, row *endpointRow) bool {
	since := row.sinceResponse(now)
	return since >= 0 && since+confirmMargin <= d.options.AddressReuseDelay
}

// CanRetryUnconfirmed says whether a repeat may be sent to an endpoint that is not confirmed. All such
// repeats may arrive at the same service, beside those that are meant for it.
func (d *Dispatcher) CanRetryUnconfirmed(now tables.Instant) bool {
	excess := 0.0
	for service := range d.retryWindows {
		requests, repeats := d.retryWindow(now, service).totals()
		excess = max(excess, float64(repeats)-d.options.RetryBudget.Ratio*float64(requests))
	}
	return float64(d.unconfirmedInWindow(now)+1)+excess <= d.extraRetries()
}

// mayRetryUnconfirmed says whether this repeat may.
func (d *Dispatcher) mayRetryUnconfirmed(now tables.Instant, r *Request) bool {
	if r.Remote {
		return !r.ConfirmedOnly
	}
	return d.CanRetryUnconfirmed(now)
}

func (d *Dispatcher) unconfirmedInWindow(now tables.Instant) int {
	d.advance(&d.unconfirmedRetries, now)
	_, strays := d.unconfirmedRetries.totals()
	return strays
}

// countUnconfirmed counts an attempt as one that may arrive at another service.
func (d *Dispatcher) countUnconfirmed(now tables.Instant, a *Attempt) {
	d.advance(&d.unconfirmedRetries, now)
	d.unconfirmedRetries.retries[d.unconfirmedRetries.current()]++
	a.unconfirmed, a.unconfirmedSlice = true, d.unconfirmedRetries.slice
}

// releaseUnconfirmed takes the count back if the attempt arrived at its endpoint or nowhere.
func (d *Dispatcher) releaseUnconfirmed(now tables.Instant, a *Attempt) {
	if !a.unconfirmed {
		return
	}
	a.unconfirmed = false
	d.advance(&d.unconfirmedRetries, now)
	if d.unconfirmedRetries.retains(a.unconfirmedSlice) {
		d.unconfirmedRetries.retries[d.unconfirmedRetries.index(a.unconfirmedSlice)]--
	}
}
