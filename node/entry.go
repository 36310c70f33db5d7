package node

import (
	"hash/fnv"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/control/deployment"
	"github.com/carawaystile/carawaystile/control/gossip"
	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/engine/exchange"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/forward"
	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/schedule"
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
			RetryBudget: dispatch.RetryBudget{
				Ratio: s.Retries.Ratio, Extra: s.Retries.Extra, Window: s.Retries.Window,
			},
			AddressReuseDelay:   s.Retries.AddressReuse,
			StaleWeightsTimeout: s.Orders.WeightsTimeout,
		},
		Registry:         n.registry,
		Log:              n.log,
		Now:              n.now,
		BootID:           n.bootText(),
		DrainDelay:       s.Drain.Announce,
		MaxBufferedBytes: int64(s.MemoryMB) << 20 / heldPart,
		ShareSuspects:    n.shareSuspects,
		Scheduler:        n.startScheduling(),
		RateLimiter:      n.startUsage(),
		UsageTolerance:   n.usageTolerance(),
		Context:          n.stopping,
	})
	n.schedules = schedule.NewServer(n.entry, n.now)
	n.follow = deployment.NewClient(deployment.ClientOptions{
		Instance:   string(s.Instance),
		Sources:    n.controlSources,
		OnDocument: n.takeDocument,
		OnWeightVersion: func(named *rpc.WeightsNamed) {
			n.entry.RecordWeightsVersion(named.GetModel(), named.GetVersion(), time.Duration(named.GetAgeNanos()))
		},
		OnEndpoints: func(c *fleet.Replica) { n.entry.SetEndpoints(c.Endpoints()) },
		OnAnswer: func(_ deployment.Source, answer *rpc.FollowAnswer) {
			if !answer.GetBehind() {
				n.entry.RecordControlSync(time.Duration(answer.GetLagNanos()))
			}
		},
		Log: n.log,
	})
	n.background.Go(func() { n.follow.Run(n.stopping) })
	n.background.Go(func() {
		if n.entry.WaitInitialized(n.stopping) {
			n.knownAt.Store(int64(n.now()))
		}
	})
	n.startCaches()
	n.callers = &http.Server{Handler: n.entry}
	if err := n.serve(n.callers, s.Listen.Callers); err != nil {
		return err
	}
	ready := http.NewServeMux()
	ready.HandleFunc("/", n.entry.ServeReady)
	return n.serve(&http.Server{Handler: ready}, s.Listen.Ready)
}

// takeDocument puts a newer document in force.
func (n *Node) takeDocument(document *rpc.Document) {
	if model, ok := deployment.ModelOfWeightsDocument(document.GetName()); ok {
		n.entry.RecordWeightsVersion(model, document.GetNumber(), 0)
		events.WeightsWanted.Log(n.log, zap.String("model", model), zap.Uint64("weights", document.GetNumber()))
		return
	}
	if document.GetName() != deployment.ConfigurationDocument {
		return
	}
	table, err := n.options.Platform.ParseConfiguration(document.GetContent())
	if err != nil {
		// Control instances have read it before: the two differ in version.
		events.ConfigurationUnreadable.Log(n.log, zap.Uint64("revision", document.GetNumber()), zap.Error(err))
		return
	}
	n.accounts.SetLimits(n.usageLimits(table))
	n.entry.Configure(table)
}

// seed differs between instances and between two lives of one.
func (n *Node) seed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(n.options.Settings.Instance))
	return h.Sum64() ^ n.boot
}

const (
	// hintPeriod is the time between two sendings of hints. Requests of one
	// prompt come some tens of milliseconds apart when it is hot.
	hintPeriod = 15 * time.Millisecond
	// reportPeriod is the same for an instance for which others choose: it has to report
	// only what engines say that they keep, which comes late anyway.
	reportPeriod = 100 * time.Millisecond
	// hintPart is the part of the machine's link that hints may take, and
	// maxHintBytes a bound in bytes a second where the link is fast: 30 instances
	// of 10 requests a second need some 50 KB/s.
	hintPart     = 0.05
	maxHintBytes = 400_000
	// remotePeriod is the time between two sendings to other zones, and remotePart
	// what of the budget they may take: bytes between zones are dear.
	remotePeriod = 250 * time.Millisecond
	remotePart   = 0.2
	// remoteLoadsPeriod and remoteLoadsPart are the same for loads, which schedulers of
	// other zones hear of.
	remoteLoadsPeriod = 100 * time.Millisecond
	remoteLoadsPart   = 0.5
)

// hintBytes is what this instance may send of hints in a second.
func (n *Node) hintBytes() int {
	link := n.options.Settings.LinkMbps * 1e6 / 8
	return min(maxHintBytes, max(gossip.HintBytesPerSecond, int(hintPart*link)))
}

