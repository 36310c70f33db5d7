package dispatch

import (
	"net/netip"
	"time"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// announcements holds what one process of an endpoint has announced in its responses. It
// outlives the endpoint's row, since an endpoint may be missing from one list and be back
// in the next one while the same process runs.
type announcements struct {
	address        netip.AddrPort
	startUnixMilli int64
	// draining is set once the process is known to be about to stop, and observedDraining
	// if this instance has received the announcement itself. Processes do not withdraw
	// it.
	draining, observedDraining bool
	// brittle is whether the process fails if it has to reject many requests.
	brittle brittleness
	pushback
	// unlistedSince is when the endpoint was first seen to have no row; zero while it has one.
	unlistedSince tables.Instant
}

// announcementRetention is how long the announcements of a process are kept after the
// platform's list has dropped it.
const announcementRetention = time.Minute

// announcementsOf returns the announcements of an endpoint's process, which are empty for a
// process that is not known yet.
func (d *Dispatcher) announcementsOf(e *fleet.Endpoint) *announcements {
	known := d.announcements[e.ID]
	if known == nil || !known.isOf(e) {
		known = &announcements{address: e.Address}
		d.announcements[e.ID] = known
	}
	known.startUnixMilli = max(known.startUnixMilli, e.StartUnixMilli)
	known.unlistedSince = 0
	return known
}

// isOf reports whether an endpoint is the process that made the announcements. A start time
// of zero is unknown.
func (a *announcements) isOf(e *fleet.Endpoint) bool {
	return a.address == e.Address && a.isOfStart(e.StartUnixMilli)
}

func (a *announcements) isOfStart(startUnixMilli int64) bool {
	return a.startUnixMilli == startUnixMilli || a.startUnixMilli == 0 || startUnixMilli == 0
}

// dropOldAnnouncements forgets processes that the platform's list has dropped for long.
func (d *Dispatcher) dropOldAnnouncements(now tables.Instant) {
	for id, a := range d.announcements {
		switch {
		case d.endpoints[id] != nil:
		case a.unlistedSince == 0:
			a.unlistedSince = now
		case now-a.unlistedSince > announcementRetention && now >= a.until:
			delete(d.announcements, id)
		}
	}
}

// Notice is what an instance reports to the others of an endpoint's announcements.
type Notice struct {
	// StartUnixMilli identifies the process; zero if its start is not known.
	StartUnixMilli int64
	// Draining is set if the process is about to stop.
	Draining bool
	// PushbackFor is the remaining back-off of the sender.
	PushbackFor time.Duration
	// Brittleness is nil if the sender knows nothing of it.
	Brittleness *BrittlenessReport
}

// notice returns what other instances need to know; nil for nothing. It leaves out that
// an endpoint is draining once the platform's list shows it.
func (r *endpointRow) notice(now tables.Instant) *Notice {
	n := Notice{
		StartUnixMilli: r.announced.startUnixMilli,
		Draining:       r.announced.observedDraining && !r.Draining,
		PushbackFor:    max(0, r.announced.until-now),
		Brittleness:    r.announced.brittle.report(now),
	}
	if !n.Draining && n.PushbackFor == 0 && n.Brittleness == nil {
		return nil
	}
	return &n
}

// applyNotice applies another instance's notice unless it concerns another process.
func (d *Dispatcher) applyNotice(now tables.Instant, row *endpointRow, n *Notice) {
	if n == nil || !row.announced.isOfStart(n.StartUnixMilli) {
		return
	}
	row.announced.draining = row.announced.draining || n.Draining
	if b := n.Brittleness; b != nil {
		row.announced.brittle.update(now-max(0, b.Age), b.Brittleness, true)
	}
	if n.PushbackFor > 0 {
		row.announced.recordPeerPushback(now, min(n.PushbackFor, maxPushback)+d.pushbackJitter(row, n.PushbackFor))
	}
}

// RecordDraining records that the attempt's endpoint has announced that it is about to
// stop, and reports whether that is new to this instance.
func (d *Dispatcher) RecordDraining(a *Attempt) (first bool) { return d.recordDraining(a.row) }

// RecordCallDraining is RecordDraining for an endpoint that has answered a call other than an
// attempt.
func (d *Dispatcher) RecordCallDraining(id tables.EndpointID) (first bool) {
	row := d.endpoints[id]
	return row != nil && d.recordDraining(row)
}

func (d *Dispatcher) recordDraining(row *endpointRow) (first bool) {
	announced := row.announced
	first = !announced.observedDraining
	announced.draining, announced.observedDraining = true, true
	if first {
		d.markDirty(row)
	}
	return first
}

// IsLeaving reports whether an endpoint is known to be about to stop, by the platform's list or by what
// it has announced.
func (d *Dispatcher) IsLeaving(id tables.EndpointID) bool {
	row := d.endpoints[id]
	return row != nil && row.isLeaving()
}

// AnnouncedDraining returns the endpoints of a service that are known to be about to stop
// though the platform's list does not say so, at most limit of them.
func (d *Dispatcher) AnnouncedDraining(service string, limit int) []tables.EndpointID {
	var ids []tables.EndpointID
	for _, row := range d.services[service] {
		if row.announced.draining && !row.Draining && len(ids) < limit {
			ids = append(ids, row.ID)
		}
	}
	return ids
}
