package feed

import (
	"context"
	"net/netip"
	"sync"

	"github.com/carawaystile/carawaystile/tables"
)

// target is what a running feed was started for.
type target struct {
	at   netip.AddrPort
	life uint64
	kind tables.EndpointKind
}

type running struct {
	target
	stop context.CancelFunc
}

// PollerGroup holds the feeds of all endpoints of the configuration in force. Its
// methods are safe for concurrent use.
type PollerGroup struct {
	options Options
	ctx     context.Context
	end     context.CancelFunc
	loops   sync.WaitGroup

	mu    sync.Mutex
	feeds map[tables.EndpointID]running
}

// NewPollerGroup returns a group without feeds.
func NewPollerGroup(options Options) *PollerGroup {
	ctx, cancel := context.WithCancel(context.Background())
	return &PollerGroup{
		options: options.withDefaults(),
		ctx:     ctx,
		end:     cancel,
		feeds:   make(map[tables.EndpointID]running),
	}
}

// Reconcile starts feeds for new endpoints, stops those of endpoints that are
// gone and restarts those whose address or life changed. A leaving endpoint is
// read on, because its attempts still run.
func (g *PollerGroup) Reconcile(c *tables.Configuration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctx.Err() != nil {
		return
	}
	wanted := make(map[tables.EndpointID]target, len(c.Endpoints))
	for i := range c.Endpoints {
		e := &c.Endpoints[i]
		if g.options.ShouldPoll == nil || g.options.ShouldPoll(e.ID) {
			wanted[e.ID] = target{at: e.Address, life: e.Life, kind: e.Kind}
		}
	}
	for id, feed := range g.feeds {
		if wanted[id] != feed.target {
			feed.stop()
			delete(g.feeds, id)
		}
	}
	for id, t := range wanted {
		if _, ok := g.feeds[id]; !ok {
			g.start(id, t)
		}
	}
}

func (g *PollerGroup) start(id tables.EndpointID, t target) {
	ctx, cancel := context.WithCancel(g.ctx)
	g.feeds[id] = running{target: t, stop: cancel}
	f := &feed{Options: g.options, id: id, at: t.at}
	if g.options.DeliverBatch == nil {
		g.loops.Go(func() { f.readLoads(ctx) })
	}
	if t.kind == tables.Engine {
		g.loops.Go(func() { f.readChanges(ctx) })
	}
}

// Close stops all feeds and waits for them.
func (g *PollerGroup) Close() {
	g.mu.Lock()
	g.end()
	g.mu.Unlock()
	g.loops.Wait()
}
