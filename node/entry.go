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
	"github.com/carawaystile/carawaystile/forward"
	"github.com/carawaystile/carawaystile/internal/keepalive"
	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/peers"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/schedule"
	"github.com/carawaystile/carawaystile/settings"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// bufferMemoryDivisor is the inverse of the fraction of an instance's memory that request headers and
// bodies, responses, streams and relayed connections may occupy together.
const bufferMemoryDivisor = 4

// startEntry starts the entry role: the proxy with its scheduler and rate limiter, the client
// that follows control instances, and the listeners for callers and readiness probes.
func (n *Node) startEntry() error {
	s, p := n.options.Settings, n.options.Platform
	client := exchange.NewClient(exchange.Options{Headers: p.Headers, Dial: n.dial})
	n.background.Go(func() { client.Run(n.lifetime) })
	n.startRelayClient()
	n.suspects = peers.NewBroadcaster(n.sendSuspects, n.suspectsDropped)
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
			Capacity:            n.capacityOptions(),
			Predecessor:         dispatch.PredecessorEnded(0),
		},
		Registry:       n.registry,
		Log:            n.log,
		Now:            n.now,
		BootID:         n.bootID(),
		DrainDelay:     s.Drain.Announce,
		Buffers:        n.buffers,
		ShareSuspects:  n.broadcastSuspects,
		Scheduler:      n.newScheduleClient(),
		RateLimiter:    n.newUsageClient(),
		UsageTolerance: n.usageTolerance(),
		Permits:        n.newPermitClient(),
		Relay:          n.relayDialer,
		StreamOrigins:  n.newStreamOrigins(),
		TargetWeights:  n.newTargetWeights(),
		StartupWait:    n.startsFast(),
		Context:        n.lifetime,
	})
	n.background.Go(func() { n.streamOrigins.Run(n.lifetime) })
	n.startRelayServer()
	n.registerSizeGauges()
	n.scheduleServer = schedule.NewServer(n.entry, n.now)
	n.processes = processRecord{}
	n.deploymentClient = deployment.NewClient(deployment.ClientOptions{
		Instance:   string(s.Instance),
		Sources:    n.controlSources,
		OnDocument: n.applyDocument,
		OnWeightVersion: func(named *rpc.WeightsNamed) {
			n.entry.RecordWeightsVersion(named.GetModel(), named.GetVersion(), time.Duration(named.GetAgeNanos()))
		},
		OnEndpoints: n.setEndpoints,
		OnAnswer: func(_ deployment.Source, answer *rpc.FollowAnswer) {
			if !answer.GetBehind() {
				n.entry.RecordControlSync(time.Duration(answer.GetLagNanos()))
			}
			if answer.ListAgeNanos != nil {
				n.entry.RecordListAge(time.Duration(answer.GetListAgeNanos()))
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
	n.callerConnections = n.newConnections("callers", callerShare, n.callerLimits)
	n.callerServer = &http.Server{Handler: n.entry, ConnContext: forward.WithConn}
	callers, err := n.listen(s.Listen.Callers, keepalive.Clients)
	if err != nil {
		return err
	}
	n.serveListener(n.callerServer, callers, n.callerConnections)
	ready := http.NewServeMux()
	ready.HandleFunc("/", n.entry.ServeReady)
	return n.serve(&http.Server{Handler: n.limitBodies(ready, emptyBodyBytes)}, s.Listen.Ready, keepalive.Clients,
		n.newConnections("ready", serviceShare, headerLimits))
}

// capacityOptions returns the configured decisions for contended services.
func (n *Node) capacityOptions() dispatch.CapacityOptions {
	s := n.options.Settings.Capacity
	return dispatch.CapacityOptions{
		Admission: capacitySwitches[s.Admission], StreamPauses: capacitySwitches[s.StreamPauses], Backups: capacitySwitches[s.Backups],
		Eviction:  capacitySwitches[s.Eviction],
		Contended: n.options.Platform.Contended,
	}
}

// startsFast reports whether settings.ForwardingCapacity.Startup is on. Unlike the other decisions it does
// not depend on what endpoints report, which an instance that starts does not know.
func (n *Node) startsFast() bool {
	return capacitySwitches[n.options.Settings.Capacity.Startup].Enabled(n.options.Platform.Contended)
}

var capacitySwitches = map[settings.CapacitySwitch]dispatch.Switch{
	settings.CapacityOff: dispatch.Off, settings.CapacityAuto: dispatch.Auto, settings.CapacityOn: dispatch.On,
}

// applyDocument applies a newer document of operators: a configuration or the target version
// of a model's weights.
func (n *Node) applyDocument(document *rpc.Document) {
	if model, ok := deployment.ModelOfWeightsDocument(document.GetName()); ok {
		n.entry.RecordWeightsVersion(model, document.GetNumber(), 0)
		events.WeightsWanted.Log(n.log, zap.String("model", model), zap.Uint64("weights", document.GetNumber()))
		return
	}
	if document.GetName() == deployment.SizeDocument {
		n.applySize(document)
		return
	}
	if document.GetName() != deployment.ConfigurationDocument {
		return
	}
	table, err := n.options.Platform.ParseConfiguration(document.GetContent())
	if err != nil {
		// A control instance has validated the document, so its software version differs.
		events.ConfigurationUnreadable.Log(n.log, zap.Uint64("revision", document.GetNumber()), zap.Error(err))
		return
	}
	table.CachePool = document.GetCachePool()
	n.usageServer.SetLimits(n.usageLimits(table))
	n.entry.Configure(table)
}

// randomSeed returns a seed that differs between instances and between starts of one instance.
func (n *Node) randomSeed() uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(n.options.Settings.Instance))
	return h.Sum64() ^ n.boot
}

const (
	// hintInterval is the minimum interval between two sends of hints. Requests of a
	// frequently used prompt arrive some tens of milliseconds apart.
	hintInterval = 15 * time.Millisecond
	// cacheReportInterval is the interval for an instance whose endpoints schedulers select:
	// it only reports the cache events of engines, which are late anyway.
	cacheReportInterval = 100 * time.Millisecond
	// hintLinkFraction is the fraction of the machine's network bandwidth that hints may use,
	// and maxHintBytesPerSecond an upper bound for fast links: 30 instances of 10 requests a
	// second need some 50 KB/s.
	hintLinkFraction      = 0.05
	maxHintBytesPerSecond = 400_000
	// remotePlacementInterval is the interval between two sends of placements to other zones,
	// and remotePlacementFraction their fraction of the hint bandwidth. Traffic between zones
	// is expensive.
	remotePlacementInterval = 250 * time.Millisecond
	remotePlacementFraction = 0.2
	// remoteLoadInterval and remoteLoadFraction are the same for load reports to the
	// schedulers of other zones.
	remoteLoadInterval = 100 * time.Millisecond
	remoteLoadFraction = 0.5
)

// hintBytesPerSecond returns the bandwidth budget for the hints that this instance sends.
func (n *Node) hintBytesPerSecond() int {
	link := n.options.Settings.LinkMbps * 1e6 / 8
	return min(maxHintBytesPerSecond, max(gossip.DefaultHintBytesPerSecond, int(hintLinkFraction*link)))
}

// collectHints returns the changes since the last call: the parts of prompts that this
// instance placed at endpoints, and its load at endpoints.
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
			Limit: membershipRateLimit(l.Limit), Notice: membershipNotice(l.Notice),
			SlowdownPercent: l.SlowdownPercent, SlowdownAge: l.SlowdownAge, Streams: l.Streams,
		})
	}
	n.remotePlacements.Add(membership.Hints{Placements: hints.Placements})
	if len(hints.Loads) > 0 && len(n.schedulers()) > 0 {
		n.remoteLoads.Add(membership.Hints{Loads: hints.Loads})
	}
	return hints
}

