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

// startEntry creates the components of the entry role.
func (d *Daemon) startEntry() error {
	p := d.options.Process
	d.router = router.New(router.Options{Instance: p.Instance, Zone: p.Zone, Seed: d.randomSeed()})
	limits := entry.DefaultLimits()
	limits.MaxBodyBytes = p.Limits.BodyBytes
	limits.MaxBufferedBytes = d.bodyBytes()
	limits.MaxInFlight = p.Limits.Requests
	limits.MaxInFlightPerOrganisation = p.Limits.OrganisationRequests
	limits.DrainDelay = p.Drain.Announce
	server, err := entry.New(entry.Options{
		Instance:          p.Instance,
		BootID:            strconv.FormatUint(d.bootEpoch, 36),
		Router:            d.router,
		Client:            d.client,
		Claims:            d.claims,
		Metrics:           requestMetrics{metrics.NewRequests(d.registry)},
		Log:               d.options.Log,
		BroadcastSuspects: d.suspectNotifier.broadcast,
		GossipConvictions: d.suspectNotifier.gossip,
		GossipPlacements:  d.queuePlacementHints,
		Now:               d.now,
		Limits:            limits,
	})
	if err != nil {
		return err
	}
	d.entry = server
	d.feedGroup = feed.NewPollerGroup(feed.Options{
		Reporter:     d.client,
		Deliver:      server.Observe,
		LoadInterval: d.options.LoadReportInterval,
		Log:          d.options.Log,
	})
	return nil
}

// randomSeed returns a seed that differs between instances and between two starts
// of one instance, so that attempt identifiers never repeat.
func (d *Daemon) randomSeed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(d.options.Process.Instance))
	return h.Sum64() ^ d.bootEpoch
}

// requestMetrics adapts metrics.Requests to the metrics interface of package entry.
type requestMetrics struct{ *metrics.Requests }

// dropReasonLabels are the values of the metric label "reason".
var dropReasonLabels = map[entry.DropReason]string{
	entry.DroppedMismatch:  "mismatch",
	entry.DroppedDuplicate: "duplicate",
	entry.DroppedLate:      "late",
}

// CountDropped counts a dropped response or token.
func (m requestMetrics) CountDropped(d entry.DropReason) { m.CountDroppedAnswer(dropReasonLabels[d]) }

// placementHintInterval is the interval between two transmissions of placement
// hints.
const placementHintInterval = 100 * time.Millisecond

// queuePlacementHints queues placements of this instance's router for transmission
// to other instances. It does not block.
func (d *Daemon) queuePlacementHints(placements []router.PeerPlacement) {
	rows := make([]membership.Placement, 0, len(placements))
	for _, p := range placements {
		rows = append(rows, membership.Placement{Endpoint: p.Endpoint, Boot: p.Boot, Block: p.Block})
	}
	d.hintQueue.Add(membership.Hints{Placements: rows})
}

// runPlacementHints sends queued hints about prefix placements to other instances
// until the instance stops.
func (d *Daemon) runPlacementHints() {
	d.hintQueue.Run(d.runContext, gossip.HintSenderOptions{
		Interval:       placementHintInterval,
		BytesPerSecond: gossip.DefaultHintBytesPerSecond,
		ReceiverCount:  func() int { return d.members.Load().HintReceiverCount() },
		Send:           func(hints membership.Hints) { d.members.Load().SendHints(hints) },
	})
}
