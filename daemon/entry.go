package daemon

import (
	"hash/fnv"
	"strconv"
	"time"

	"github.com/carawaystile/carawaystile/control/gossip"
	"github.com/carawaystile/carawaystile/engine/feed"
	"github.com/carawaystile/carawaystile/entry"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/systems/membership"
)

// startEntry makes the parts of the entry role.
func (d *Daemon) startEntry() error {
	p := d.options.Process
	d.router = router.New(router.Options{Instance: p.Instance, Zone: p.Zone, Seed: d.seed()})
	limits := entry.DefaultLimits()
	limits.MaxBodyBytes = p.Limits.BodyBytes
	limits.MaxInFlight = p.Limits.Requests
	limits.MaxInFlightPerOrganisation = p.Limits.OrganisationRequests
	limits.DrainDelay = p.Drain.Announce
	server, err := entry.New(entry.Options{
		Instance:          p.Instance,
		BootID:            strconv.FormatUint(d.boot, 36),
		Router:            d.router,
		Client:            d.client,
		Claims:            d.claims,
		Metrics:           requestMetrics{metrics.NewRequests(d.registry)},
		Log:               d.options.Log,
		BroadcastSuspects: d.peers.share,
		GossipPlacements:  d.passOn,
		Now:               d.now,
		Limits:            limits,
	})
	if err != nil {
		return err
	}
	d.entry = server
	d.feeds = feed.NewPollerGroup(feed.Options{
		Reporter:     d.client,
		Deliver:      server.Observe,
		LoadInterval: d.options.LoadReportInterval,
		Log:          d.options.Log,
	})
	return nil
}

// seed differs between instances and between two lives of one, so that attempt
// identities never repeat.
func (d *Daemon) seed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(d.options.Process.Instance))
	return h.Sum64() ^ d.boot
}

// requestMetrics gives the entry its measurements.
type requestMetrics struct{ *metrics.Requests }

// droppedReasons are the values of the label reason.
var droppedReasons = map[entry.DropReason]string{
	entry.DroppedMismatch:  "mismatch",
	entry.DroppedDuplicate: "duplicate",
	entry.DroppedLate:      "late",
}

// CountDropped counts answers and tokens that were dropped.
func (m requestMetrics) CountDropped(d entry.DropReason) { m.CountDroppedAnswer(droppedReasons[d]) }

// placementPeriod is the time between two tellings of placements.
const placementPeriod = 100 * time.Millisecond

// passOn takes placements of this instance's router. It does not block.
func (d *Daemon) passOn(news []router.PeerPlacement) {
	rows := make([]membership.Placement, 0, len(news))
	for _, p := range news {
		rows = append(rows, membership.Placement{Endpoint: p.Endpoint, Boot: p.Boot, Block: p.Block})
	}
	d.hints.Add(membership.Hints{Placements: rows})
}

// tellPlacements lets the other instances know where prefixes were placed.
func (d *Daemon) tellPlacements() {
	d.hints.Run(d.stopping, gossip.HintSenderOptions{
		Interval:       placementPeriod,
		BytesPerSecond: gossip.DefaultHintBytesPerSecond,
		ReceiverCount:  func() int { return d.members.Load().HintReceiverCount() },
		Send:           func(news membership.Hints) { d.members.Load().SendHints(news) },
	})
}
