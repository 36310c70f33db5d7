package dispatch

import "github.com/carawaystile/carawaystile/tables"

// HasAlternative reports whether an endpoint other than those that the request excludes could
// take it now as a retry. An attempt at an endpoint that is slow is given up only then: otherwise
// the client would lose a response that still comes.
func (d *Dispatcher) HasAlternative(now tables.Instant, r *Request) bool {
	unconfirmed := d.mayRetryUnconfirmed(now, r)
	relays := d.MayRelay(now)
	for _, row := range d.services[r.Service.Name] {
		if r.excludes(row) || !unconfirmed && !d.addressConfirmed(now, row) {
			continue
		}
		eligible := d.isEligible(now, r, row, direct) || relays && d.isEligible(now, r, row, relayed)
		if eligible && d.hasCapacity(now, r, row) {
			return true
		}
	}
	return false
}
