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

// requestBodyMemoryDivisor is the part of an instance's memory that request bodies may take.
const requestBodyMemoryDivisor = 4

// startEntry starts the entry role.
func (n *Node) startEntry() error {
	s, p := n.options.Settings, n.options.Platform
	client := exchange.NewClient(exchange.Options{Headers: p.Headers, Dial: n.dial})
	n.background.Go(func() { client.Run(n.lifetime) })
	n.entry = forward.New(forward.Options{
		Headers: p.Headers,
		Client:  client,
		Dispatch: dispatch.Options{
			Zone: s.Zone,
			Seed: n.randomSeed(),
			RetryBudget: dispatch.RetryBudget{
				Ratio: s.Retries.Ratio, Extra: s.Retries.Extra, Window: s.Retries.Window,
			},
			AddressReuseDelay:   s.Retries.AddressReuse,
			StaleWeightsTimeout: s.Orders.WeightsTimeout,
		},
		Registry:         n.registry,
		Log:              n.log,
		Now:              n.now,
		BootID:           n.bootID(),
		DrainDelay:       s.Drain.Announce,
		MaxBufferedBytes: int64(s.MemoryMB) << 20 / requestBodyMemoryDivisor,
		ShareSuspects:    n.broadcastSuspects,
		Scheduler:        n.newScheduleClient(),
		RateLimiter:      n.newUsageClient(),
		UsageTolerance:   n.usageTolerance(),
		Context:          n.lifetime,
	})
	n.scheduleServer = schedule.NewServer(n.entry, n.now)
	n.deploymentClient = deployment.NewClient(deployment.ClientOptions{
		Instance: string(s.Instance),
		Sources:  n.controlSources,
		Document: n.applyDocument,
		Weights: func(named *rpc.WeightsNamed) {
			n.entry.RecordWeightsVersion(named.GetModel(), named.GetVersion(), time.Duration(named.GetAgeNanos()))
		},
		Fleet: func(c *fleet.Replica) { n.entry.SetEndpoints(c.Endpoints()) },
		Answered: func(_ deployment.Source, answer *rpc.FollowAnswer) {
			if !answer.GetBehind() {
				n.entry.RecordControlSync(time.Duration(answer.GetLagNanos()))
			}
		},
		Log: n.log,
	})
	n.background.Go(func() { n.deploymentClient.Run(n.lifetime) })
	n.background.Go(func() {
		if n.entry.WaitInitialized(n.lifetime) {
			n.initializedAt.Store(int64(n.now()))
		}
	})
	n.startCacheSync()
	n.callerServer = &http.Server{Handler: n.entry}
	if err := n.serve(n.callerServer, s.Listen.Callers); err != nil {
		return err
	}
	ready := http.NewServeMux()
	ready.HandleFunc("/", n.entry.ServeReady)
	return n.serve(&http.Server{Handler: ready}, s.Listen.Ready)
}

// applyDocument puts a newer document in force.
func (n *Node) applyDocument(document *rpc.Document) {
	if model, ok := deployment.ModelOf(document.GetName()); ok {
		n.entry.RecordWeightsVersion(model, document.GetNumber(), 0)
		events.WeightsWanted.Log(n.log, zap.String("model", model), zap.Uint64("weights", document.GetNumber()))
		return
	}
	if document.GetName() != deployment.ConfigurationName {
		return
	}
	table, err := n.options.Platform.ParseConfiguration(document.GetContent())
	if err != nil {
		// Control instances have read it before: the two differ in version.
		events.ConfigurationUnreadable.Log(n.log, zap.Uint64("revision", document.GetNumber()), zap.Error(err))
		return
	}
	n.usageServer.SetLimits(n.usageLimits(table))
	n.entry.Configure(table)
}

// randomSeed differs between instances and between two lives of one.
func (n *Node) randomSeed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(n.options.Settings.Instance))
	return h.Sum64() ^ n.boot
}

const (
	// hintInterval is the time between two sendings of hints. Requests of one
	// prompt come some tens of milliseconds apart when it is hot.
	hintInterval = 15 * time.Millisecond
	// cacheReportInterval is the same for an instance for which others choose: it has to report
	// only what engines say that they keep, which comes late anyway.
	cacheReportInterval = 100 * time.Millisecond
	// hintLinkFraction is the part of the machine's link that hints may take, and
	// maxHintBytes a bound in bytes a second where the link is fast: 30 instances
	// of 10 requests a second need some 50 KB/s.
	hintLinkFraction      = 0.05
	maxHintBytesPerSecond = 400_000
	// remotePlacementInterval is the time between two sendings to other zones, and remotePart
	// what of the budget they may take: bytes between zones are dear.
	remotePlacementInterval = 250 * time.Millisecond
	remotePart              = 0.2
	// remoteLoadInterval and remoteLoadsPart are the same for loads, which schedulers of
	// other zones hear of.
	remoteLoadInterval = 100 * time.Millisecond
	remoteLoadsPart    = 0.5
)

// hintBytesPerSecond is what this instance may send of hints in a second.
func (n *Node) hintBytesPerSecond() int {
	link := n.options.Settings.LinkMbps * 1e6 / 8
	return min(maxHintBytesPerSecond, max(gossip.HintBytesPerSecond, int(hintLinkFraction*link)))
}