// handlePlacement applies a placement or a cache event that another instance has sent.
func (n *Node) handlePlacement(p membership.Placement) {
	if n.entry == nil {
		return
	}
	update := dispatch.CacheUpdate{Endpoint: p.Endpoint, Key: parts.Key(p.Block), Evicted: p.Evicted}
	if !p.Reported {
		n.entry.ApplyCacheUpdate(update)
		return
	}
	// All schedulers of the zone receive the event; only the first forwards it to other zones.
	if n.entry.ApplyCacheEvent(update) && n.isFirstScheduler() {
		p.Reported = false
		n.remotePlacements.Add(membership.Hints{Placements: []membership.Placement{p}})
	}
}

// handleLoad applies the load that another instance has at an endpoint.
func (n *Node) handleLoad(l membership.Load) {
	if n.entry != nil {
		n.entry.ApplyLoadReport(l.Instance, dispatch.LoadReport{
			Endpoint: l.Endpoint, Running: l.Running, MemoryTokens: l.CacheTokens, PrefillTokens: l.PrefillTokens, LinkBusy: l.LinkBusy, AbsentFor: l.AbsentFor,
			Limit: dispatchRateLimit(l.Limit), Notice: dispatchNotice(l.Notice),
			SlowdownPercent: l.SlowdownPercent, SlowdownAge: l.SlowdownAge, Streams: l.Streams,
		})
	}
}

