package node

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/engine/feed"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/internal/wait"
	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// cachePollInterval is the least time between two questions for what an engine has
	// kept and dropped: its news come some 100 ms late anyway, and each answer
	// costs processor time.
	cachePollInterval = 200 * time.Millisecond
	// cacheLongPollTimeout is how long an engine may hold such a question back.
	cacheLongPollTimeout = time.Second
	// cacheMaxBackOff bounds the wait between questions that fail.
	cacheMaxBackOff = 2 * time.Second
	// cacheSyncDelay is how long an instance that has just started waits before it
	// reads the engines of its zone, and remoteCache before it reads those of zones
	// without an entry instance: until it knows of the others it would take all for
	// its own, and each list of what an engine keeps holds up the engine's work. The
	// others are known some 0.3 s after a start.
	cacheSyncDelay      = 400 * time.Millisecond
	remoteZoneSyncDelay = 3 * time.Second
	// readerAssignInterval is the time between two looks at which engines to read.
	readerAssignInterval = 500 * time.Millisecond
	// holdingsFetchAttempts is how often an instance that has just started asks others for
	// what engines keep, and holdingsPause the time between two tries. After a
	// restart of all instances none of them knows at first.
	holdingsFetchAttempts = 8
	holdingsFetchInterval = 150 * time.Millisecond
	// holdingsTimeout bounds one call to another instance.
	holdingsTimeout = 500 * time.Millisecond
	// maxReportedKeys bounds the parts of one endpoint in a report to others: 8 KB.
	maxReportedKeys = 1024
)

// cacheSync reads what engines and stores keep of prompts. Each is read by one entry
// instance of its zone, which lets the others know: an engine takes few readers.
//
// Without it an instance knows where prompts are only by the requests that it has
// seen. After a restart of all entry instances every prompt was read once more,
// though the engines still had it, and callers of long prompts waited for that.
type cacheSync struct {
	node  *Node
	feeds *feed.Group

	mu        sync.Mutex
	inventory cacheInventory
	// informedPeers are the instances that know of kept, where schedulers choose.
	informedPeers map[netip.AddrPort]bool
}

// startCacheSync begins to read what engines keep.
func (n *Node) startCacheSync() {
	if n.options.Platform.CacheReporter == nil {
		return
	}
	c := &cacheSync{node: n}
	c.feeds = feed.NewGroup(feed.Options{
		Reporter:   n.options.Platform.CacheReporter,
		Batch:      c.handleBatch,
		EventWait:  cacheLongPollTimeout,
		EventPause: cachePollInterval,
		MaxBackOff: cacheMaxBackOff,
		Log:        n.log,
	})
	n.background.Go(func() {
		defer c.feeds.Close()
		c.run(n.lifetime)
	})
}

// run learns what others know and then reads this instance's share of engines.
func (c *cacheSync) run(ctx context.Context) {
	if !c.node.entry.WaitInitialized(ctx) {
		return
	}
	c.node.background.Go(func() { c.fetchHoldings(ctx) })
	for pause := cacheSyncDelay; wait.For(ctx, pause) == nil; pause = readerAssignInterval {
		c.assignReaders()
	}
}

// assignReaders reads the engines and stores that this instance has to read now.
func (c *cacheSync) assignReaders() {
	own := c.node.options.Settings
	readers := newReaderSelector(c.node.liveEntryMembers())
	var assigned tables.Configuration
	remote := c.node.now() > remoteZoneSyncDelay
	for id, e := range c.node.entry.Endpoints() {
		if len(e.Weights) == 0 && !e.IsKVStore {
			continue // a plain service
		}
		if e.Zone != own.Zone && (!remote || readers.hasZone(e.Zone)) {
			continue
		}
		if readers.readerOf(id, e.Zone) == own.Instance {
			assigned.Endpoints = append(assigned.Endpoints, tables.Endpoint{ID: id, Address: e.Address, Life: uint64(e.StartUnixMilli), Kind: tables.Engine})
		}
	}
	c.feeds.Configure(&assigned)
	c.mu.Lock()
	c.inventory.retain(func(id tables.EndpointID) bool {
		return slices.ContainsFunc(assigned.Endpoints, func(e tables.Endpoint) bool { return e.ID == id })
	})
	c.mu.Unlock()
	c.sendToNewPeers()
}

// sendToNewPeers sends what endpoints keep to instances that choose now and did not before.
func (c *cacheSync) sendToNewPeers() {
	if len(c.node.schedulers()) == 0 {
		return
	}
	peers := c.node.cacheReportReceivers()
	c.mu.Lock()
	defer c.mu.Unlock()
	informed := map[netip.AddrPort]bool{}
	var holdings []dispatch.EndpointCache
	for _, at := range peers {
		informed[at] = true
		if !c.informedPeers[at] {
			if holdings == nil {
				holdings = c.inventory.holdings()
			}
			c.sendHoldings(at, holdings)
		}
	}
	c.informedPeers = informed
}

// handleBatch takes an endpoint's news. What is reported first of a life is everything it
// keeps, and goes to the others at once.
func (c *cacheSync) handleBatch(b feed.Batch) {
	stored, dropped := netChanges(b)
	c.mu.Lock()
	c.inventory.apply(b.Endpoint, stored, dropped, b.First)
	c.mu.Unlock()
	if !b.First && !c.node.selectsEndpoints() {
		c.reportToSchedulers(b.Endpoint, stored, dropped)
		return
	}
	c.node.entry.RecordCacheEvents(b.Endpoint, stored, dropped, b.First)
	if !b.First {
		return
	}
	events.CacheRead.Log(c.node.log, zap.String("endpoint", string(b.Endpoint)), zap.String("boot", string(b.Boot)),
		zap.Int("changes", len(b.Changes)), zap.Int("kept", len(stored)))
	if len(stored) == 0 {
		return
	}
	held := []dispatch.EndpointCache{{Endpoint: b.Endpoint, Keys: stored[max(0, len(stored)-maxReportedKeys):]}}
	for _, at := range c.node.cacheReportReceivers() {
		c.sendHoldings(at, held)
	}
}

