package daemon

import (
	"context"
	"hash/fnv"
	"strconv"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/engine/feed"
	"github.com/carawaystile/carawaystile/entry"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

// startEntry makes the parts of the entry role.
func (d *Daemon) startEntry() error {
	p := d.options.Process
	d.client = engine.NewHTTPClient(engine.Options{})
	d.router = router.New(router.Options{Instance: p.Instance, Zone: p.Zone, Seed: d.seed()})
	limits := entry.DefaultLimits()
	limits.MaxBody = p.Limits.BodyBytes
	limits.MaxOpen = p.Limits.Requests
	limits.DrainServe = p.Drain.Announce
	server, err := entry.New(entry.Options{
		Instance: p.Instance,
		Boot:     strconv.FormatUint(d.options.Boot, 36),
		Router:   d.router,
		Client:   d.client,
		Claimer:  noClaims{},
		Metrics:  requestMetrics{metrics.NewRequests(d.registry)},
		Log:      d.options.Log,
		Now:      d.now,
		Limits:   limits,
	})
	if err != nil {
		return err
	}
	d.entry = server
	d.feeds = feed.NewGroup(feed.Options{
		Reporter: d.client,
		Deliver:  server.Observe,
		Period:   d.options.FeedPeriod,
		Log:      d.options.Log,
	})
	return nil
}

// seed differs between instances and between two lives of one, so that attempt
// identities never repeat.
func (d *Daemon) seed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(d.options.Process.Instance))
	return h.Sum64() ^ d.options.Boot
}

// requestMetrics gives the entry its measurements.
type requestMetrics struct{ *metrics.Requests }

// droppedReasons are the values of the label reason.
var droppedReasons = map[entry.Dropped]string{
	entry.DroppedMismatch:  "mismatch",
	entry.DroppedDuplicate: "duplicate",
	entry.DroppedLate:      "late",
}

// CountDropped counts answers and tokens that were dropped.
func (m requestMetrics) CountDropped(d entry.Dropped) { m.CountDroppedAnswer(droppedReasons[d]) }

// noClaims is the claims of an instance without a control state: work that must
// run at most once is refused before it starts.
type noClaims struct{}

func (noClaims) Claim(context.Context, tables.OrganisationID, tables.Key, tables.BodyHash) (tables.Grant, error) {
	return tables.Grant{}, &tables.NoQuorum{Asked: "claim"}
}

func (noClaims) MarkDispatched(context.Context, tables.Grant) error {
	return &tables.NoQuorum{Asked: "mark dispatched"}
}

func (noClaims) Finish(context.Context, tables.Grant, tables.Answer) error {
	return &tables.NoQuorum{Asked: "finish"}
}

func (noClaims) Release(context.Context, tables.Grant) error {
	return &tables.NoQuorum{Asked: "release"}
}
