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
	// cachePollInterval is the minimum time between two polls of an engine for its cache
	// events. The events arrive some 100 ms late anyway, and each response costs processor
	// time.
	cachePollInterval = 200 * time.Millisecond
	// cacheLongPollTimeout is the maximum time for which an engine delays the response of a
	// poll without events.
	cacheLongPollTimeout = time.Second
	// cacheMaxBackOff bounds the delay between failed polls.
	cacheMaxBackOff = 2 * time.Second
	// cacheSyncDelay is the delay after a start before the instance polls engines of its zone,
	// and remoteZoneSyncDelay before it polls those of zones without an entry instance. Until
	// it knows the other entry instances it would assign all engines to itself, and each full
	// listing of a cache delays the engine's work. The others are known some 0.3 s after a
	// start.
	cacheSyncDelay      = 400 * time.Millisecond
	remoteZoneSyncDelay = 3 * time.Second
	// readerAssignInterval is the interval at which engines are assigned to their readers.
	readerAssignInterval = 500 * time.Millisecond
	// holdingsFetchAttempts is the maximum number of attempts of a started instance to fetch
	// the cache contents from others, and holdingsFetchInterval the time between two of them.
	// After a restart of all instances, none of them has contents at first.
	holdingsFetchAttempts = 8
	holdingsFetchInterval = 150 * time.Millisecond
	// holdingsTimeout bounds one call to another instance.
	holdingsTimeout = 500 * time.Millisecond
	// maxReportedKeys bounds the keys per endpoint in a report to other instances: 8 KB.
	maxReportedKeys = 1024
)

// cacheSync follows the cache events of engines and of KV cache stores. Since an engine serves
// few readers, one entry instance per engine polls it, normally one of its zone, and reports
// the contents to the instances that select endpoints.
//
// The requests that an instance has seen are not enough to know the caches: after a restart of
// all entry instances every prompt was computed once more although the engines still had it in
// their caches, and callers of long prompts waited for that.
type cacheSync struct {
	node  *Node
	feeds *feed.PollerGroup

	mu        sync.Mutex
	inventory cacheInventory
	// informedPeers holds the schedulers of all zones that have been sent the inventory. It is
	// used only while this instance's zone has schedulers.
	informedPeers map[netip.AddrPort]bool
	// weights is used by the goroutine that assigns readers only.
	weights readerWeights
}

// startCacheSync starts to follow the caches of engines, if the platform reports them.
func (n *Node) startCacheSync() {
	if n.options.Platform.CacheReporter == nil {
		return
	}
	c := &cacheSync{node: n}
	c.feeds = feed.NewPollerGroup(feed.Options{
		Reporter:         n.options.Platform.CacheReporter,
		DeliverBatch:     c.handleBatch,
		LongPollTimeout:  cacheLongPollTimeout,
		MinEventInterval: cachePollInterval,
		MaxBackoff:       cacheMaxBackOff,
		OnPushback:       n.entry.RecordCallPushback,
		OnDraining:       n.entry.RecordCallDraining,
		PausedFor:        n.entry.PausedFor,
		Log:              n.log,
	})
	n.background.Go(func() {
		defer c.feeds.Close()
		c.run(n.lifetime)
	})
}

// run fetches the cache contents that other instances know, and follows the engines that are
// assigned to this instance, until the context ends.
func (c *cacheSync) run(ctx context.Context) {
	if !c.node.entry.WaitInitialized(ctx) {
		return
	}
	c.node.background.Go(func() { c.fetchHoldings(ctx) })
	for err := c.node.awaitMembers(ctx, cacheSyncDelay); err == nil; err = wait.For(ctx, readerAssignInterval) {
		c.assignReaders()
	}
}