// hintsOfRequests is what has changed since the last call of where this
// instance placed parts of prompts and of what it has at endpoints.
func (n *Node) hintsOfRequests() membership.Hints {
	n.schedules.ExpireAttempts()
	placements, loads := n.entry.TakeUpdates()
	var hints membership.Hints
	for _, p := range placements {
		hints.Placements = append(hints.Placements, membership.Placement{Endpoint: p.Endpoint, Block: tables.BlockHash(p.Key), Evicted: p.Evicted})
	}
	for _, l := range loads {
		hints.Loads = append(hints.Loads, membership.Load{
			Endpoint: l.Endpoint, Running: l.Running, CacheTokens: l.MemoryTokens, PrefillTokens: l.PrefillTokens, LinkBusy: l.LinkBusy, AbsentFor: l.AbsentFor,
			Limit: reportedLimit(l.Limit),
		})
	}
	n.remote.Add(membership.Hints{Placements: hints.Placements})
	if len(hints.Loads) > 0 && len(n.schedulers()) > 0 {
		n.remoteLoads.Add(membership.Hints{Loads: hints.Loads})
	}
	return hints
}

// placedElsewhere takes what another instance placed.
func (n *Node) placedElsewhere(p membership.Placement) {
	if n.entry == nil {
		return
	}
	placed := dispatch.CacheUpdate{Endpoint: p.Endpoint, Key: parts.Key(p.Block), Evicted: p.Evicted}
	if !p.Reported {
		n.entry.ApplyCacheUpdate(placed)
		return
	}
	// All schedulers of the zone get it; one reports to the other zones.
	if n.entry.ApplyCacheEvent(placed) && n.leadsSchedulers() {
		p.Reported = false
		n.remote.Add(membership.Hints{Placements: []membership.Placement{p}})
	}
}

// loadedElsewhere takes what another instance has at an endpoint.
func (n *Node) loadedElsewhere(l membership.Load) {
	if n.entry != nil {
		n.entry.ApplyLoadReport(l.Instance, dispatch.LoadReport{
			Endpoint: l.Endpoint, Running: l.Running, MemoryTokens: l.CacheTokens, PrefillTokens: l.PrefillTokens, LinkBusy: l.LinkBusy, AbsentFor: l.AbsentFor,
			Limit: receivedLimit(l.Limit),
		})
	}
}

func reportedLimit(l *dispatch.RateLimitReport) *membership.RateLimit {
	if l == nil {
		return nil
	}
	return &membership.RateLimit{Limited: l.Limited, PerSecond: l.PerSecond, Age: l.Age}
}

func receivedLimit(l *membership.RateLimit) *dispatch.RateLimitReport {
	if l == nil {
		return nil
	}
	return &dispatch.RateLimitReport{RateLimit: dispatch.RateLimit{Limited: l.Limited, PerSecond: l.PerSecond}, Age: l.Age}
}

// sendHints lets the other instances know of this one's requests.
func (n *Node) sendHints() {
	n.hints.Run(n.stopping, gossip.HintOptions{
		Period:         hintPeriod,
		Pace:           n.hintPace,
		BytesPerSecond: n.hintBytes(),
		Collect:        n.hintsOfRequests,
		Receivers:      func() int { return n.members.Load().HintReceivers() },
		Tell:           func(news membership.Hints) { n.members.Load().SendHints(news) },
	})
}

// hintPace is the time between two sendings as the instance's part in the choices asks
// for it: each wakes it up.
func (n *Node) hintPace() time.Duration {
	if n.choosesItself() {
		return hintPeriod
	}
	return reportPeriod
}

// sendRemotePlacements lets other zones know where this instance placed parts of prompts.
func (n *Node) sendRemotePlacements() {
	n.remote.Run(n.stopping, gossip.HintOptions{
		Period:         remotePeriod,
		BytesPerSecond: int(remotePart * float64(n.hintBytes())),
		Receivers:      func() int { return 1 },
		Tell:           func(news membership.Hints) { n.members.Load().SendToOtherZones(news.Placements) },
	})
}

// remoteLoadsPace lets an instance sleep that is no scheduler.
func (n *Node) remoteLoadsPace() time.Duration {
	if len(n.schedulers()) > 0 && n.choosesItself() {
		return remoteLoadsPeriod
	}
	return time.Second
}

// sendRemoteLoads lets the schedulers of other zones know what this instance has at
// endpoints.
func (n *Node) sendRemoteLoads() {
	n.remoteLoads.Run(n.stopping, gossip.HintOptions{
		Period:         remoteLoadsPeriod,
		Pace:           n.remoteLoadsPace,
		BytesPerSecond: int(remoteLoadsPart * float64(n.hintBytes())),
		Receivers:      func() int { return n.members.Load().RemoteSchedulers() },
		Tell:           func(news membership.Hints) { n.members.Load().SendLoadsToOtherZones(news.Loads) },
	})
}
