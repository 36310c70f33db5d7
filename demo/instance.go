package demo

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/engine/feed"
	"github.com/carawaystile/carawaystile/entry"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

// drainServe is how long a draining instance serves new connections. The
// balancer of the demo asks every balancerPeriod whether it is ready.
const (
	drainServe     = 200 * time.Millisecond
	drainTimeout   = 20 * time.Second
	balancerPeriod = 20 * time.Millisecond
)

// instance is one entry instance.
type instance struct {
	name    tables.InstanceID
	zone    tables.Zone
	address string
	lives   int
	ready   atomic.Bool

	mu     sync.Mutex
	server *entry.Server
	http   *http.Server
	feeds  *feed.Group
	client *engine.HTTPClient
}

// start begins a life of the instance under its address.
func (i *instance) start(w *world) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.lives++
	origin := time.Now()
	i.client = engine.NewHTTPClient(engine.Options{Dial: w.network.dialer(i.zone)})
	limits := entry.DefaultLimits()
	limits.DrainServe = drainServe
	server, err := entry.New(entry.Options{
		Instance: i.name,
		Boot:     fmt.Sprint(i.lives),
		Router:   router.New(router.Options{Instance: i.name, Zone: i.zone, Seed: w.options.Seed<<16 + uint64(i.lives)<<8 + uint64(i.zone[len(i.zone)-1])}),
		Client:   i.client,
		Claimer:  &zoneClaimer{claims: w.claims, network: w.network, zone: i.zone},
		Log:      w.options.Log.With(zap.String("instance", string(i.name))),
		Now:      func() tables.Instant { return time.Since(origin) },
		Limits:   limits,
	})
	if err != nil {
		return err
	}
	i.server = server
	i.feeds = feed.NewGroup(feed.Options{Reporter: i.client, Deliver: server.Observe, Log: w.options.Log})
	server.Observe(router.PeersSeen{Share: 1 / float64(len(zones))})
	server.Configure(w.configuration)
	i.feeds.Configure(w.configuration)
	listener, err := net.Listen("tcp", i.address)
	if err != nil {
		return err
	}
	if i.lives == 1 {
		i.address = listener.Addr().String()
	}
	i.http = &http.Server{Handler: server.Handler()}
	go func(h *http.Server) { _ = h.Serve(listener) }(i.http)
	i.ready.Store(true)
	return nil
}

// drain takes the instance out of service without cutting a request.
func (i *instance) drain() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	if err := i.server.Drain(ctx); err != nil {
		return err
	}
	err := i.http.Shutdown(ctx)
	i.stop()
	return err
}

// stop ends the life at once.
func (i *instance) stop() {
	_ = i.http.Close()
	i.feeds.Close()
	i.server.Close()
	i.client.CloseIdle()
}

func (i *instance) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.http != nil {
		i.stop()
	}
}

// balancer sends callers to instances that say they are ready.
type balancer struct {
	instances []*instance
	next      atomic.Uint64
}

// pick returns the next ready instance, or any if none is.
func (b *balancer) pick() *instance {
	for range b.instances {
		i := b.instances[b.next.Add(1)%uint64(len(b.instances))]
		if i.ready.Load() {
			return i
		}
	}
	return b.instances[0]
}

// watch asks every instance whether it is ready, until the context ends.
func (b *balancer) watch(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	ticker := time.NewTicker(balancerPeriod)
	defer ticker.Stop()
	for {
		for _, i := range b.instances {
			i.ready.Store(isReady(client, i.address))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func isReady(client *http.Client, address string) bool {
	resp, err := client.Get("http://" + address + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode < http.StatusMultipleChoices
}