// membershipRateLimit converts an endpoint's rate limit for sending; nil stays nil.
func membershipRateLimit(l *dispatch.RateLimitReport) *membership.RateLimit {
	if l == nil {
		return nil
	}
	return &membership.RateLimit{Limited: l.Limited, PerSecond: l.PerSecond, Age: l.Age}
}

// membershipNotice converts an endpoint's notice for sending; nil stays nil.
func membershipNotice(n *dispatch.Notice) *membership.EndpointNotice {
	if n == nil {
		return nil
	}
	converted := &membership.EndpointNotice{StartUnixMilli: n.StartUnixMilli, Draining: n.Draining, PushbackFor: n.PushbackFor}
	if b := n.Brittleness; b != nil {
		converted.Brittleness = &membership.EndpointBrittleness{Brittle: b.Brittle, Rejections: b.Rejections, Age: b.Age}
	}
	return converted
}

// dispatchNotice converts a received notice of an endpoint; nil stays nil.
func dispatchNotice(n *membership.EndpointNotice) *dispatch.Notice {
	if n == nil {
		return nil
	}
	converted := &dispatch.Notice{StartUnixMilli: n.StartUnixMilli, Draining: n.Draining, PushbackFor: n.PushbackFor}
	if b := n.Brittleness; b != nil {
		converted.Brittleness = &dispatch.BrittlenessReport{Brittleness: dispatch.Brittleness{Brittle: b.Brittle, Rejections: b.Rejections}, Age: b.Age}
	}
	return converted
}

// dispatchRateLimit converts a received rate limit of an endpoint; nil stays nil.
func dispatchRateLimit(l *membership.RateLimit) *dispatch.RateLimitReport {
	if l == nil {
		return nil
	}
	return &dispatch.RateLimitReport{RateLimit: dispatch.RateLimit{Limited: l.Limited, PerSecond: l.PerSecond}, Age: l.Age}
}

// sendHints gossips this instance's placements and loads until the instance stops.
func (n *Node) sendHints() {
	n.zoneHints.Run(n.lifetime, gossip.HintSenderOptions{
		Interval:       hintInterval,
		NextInterval:   n.hintPace,
		BytesPerSecond: n.hintBytesPerSecond(),
		Collect:        n.collectHints,
		ReceiverCount:  func() int { return n.gossip.Load().HintReceiverCount() },
		Send:           func(hints membership.Hints) { n.gossip.Load().SendHints(hints) },
	})
}

// hintPace returns the current interval between two sends of hints. It is longer for an
// instance that selects no endpoints, because each send wakes the process up.
func (n *Node) hintPace() time.Duration {
	if n.selectsEndpoints() {
		return hintInterval
	}
	return cacheReportInterval
}

// sendRemotePlacements sends placements to other zones until the instance stops.
func (n *Node) sendRemotePlacements() {
	n.remotePlacements.Run(n.lifetime, gossip.HintSenderOptions{
		Interval:       remotePlacementInterval,
		BytesPerSecond: int(remotePlacementFraction * float64(n.hintBytesPerSecond())),
		ReceiverCount:  func() int { return 1 },
		Send:           func(hints membership.Hints) { n.gossip.Load().SendPlacementsToOtherZones(hints.Placements) },
	})
}

// remoteLoadPace returns the current interval between two sends of loads to other zones. It is
// one second for an instance that has none to send because it is no scheduler.
func (n *Node) remoteLoadPace() time.Duration {
	if len(n.schedulers()) > 0 && n.selectsEndpoints() {
		return remoteLoadInterval
	}
	return time.Second
}

// sendRemoteLoads sends this instance's load at endpoints to the schedulers of other zones
// until the instance stops.
func (n *Node) sendRemoteLoads() {
	n.remoteLoads.Run(n.lifetime, gossip.HintSenderOptions{
		Interval:       remoteLoadInterval,
		NextInterval:   n.remoteLoadPace,
		BytesPerSecond: int(remoteLoadFraction * float64(n.hintBytesPerSecond())),
		ReceiverCount:  func() int { return n.gossip.Load().RemoteSchedulerCount() },
		Send:           func(hints membership.Hints) { n.gossip.Load().SendLoadsToOtherZones(hints.Loads) },
	})
}