// reportToSchedulers passes what an endpoint says on to those that choose. This instance receives no
// placements, so it does not know which parts are shared.
func (c *cacheSync) reportToSchedulers(id tables.EndpointID, kept, dropped []parts.Key) {
	var hints membership.Hints
	for _, key := range kept {
		hints.Placements = append(hints.Placements, membership.Placement{Endpoint: id, Block: tables.BlockHash(key), Reported: true})
	}
	for _, key := range dropped {
		hints.Placements = append(hints.Placements, membership.Placement{Endpoint: id, Block: tables.BlockHash(key), Evicted: true, Reported: true})
	}
	c.node.zoneHints.Add(hints)
}

// netChanges is what a batch comes to: a part that was kept and dropped within it is
// dropped.
func netChanges(b feed.Batch) (kept, dropped []parts.Key) {
	last := map[parts.Key]bool{}
	var order []parts.Key
	note := func(blocks []tables.BlockHash, stored bool) {
		for _, block := range blocks {
			key := parts.Key(block)
			if _, known := last[key]; !known {
				order = append(order, key)
			}
			last[key] = stored
		}
	}
	for _, change := range b.Changes {
		note(change.Stored, true)
		note(change.Evicted, false)
	}
	for _, key := range order {
		if last[key] {
			kept = append(kept, key)
		} else {
			dropped = append(dropped, key)
		}
	}
	return kept, dropped
}

// sendHoldings lets another instance know what endpoints keep. It does not wait for it. One that
// could not be reached gets everything at the next look.
func (c *cacheSync) sendHoldings(at netip.AddrPort, holdings []dispatch.EndpointCache) {
	if len(holdings) == 0 {
		return
	}
	message := &rpc.Holdings{}
	for _, one := range holdings {
		message.Holdings = append(message.Holdings, encodeHolding(one))
	}
	c.node.background.Go(func() {
		ctx, cancel := context.WithTimeout(c.node.lifetime, holdingsTimeout)
		defer cancel()
		if _, err := c.client(at).Hold(ctx, message); err != nil {
			events.CacheNotShared.Log(c.node.log, zap.Stringer("with", at), zap.Int("endpoints", len(holdings)), zap.Error(err))
			c.mu.Lock()
			delete(c.informedPeers, at)
			c.mu.Unlock()
		}
	})
}

// fetchHoldings learns from another instance where parts are. It asks several times: right
// after a start the others are not known yet, or have just started too.
func (c *cacheSync) fetchHoldings(ctx context.Context) {
	for try := range holdingsFetchAttempts {
		if peers := c.node.cacheReportReceivers(); len(peers) > 0 {
			at := peers[(int(c.node.boot)+try)%len(peers)]
			if c.fetchHoldingsFrom(ctx, at) {
				return
			}
		}
		if wait.For(ctx, holdingsFetchInterval) != nil {
			return
		}
	}
}

// fetchHoldingsFrom asks one instance and says whether it knew anything.
func (c *cacheSync) fetchHoldingsFrom(ctx context.Context, at netip.AddrPort) bool {
	bounded, cancel := context.WithTimeout(ctx, holdingsTimeout)
	defer cancel()
	holdings, err := c.client(at).TellHoldings(bounded, &rpc.HoldingsRequest{})
	if err != nil {
		events.CacheNotShared.Log(c.node.log, zap.Stringer("with", at), zap.Error(err))
		return false
	}
	c.node.hold(holdings)
	events.CacheLearned.Log(c.node.log, zap.Stringer("from", at), zap.Int("endpoints", len(holdings.GetHoldings())))
	return len(holdings.GetHoldings()) > 0
}

func (c *cacheSync) client(at netip.AddrPort) rpc.CacheKnowledge {
	return rpc.NewCacheKnowledgeProtobufClient("http://"+at.String(), c.node.client)
}

// hold takes over what another instance knows.
func (n *Node) hold(holdings *rpc.Holdings) {
	for _, h := range holdings.GetHoldings() {
		keys := make([]parts.Key, 0, len(h.GetParts()))
		for _, key := range h.GetParts() {
			keys = append(keys, parts.Key(key))
		}
		n.entry.RecordCacheEvents(tables.EndpointID(h.GetEndpoint()), keys, nil, true)
	}
}

func encodeHolding(h dispatch.EndpointCache) *rpc.Holding {
	holding := &rpc.Holding{Endpoint: string(h.Endpoint)}
	for _, key := range h.Keys {
		holding.Parts = append(holding.Parts, uint64(key))
	}
	return holding
}

// cacheKnowledgeServer serves what this instance knows. It implements rpc.CacheKnowledge.
type cacheKnowledgeServer struct{ node *Node }

// Hold takes what another instance has read of an endpoint.
func (s cacheKnowledgeServer) Hold(_ context.Context, holdings *rpc.Holdings) (*rpc.HoldAnswer, error) {
	s.node.hold(holdings)
	return &rpc.HoldAnswer{}, nil
}

// TellHoldings returns all that is believed.
func (s cacheKnowledgeServer) TellHoldings(context.Context, *rpc.HoldingsRequest) (*rpc.Holdings, error) {
	holdings := &rpc.Holdings{}
	for _, h := range s.node.entry.EndpointCaches() {
		holdings.Holdings = append(holdings.Holdings, encodeHolding(h))
	}
	return holdings, nil
}