// assignReaders configures the feeds for the engines and stores that this instance has to read
// at present.
func (c *cacheSync) assignReaders() {
	own := c.node.options.Settings
	selector := c.readerSelection()
	var assigned tables.Configuration
	remote := c.node.now() > remoteZoneSyncDelay
	for id, e := range c.node.entry.Endpoints() {
		if len(e.Weights) == 0 && !e.IsKVStore {
			continue // an endpoint of a plain service has no cache
		}
		if e.Zone != own.Zone && (!remote || selector.hasZone(e.Zone)) {
			continue
		}
		if selector.readerOf(id, e.Zone) == own.Instance {
			assigned.Endpoints = append(assigned.Endpoints, tables.Endpoint{ID: id, Address: e.Address, Life: uint64(e.StartUnixMilli), Kind: tables.Engine})
		}
	}
	c.node.sizes.readEndpoints.Store(int64(len(assigned.Endpoints)))
	c.feeds.Reconcile(&assigned)
	c.mu.Lock()
	c.inventory.retain(func(id tables.EndpointID) bool {
		return slices.ContainsFunc(assigned.Endpoints, func(e tables.Endpoint) bool { return e.ID == id })
	})
	c.mu.Unlock()
	c.sendToNewPeers()
}

// sendToNewPeers sends the inventory to the instances that have become receivers of cache
// reports since the last call.
func (c *cacheSync) sendToNewPeers() {
	if len(c.node.schedulers()) == 0 {
		return
	}
	peers := c.node.cacheReportReceivers()
	c.mu.Lock()
	defer c.mu.Unlock()
	receivers := map[netip.AddrPort]bool{}
	var holdings []dispatch.EndpointCache
	for _, at := range peers {
		receivers[at] = true
		if !c.informedPeers[at] {
			if holdings == nil {
				holdings = c.inventory.holdings()
			}
			c.sendHoldings(at, holdings)
		}
	}
	c.informedPeers = receivers
}

// handleBatch handles the changes of an endpoint's cache. The first batch of an incarnation
// lists the whole cache and is sent to the receivers of cache reports at once.
func (c *cacheSync) handleBatch(b feed.CacheBatch) {
	stored, evicted := netChanges(b)
	c.mu.Lock()
	c.inventory.apply(b.Endpoint, stored, evicted, b.FirstOfBoot)
	c.mu.Unlock()
	if !b.FirstOfBoot && !c.node.selectsEndpoints() {
		c.reportToSchedulers(b.Endpoint, stored, evicted)
		return
	}
	c.node.entry.RecordCacheEvents(b.Endpoint, stored, evicted, b.FirstOfBoot)
	if !b.FirstOfBoot {
		return
	}
	events.CacheRead.Log(c.node.log, zap.String("endpoint", string(b.Endpoint)), zap.String("boot", string(b.Boot)),
		zap.Int("changes", len(b.Changes)), zap.Int("kept", len(stored)))
	if len(stored) == 0 {
		return
	}
	holdings := []dispatch.EndpointCache{{Endpoint: b.Endpoint, Keys: stored[max(0, len(stored)-maxReportedKeys):]}}
	for _, at := range c.node.cacheReportReceivers() {
		c.sendHoldings(at, holdings)
	}
}

// reportToSchedulers gossips cache changes to the schedulers. It cannot leave out parts that
// are not shared, since an instance that is no scheduler receives no placements.
func (c *cacheSync) reportToSchedulers(id tables.EndpointID, stored, evicted []parts.Key) {
	var hints membership.Hints
	for _, key := range stored {
		hints.Placements = append(hints.Placements, membership.Placement{Endpoint: id, Block: tables.BlockHash(key), Reported: true})
	}
	for _, key := range evicted {
		hints.Placements = append(hints.Placements, membership.Placement{Endpoint: id, Block: tables.BlockHash(key), Evicted: true, Reported: true})
	}
	c.node.zoneHints.Add(hints)
}

// netChanges compacts a batch to the last state of each part: a part that is stored and
// evicted within the batch counts as evicted.
func netChanges(b feed.CacheBatch) (stored, evicted []parts.Key) {
	last := map[parts.Key]bool{}
	var order []parts.Key
	record := func(blocks []tables.BlockHash, present bool) {
		for _, block := range blocks {
			key := parts.Key(block)
			if _, known := last[key]; !known {
				order = append(order, key)
			}
			last[key] = present
		}
	}
	for _, change := range b.Changes {
		record(change.Stored, true)
		record(change.Evicted, false)
	}
	for _, key := range order {
		if last[key] {
			stored = append(stored, key)
		} else {
			evicted = append(evicted, key)
		}
	}
	return stored, evicted
}

