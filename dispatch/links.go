package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// An endpoint's link is modelled as a FIFO queue of transfers: a long prompt may occupy
// it for a tenth of a second, and a transfer of a millisecond waits behind it. Each
// instance counts the transfers that it causes and reports to the others how long a link
// is busy.
//
// Only the receiving link is counted. A store's link is faster than an engine's, and
// would count as busy whenever the receiving one is.
const (
	// defaultTransferTime is how long one token occupies a link if the settings declare
	// no time, in milliseconds. It is a tenth of the prefill time of a token.
	defaultTransferTime = 0.0066
	// crossZoneTransferFactor is how many times longer a transfer between zones takes, as
	// the platform specifies.
	crossZoneTransferFactor = 2.0
)

// transferTime returns the transfer time of one token between two endpoints, in
// milliseconds.
func (r *Request) transferTime(from, to *endpointRow) float64 {
	perToken := defaultTransferTime
	if r.Service.TransferTimePerToken > 0 {
		perToken = milliseconds(r.Service.TransferTimePerToken)
	}
	if from.Zone != to.Zone {
		perToken *= crossZoneTransferFactor
	}
	return perToken
}

// linkBusyFor returns for how much longer the endpoint's link is busy.
func (r *endpointRow) linkBusyFor(now tables.Instant) time.Duration { return max(0, r.linkFreeAt-now) }

// reserveLink appends a transfer of ms milliseconds to the queue of an endpoint's link.
func (d *Dispatcher) reserveLink(now tables.Instant, row *endpointRow, ms float64) {
	row.linkFreeAt = max(row.linkFreeAt, now) + time.Duration(ms*float64(time.Millisecond))
	row.ownTransfersEndAt = row.linkFreeAt
	d.markDirty(row)
}

// releaseLink takes back the fetch of an attempt that has ended before its endpoint can have begun it.
func (a *Attempt) releaseLink(outcome Outcome) {
	row, transfer := a.row, time.Duration(a.fetchTransfer*float64(time.Millisecond))
	if transfer == 0 || a.responseStarted {
		return
	}
	switch outcome {
	case RateLimited, Declined, Misdirected, ConnectionRefused, ConnectTimeout, RelayUnavailable:
		if row.linkFreeAt == row.ownTransfersEndAt {
			row.linkFreeAt -= transfer
		}
		row.ownTransfersEndAt -= transfer
	}
}

// ownLinkUse returns for how much longer the link is busy until the end of this instance's last
// transfer. What others have reported is left out: reports of reports would renew each other.
func (r *endpointRow) ownLinkUse(now tables.Instant) time.Duration {
	return max(0, r.ownTransfersEndAt-now)
}

// milliseconds converts a duration to milliseconds.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