// collectHints is what has changed since the last call of where this
// instance placed parts of prompts and of what it has at endpoints.
func (n *Node) collectHints() membership.Hints {
	n.scheduleServer.ExpireAttempts()
	placements, loads := n.entry.TakeUpdates()
	var hints membership.Hints
	for _, p := range placements {
		hints.Placements = append(hints.Placements, membership.Placement{Endpoint: p.Endpoint, Block: tables.BlockHash(p.Key), Evicted: p.Evicted})
	}
	for _, l := range loads {
		hints.Loads = append(hints.Loads, membership.Load{
			Endpoint: l.Endpoint, Running: l.Running, CacheTokens: l.MemoryTokens, PrefillTokens: l.PrefillTokens, LinkBusy: l.LinkBusy, AbsentFor: l.AbsentFor,
			Limit: membershipRateLimit(l.Limit),
		})
	}
	n.remotePlacements.Add(membership.Hints{Placements: hints.Placements})
	if len(hints.Loads) > 0 && len(n.schedulers()) > 0 {
		n.remoteLoads.Add(membership.Hints{Loads: hints.Loads})
	}
	return hints
}

// handlePlacement takes what another instance placed.
func (n *Node) handlePlacement(p membership.Placement) {
	if n.entry == nil {
		return
	}
	placed := dispatch.CacheUpdate{Endpoint: p.Endpoint, Key: parts.Key(p.Block), Evicted: p.Evicted}
	if !p.Reported {
		n.entry.ApplyCacheUpdate(placed)
		return
	}
	// All schedulers of the zone get it; one reports to the other zones.
	if n.entry.ApplyCacheEvent(placed) && n.isFirstScheduler() {
		p.Reported = false
		n.remotePlacements.Add(membership.Hints{Placements: []membership.Placement{p}})
	}
}

// handleLoad takes what another instance has at an endpoint.
func (n *Node) handleLoad(l membership.Load) {
	if n.entry != nil {
		n.entry.ApplyLoadReport(l.Instance, dispatch.LoadReport{
			Endpoint: l.Endpoint, Running: l.Running, MemoryTokens: l.CacheTokens, PrefillTokens: l.PrefillTokens, LinkBusy: l.LinkBusy, AbsentFor: l.AbsentFor,
			Limit: dispatchRateLimit(l.Limit),
		})
	}
}

func membershipRateLimit(l *dispatch.RateLimitReport) *membership.RateLimit {
	if l == nil {
		return nil
	}
	return &membership.RateLimit{Limited: l.Limited, PerSecond: l.PerSecond, Age: l.Age}
}

func dispatchRateLimit(l *membership.RateLimit) *dispatch.RateLimitReport {
	if l == nil {
		return nil
	}
	return &dispatch.RateLimitReport{RateLimit: dispatch.RateLimit{Limited: l.Limited, PerSecond: l.PerSecond}, Age: l.Age}
}

// sendHints lets the other instances know of this one's requests.
func (n *Node) sendHints() {
	n.zoneHints.Run(n.lifetime, gossip.HintOptions{
		Period:         hintInterval,
		Pace:           n.hintPace,
		BytesPerSecond: n.hintBytesPerSecond(),
		Collect:        n.collectHints,
		Receivers:      func() int { return n.gossip.Load().HintReceivers() },
		Tell:           func(news membership.Hints) { n.gossip.Load().SendHints(news) },
	})
}

// hintPace is the time between two sendings as the instance's part in the choices asks
// for it: each wakes it up.
func (n *Node) hintPace() time.Duration {
	if n.selectsEndpoints() {
		return hintInterval
	}
	return cacheReportInterval
}

// sendRemotePlacements lets other zones know where this instance placed parts of prompts.
func (n *Node) sendRemotePlacements() {
	n.remotePlacements.Run(n.lifetime, gossip.HintOptions{
		Period:         remotePlacementInterval,
		BytesPerSecond: int(remotePart * float64(n.hintBytesPerSecond())),
		Receivers:      func() int { return 1 },
		Tell:           func(news membership.Hints) { n.gossip.Load().SendToOtherZones(news.Placements) },
	})
}

// remoteLoadPace lets an instance sleep that is no scheduler.
func (n *Node) remoteLoadPace() time.Duration {
	if len(n.schedulers()) > 0 && n.selectsEndpoints() {
		return remoteLoadInterval
	}
	return time.Second
}

// sendRemoteLoads lets the schedulers of other zones know what this instance has at
// endpoints.
func (n *Node) sendRemoteLoads() {
	n.remoteLoads.Run(n.lifetime, gossip.HintOptions{
		Period:         remoteLoadInterval,
		Pace:           n.remoteLoadPace,
		BytesPerSecond: int(remoteLoadsPart * float64(n.hintBytesPerSecond())),
		Receivers:      func() int { return n.gossip.Load().RemoteSchedulers() },
		Tell:           func(news membership.Hints) { n.gossip.Load().SendLoadsToOtherZones(news.Loads) },
	})
}
