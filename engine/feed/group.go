package feed

import (
	"context"
	"net/netip"
	"sync"

	"github.com/carawaystile/carawaystile/tables"
)

// target identifies the process that a poller reads. A change of it restarts the poller.
type target struct {
	at   netip.AddrPort
	life uint64
	kind tables.EndpointKind
}

// runningPoller is the target of a poller with the function that stops it.
type runningPoller struct {
	target
	stop context.CancelFunc
}

// PollerGroup runs the pollers of all endpoints of the current configuration. Its methods
// are safe for concurrent use.
type PollerGroup struct {
	options    Options
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu      sync.Mutex
	pollers map[tables.EndpointID]runningPoller
}

// NewPollerGroup returns a group without pollers.
func NewPollerGroup(options Options) *PollerGroup {
	ctx, cancel := context.WithCancel(context.Background())
	return &PollerGroup{
		options: options.withDefaults(),
		ctx:     ctx,
		cancel:  cancel,
		pollers: make(map[tables.EndpointID]runningPoller),
	}
}

// Reconcile starts pollers for new endpoints, stops those of removed endpoints, and
// restarts those whose address, life or kind changed. It keeps polling an endpoint that
// is leaving, because its attempts still run.
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
	for id, current := range g.pollers {
		if wanted[id] != current.target {
			current.stop()
			delete(g.pollers, id)
		}
	}
	for id, t := range wanted {
		if _, ok := g.pollers[id]; !ok {
			g.start(id, t)
		}
	}
}

func (g *PollerGroup) start(id tables.EndpointID, t target) {
	ctx, cancel := context.WithCancel(g.ctx)
	g.pollers[id] = runningPoller{target: t, stop: cancel}
	p := &poller{Options: g.options, id: id, at: t.at}
	if g.options.DeliverBatch == nil {
		g.goroutines.Go(func() { p.pollLoads(ctx) })
	}
	if t.kind == tables.Engine {
		g.goroutines.Go(func() { p.pollCacheChanges(ctx) })
	}
}

// Close stops all pollers and waits for them.
func (g *PollerGroup) Close() {
	g.mu.Lock()
	g.cancel()
	g.mu.Unlock()
	g.goroutines.Wait()
}
