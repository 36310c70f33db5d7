package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// An endpoint's transfers run one after another on its link: a long prompt may hold it
// for a tenth of a second, and what takes a millisecond to fetch waits behind it. Each
// instance counts the transfers that it brings about and tells the others how long a
// link is busy.
//
// The sending link is not counted: a store's is faster than an engine's, and would be
// taken for busy whenever the receiving one is.
const (
	// defaultTransferTime is how long a link is busy with one token where nothing is
	// declared, in milliseconds; a tenth of what reading it takes.
	defaultTransferTime = 0.0066
	// crossZoneTransferFactor is how many times longer a transfer between zones takes, as the
	// platform says.
	crossZoneTransferFactor = 2.0
)

// transferTime is how long a token is on the way from one endpoint to another, in
// milliseconds.
func (r *Request) transferTime(from, to *endpointRow) float64 {
	perToken := defaultTransferTime
	if r.Service.TransferTime > 0 {
		perToken = milliseconds(r.Service.TransferTime)
	}
	if from.Zone != to.Zone {
		perToken *= crossZoneTransferFactor
	}
	return perToken
}

// linkBusyFor is for how long the endpoint's link is still busy.
func (r *endpointRow) linkBusyFor(now tables.Instant) time.Duration { return max(0, r.linkFreeAt-now) }

// reserveLink counts a reserveLink on an endpoint's link.
func (d *Dispatcher) reserveLink(now tables.Instant, row *endpointRow, ms float64) {
	row.linkFreeAt = max(row.linkFreeAt, now) + time.Duration(ms*float64(time.Millisecond))
	d.markDirty(row)
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