// sendHoldings sends cache contents to another instance in the background. If that fails and
// the zone has schedulers, sendToNewPeers sends the whole inventory at the next assignment of
// readers.
func (c *cacheSync) sendHoldings(at netip.AddrPort, holdings []dispatch.EndpointCache) {
	if len(holdings) == 0 {
		return
	}
	message := &rpc.Holdings{}
	for _, contents := range holdings {
		message.Holdings = append(message.Holdings, encodeHolding(contents))
	}
	c.node.background.Go(func() {
		ctx, cancel := context.WithTimeout(c.node.lifetime, holdingsTimeout)
		defer cancel()
		if _, err := c.client(at).Hold(ctx, message); err != nil {
			events.CacheSyncFailed.Log(c.node.log, zap.Stringer("with", at), zap.Int("endpoints", len(holdings)), zap.Error(err))
			c.mu.Lock()
			delete(c.informedPeers, at)
			c.mu.Unlock()
		}
	})
}

// fetchHoldings fetches the cache contents from another instance. It retries, because right
// after a start the other instances are unknown or have just started too.
func (c *cacheSync) fetchHoldings(ctx context.Context) {
	for attempt := range holdingsFetchAttempts {
		if peers := c.node.cacheReportReceivers(); len(peers) > 0 {
			at := peers[(int(c.node.boot)+attempt)%len(peers)]
			if c.fetchHoldingsFrom(ctx, at) {
				return
			}
		}
		if wait.For(ctx, holdingsFetchInterval) != nil {
			return
		}
	}
}

// fetchHoldingsFrom fetches the cache contents from one instance, and reports whether that
// instance had any.
func (c *cacheSync) fetchHoldingsFrom(ctx context.Context, at netip.AddrPort) bool {
	bounded, cancel := context.WithTimeout(ctx, holdingsTimeout)
	defer cancel()
	holdings, err := c.client(at).TellHoldings(bounded, &rpc.HoldingsRequest{})
	if err != nil {
		events.CacheSyncFailed.Log(c.node.log, zap.Stringer("with", at), zap.Error(err))
		return false
	}
	c.node.applyHoldings(holdings)
	events.CacheLearned.Log(c.node.log, zap.Stringer("from", at), zap.Int("endpoints", len(holdings.GetHoldings())))
	return len(holdings.GetHoldings()) > 0
}

// client returns a client for the cache service of another instance.
func (c *cacheSync) client(at netip.AddrPort) rpc.CacheKnowledge {
	return rpc.NewCacheKnowledgeProtobufClient("http://"+at.String(), c.node.client)
}

// applyHoldings records the cache contents of endpoints that another instance has reported,
// including parts that this instance did not know.
func (n *Node) applyHoldings(holdings *rpc.Holdings) {
	for _, h := range holdings.GetHoldings() {
		keys := make([]parts.Key, 0, len(h.GetParts()))
		for _, key := range h.GetParts() {
			keys = append(keys, parts.Key(key))
		}
		n.entry.RecordCacheEvents(tables.EndpointID(h.GetEndpoint()), keys, nil, true)
	}
}

// encodeHolding returns the message for the cache contents of one endpoint.
func encodeHolding(h dispatch.EndpointCache) *rpc.Holding {
	holding := &rpc.Holding{Endpoint: string(h.Endpoint)}
	for _, key := range h.Keys {
		holding.Parts = append(holding.Parts, uint64(key))
	}
	return holding
}

// cacheKnowledgeServer serves and receives cache contents. It implements rpc.CacheKnowledge.
type cacheKnowledgeServer struct{ node *Node }

// Hold applies cache contents that another instance has read from endpoints.
func (s cacheKnowledgeServer) Hold(_ context.Context, holdings *rpc.Holdings) (*rpc.HoldAnswer, error) {
	s.node.applyHoldings(holdings)
	return &rpc.HoldAnswer{}, nil
}

// TellHoldings returns the presumed cache contents of all endpoints.
func (s cacheKnowledgeServer) TellHoldings(context.Context, *rpc.HoldingsRequest) (*rpc.Holdings, error) {
	holdings := &rpc.Holdings{}
	for _, h := range s.node.entry.EndpointCaches() {
		holdings.Holdings = append(holdings.Holdings, encodeHolding(h))
	}
	return holdings, nil
}
