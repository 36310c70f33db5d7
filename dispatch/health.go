package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// recordHealth updates the health of the endpoint, or of the path to it, with the outcome of an
// attempt.
func (d *Dispatcher) recordHealth(now tables.Instant, a *Attempt, outcome Outcome) {
	connectFailed := outcome == ConnectionRefused || outcome == ConnectTimeout
	switch {
	case connectFailed && a.isRemote:
		// The link that failed is another instance's.
	case connectFailed && a.Relayed:
		a.row.relayAfter = now + connectBackoff
	case connectFailed:
		a.row.recordOutcome(now, outcome)
		d.recordLinkFailure(a.row)
		if outcome == ConnectTimeout {
			d.penalizeZone(now, a.row)
		}
	default:
		a.row.recordOutcome(now, outcome)
		if outcome == Completed || outcome == Declined || outcome == Misdirected {
			d.recordReached(now, a)
		}
	}
}

// recordReached records that an endpoint has responded to an attempt, which shows that the
// link of this instance works if the attempt went over it.
func (d *Dispatcher) recordReached(now tables.Instant, a *Attempt) {
	if a.Relayed || a.isRemote {
		return
	}
	a.row.connectAfter = 0
	d.zoneRespondedAt[a.row.Zone] = now
	d.links.recordResponse()
}

// SetReachable records whether an endpoint accepts connections. An unreachable endpoint
// receives no requests until it is reachable again.
func (d *Dispatcher) SetReachable(now tables.Instant, id tables.EndpointID, reachable bool) {
	row := d.endpoints[id]
	if row == nil {
		return
	}
	row.setReachable(now, reachable)
	if reachable {
		d.links.recordResponse()
		return
	}
	d.recordLinkFailure(row)
}

// RecordConnectionRefused records that an endpoint's address refused a connection of this
// instance.
func (d *Dispatcher) RecordConnectionRefused(now tables.Instant, id tables.EndpointID) {
	if row := d.endpoints[id]; row != nil {
		row.markRefused(now)
	}
}

// zoneSilence is how long no endpoint of a zone may have responded for a connect timeout
// in that zone to count against its other endpoints. In normal operation an instance
// receives several responses from each zone in that time.
const zoneSilence = 300 * time.Millisecond

// penalizeZone raises the failure score of the other endpoints of a zone when a
// connection to one of them timed out and none in the zone has responded. Without it, each instance
// would lose requests at every endpoint of a partitioned zone before it noticed the
// partition.
func (d *Dispatcher) penalizeZone(now tables.Instant, lost *endpointRow) {
	if lost.Zone == d.options.Zone || now-d.zoneRespondedAt[lost.Zone] < zoneSilence {
		return
	}
	for _, r := range d.endpoints {
		if r != lost && r.Zone == lost.Zone {
			r.failureScore, r.failureScoreTime = min(r.currentFailureScore(now)+zoneFailureScore, maxFailureScore), now
		}
	}
}
