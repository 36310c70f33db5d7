package node

import (
	"hash/fnv"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/control/deployment"
	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/engine/exchange"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/forward"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// heldPart is the part of an instance's memory that request bodies may take.
const heldPart = 4

// startEntry starts the entry role.
func (n *Node) startEntry() error {
	s, p := n.options.Settings, n.options.Platform
	client := exchange.NewClient(exchange.Options{Headers: p.Headers, Dial: n.dial})
	n.background.Go(func() { client.Run(n.stopping) })
	n.entry = forward.New(forward.Options{
		Headers: p.Headers,
		Client:  client,
		Dispatch: dispatch.Options{
			Zone: s.Zone,
			Seed: n.seed(),
			Retry: dispatch.RetryLimits{
				Ratio: s.Retries.Ratio, Extra: s.Retries.Extra, Window: s.Retries.Window,
			},
			WeightsTimeout: s.Orders.WeightsTimeout,
		},
		Registry:   n.registry,
		Log:        n.log,
		Now:        n.now,
		Boot:       n.bootText(),
		DrainServe: s.Drain.Announce,
		MaxHeld:    int64(s.MemoryMB) << 20 / heldPart,
		Share:      n.shareSuspects,
		PassOn:     n.passOn,
	})
	n.follow = deployment.NewClient(deployment.ClientOptions{
		Instance: string(s.Instance),
		Sources:  n.controlSources,
		Document: n.takeDocument,
		Fleet:    func(c *fleet.Copy) { n.entry.Fleet(c.Endpoints()) },
		Answered: func(_ deployment.Source, answer *rpc.FollowAnswer) {
			if !answer.GetBehind() {
				n.entry.HeardControl()
			}
		},
		Log: n.log,
	})
	n.background.Go(func() { n.follow.Run(n.stopping) })
	if err := n.serve(&http.Server{Handler: n.entry}, s.Listen.Callers); err != nil {
		return err
	}
	ready := http.NewServeMux()
	ready.HandleFunc("/", n.entry.ServeReady)
	return n.serve(&http.Server{Handler: ready}, s.Listen.Ready)
}

// takeDocument puts a newer document in force.
func (n *Node) takeDocument(document *rpc.Document) {
	if model, ok := deployment.ModelOf(document.GetName()); ok {
		n.entry.Want(model, document.GetNumber())
		events.WeightsWanted.Log(n.log, zap.String("model", model), zap.Uint64("weights", document.GetNumber()))
		return
	}
	if document.GetName() != deployment.ConfigurationName {
		return
	}
	table, err := n.options.Platform.Configuration(document.GetContent())
	if err != nil {
		// Control instances have read it before: the two differ in version.
		events.ConfigurationUnreadable.Log(n.log, zap.Uint64("revision", document.GetNumber()), zap.Error(err))
		return
	}
	n.entry.Configure(table)
}

// seed differs between instances and between two lives of one.
func (n *Node) seed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(n.options.Settings.Instance))
	return h.Sum64() ^ n.boot
}

// placementPeriod is the time between two tellings of placements. Requests of
// one prompt come some tens of milliseconds apart when it is hot.
const placementPeriod = 15 * time.Millisecond

// passOn takes where this instance placed parts of prompts. It does not block.
func (n *Node) passOn(news []dispatch.Placement) {
	rows := make([]membership.Placement, 0, len(news))
	for _, p := range news {
		rows = append(rows, membership.Placement{Endpoint: p.Endpoint, Block: tables.BlockHash(p.Key)})
	}
	n.placements.Add(rows)
}

// placedElsewhere takes what another instance placed.
func (n *Node) placedElsewhere(p membership.Placement) {
	if n.entry != nil {
		n.entry.Placed(dispatch.Placement{Endpoint: p.Endpoint, Key: uint64(p.Block)})
	}
}

// tellPlacements lets the other instances know where parts of prompts are.
func (n *Node) tellPlacements() {
	receivers := func() int { return len(n.entryPeers()) }
	n.placements.Run(n.stopping, placementPeriod, receivers, func(news []membership.Placement) {
		n.members.Load().TellPlacements(news)
	})
}
