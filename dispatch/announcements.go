package dispatch

import (
	"net/netip"
	"time"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// announcements holds what one process of an endpoint has said of itself in its responses.
// It outlives the endpoint's row, since an endpoint may be missing from one list and be back
// in the next one while the same process runs.
type announcements struct {
	address        netip.AddrPort
	startUnixMilli int64
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

// Notice is what an instance tells the others of an endpoint's announcements.
type Notice struct {
	// StartUnixMilli identifies the process; zero if its start is not known.
	StartUnixMilli int64
	// PushbackFor is for how much longer the endpoint wants no requests from the sender.
	PushbackFor time.Duration
}

// notice returns what other instances need to know; nil for nothing.
func (a *announcements) notice(now tables.Instant) *Notice {
	if !a.pushedBack(now) {
		return nil
	}
	return &Notice{StartUnixMilli: a.startUnixMilli, PushbackFor: a.until - now}
}

// applyNotice applies another instance's notice unless it concerns another process.
func (d *Dispatcher) applyNotice(now tables.Instant, row *endpointRow, n *Notice) {
	if n == nil || !row.announced.isOfStart(n.StartUnixMilli) {
		return
	}
	if n.PushbackFor > 0 {
		row.announced.recordPeerPushback(now, min(n.PushbackFor, maxPushback)+d.pushbackJitter(row, n.PushbackFor))
	}
}
