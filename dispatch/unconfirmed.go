package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// A retry is delivered to, and counts at, the service whose process is at the endpoint's
// address when it arrives. After the end of an endpoint its address may be reused by a
// service that receives next to no requests, for which the retry budget of the requested
// service is far too large. So a retry goes to a confirmed endpoint, whose address
// certainly is still its own, if one is eligible. Retries to unconfirmed endpoints are
// limited to what any service can bear, across all services.

// confirmMargin is subtracted from the time for which an address stays unused: both the
// response that confirmed the endpoint and the retry spend time in transit.
const confirmMargin = 500 * time.Millisecond

// addressConfirmed reports whether the endpoint responded under its own identity so
// recently that no other process can have its address yet.
func (d *Dispatcher) addressConfirmed(now tables.Instant, row *endpointRow) bool {
	since := row.sinceResponse(now)
	return since >= 0 && since+confirmMargin <= d.options.AddressReuseDelay
}

// CanRetryUnconfirmed reports whether a retry may be sent to an endpoint that is not
// confirmed. It assumes the worst case, in which all such retries arrive at one service,
// in addition to those meant for it.
func (d *Dispatcher) CanRetryUnconfirmed(now tables.Instant) bool {
	excess := 0.0
	for service := range d.retryWindows {
		requests, retries := d.retryWindow(now, service).totals()
		excess = max(excess, float64(retries)-d.options.RetryBudget.Ratio*float64(requests))
	}
	return float64(d.unconfirmedInWindow(now)+1)+excess <= d.extraRetries(now)
}

// mayRetryUnconfirmed reports whether this retry may be sent to an unconfirmed endpoint.
// For a request of another instance that instance has decided it.
func (d *Dispatcher) mayRetryUnconfirmed(now tables.Instant, r *Request) bool {
	if r.Remote {
		return !r.ConfirmedOnly
	}
	return d.CanRetryUnconfirmed(now)
}

// unconfirmedInWindow returns the number of retries to unconfirmed endpoints in the
// window.
func (d *Dispatcher) unconfirmedInWindow(now tables.Instant) int {
	d.advance(&d.unconfirmedRetries, now)
	_, retries := d.unconfirmedRetries.totals()
	return retries
}

// countUnconfirmed counts an attempt as a retry that may reach another service.
func (d *Dispatcher) countUnconfirmed(now tables.Instant, a *Attempt) {
	d.advance(&d.unconfirmedRetries, now)
	d.unconfirmedRetries.retries[d.unconfirmedRetries.current()]++
	a.unconfirmed, a.unconfirmedSlice = true, d.unconfirmedRetries.slice
}

// releaseUnconfirmed takes that count back once the attempt is known to have reached its
// own endpoint or no process at all.
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
