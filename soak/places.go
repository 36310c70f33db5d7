package soak

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/platform/platformtest"
	"github.com/carawaystile/carawaystile/tables"
)

// Services of the deployment: generations in events, and a plain application.
const (
	serviceModels = "models"
	serviceDesk   = "desk"
	serviceStore  = "keep"
)

const (
	modelEndpoints = 6
	deskEndpoints  = 4
	modelSlots     = 16
	deskSlots      = 8
)

// places are the IP numbers of endpoints, each with the endpoint that stands
// there. An address outlives its endpoint and may be used again by one of
// another service.
type places struct {
	d *deployment

	// starting is held while an endpoint is started.
	starting sync.Mutex

	mu       sync.Mutex
	rng      *rand.Rand
	next     int
	at       []*platformtest.Endpoint
	troubled map[tables.EndpointID]troubled
}

// troubled says what part of an endpoint's requests goes wrong, and how.
type troubled struct {
	kinds []platformtest.Fault
	share float64
}

func newPlaces(d *deployment) *places {
	return &places{d: d, rng: rand.New(rand.NewPCG(d.options.Seed, 2)), troubled: map[tables.EndpointID]troubled{}}
}

// fill starts the first endpoints.
func (p *places) fill() error {
	for n := range modelEndpoints + deskEndpoints {
		service := serviceModels
		if n >= modelEndpoints {
			service = serviceDesk
		}
		advertised := netip.AddrPortFrom(p.d.ip(hostEndpoints+n), portEndpoint)
		if !p.d.options.Capacity { // otherwise each process has a proxy of its own
			if err := p.d.network.Carry(advertised, netip.AddrPortFrom(advertised.Addr(), portBehind)); err != nil {
				return err
			}
		}
		p.d.zoneOf[advertised.Addr()] = n % zones
		p.at = append(p.at, nil)
		if err := p.start(n, service, p.name()); err != nil {
			return err
		}
	}
	return nil
}

// name is a new endpoint's name.
func (p *places) name() tables.EndpointID {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next++
	return tables.EndpointID(fmt.Sprintf("i-%d", p.next))
}

// start starts an endpoint at place n, unless one runs there: a fault that ends
// an endpoint and revive may both want to.
func (p *places) start(n int, service string, id tables.EndpointID) error {
	p.starting.Lock()
	defer p.starting.Unlock()
	if e := p.endpoint(n); e != nil && !e.Exited() {
		return nil
	}
	ip := p.d.ip(hostEndpoints + n)
	o := platformtest.Options{
		ID: id, Service: service, Zone: zoneName(n % zones),
		Listen:  netip.AddrPortFrom(ip, portBehind),
		Address: netip.AddrPortFrom(ip, portEndpoint),
		Slots:   deskSlots, ServiceTime: 20 * time.Millisecond,
		OnStart: p.d.ledger.began, OnArrival: p.d.ledger.arrived,
		InjectFault: func(target string) platformtest.Fault { return p.draw(id, target) },
	}
	if service == serviceModels {
		o.Software = softwareOf(id)
		o.Slots, o.Model, o.Weights, o.EventInterval = modelSlots, model, p.d.ledger.newestWeights(), 8*time.Millisecond
	}
	if p.d.options.Capacity {
		if err := p.d.competeForCapacity(&o); err != nil {
			return err
		}
	}
	refuse := o.OnExit
	o.OnExit = func() {
		p.d.ledger.exited(id)
		if refuse != nil {
			refuse()
		}
	}
	e, err := p.d.fleet.Start(o)
	if err != nil {
		if refuse != nil {
			refuse() // no process exists that would close its proxy's listener
		}
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at[n] = e
	return nil
}

// endpoint returns what stands at a place.
func (p *places) endpoint(n int) *platformtest.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.at[n]
}

// trouble has a part of an endpoint's requests go wrong until the returned
// function is called.
func (p *places) trouble(id tables.EndpointID, t troubled) (lift func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.troubled[id] = t
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.troubled, id)
	}
}

// draw says what happens to one request.
func (p *places) draw(id tables.EndpointID, target string) platformtest.Fault {
	if target == poisonPath || strings.Contains(target, badPartMark) {
		return platformtest.Crashing
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	t, found := p.troubled[id]
	if !found || p.rng.Float64() >= t.share {
		return platformtest.Healthy
	}
	if len(t.kinds) == 1 {
		return t.kinds[0]
	}
	return t.kinds[p.rng.IntN(len(t.kinds))]
}

// replace has the endpoint at a place leave, ends it, and starts another of a
// service in its place after the address has rested.
func (p *places) replace(n int, service string, leaves, rests time.Duration) error {
	old := p.endpoint(n)
	old.Drain()
	time.Sleep(leaves)
	old.Crash()
	p.d.fleet.Deregister(old.ID)
	time.Sleep(rests)
	return p.start(n, service, p.name())
}

// crash ends the endpoint at a place and starts it again after a while, under
// the same name.
func (p *places) crash(n int, down time.Duration) error {
	old := p.endpoint(n)
	old.Crash()
	time.Sleep(down)
	if p.endpoint(n) != old {
		return nil
	}
	return p.start(n, old.Service, old.ID)
}

// revive starts the endpoints again that have crashed, until it is stopped.
func (p *places) revive(stop <-chan struct{}, report func(error)) {
	ticker := time.NewTicker(reviveAfter)
	defer ticker.Stop()
	down := map[*platformtest.Endpoint]bool{}
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for n := range modelEndpoints + deskEndpoints {
			e := p.endpoint(n)
			if !e.Exited() {
				continue
			}
			if !down[e] {
				down[e] = true // next time
				continue
			}
			if err := p.start(n, e.Service, e.ID); err != nil {
				report(err)
			}
		}
	}
}

// reviveAfter is at least how long an endpoint stays down that a request has
// crashed.
const reviveAfter = 1500 * time.Millisecond

// storeAddress is where instances find the store.
func (d *deployment) storeAddress() netip.AddrPort {
	return netip.AddrPortFrom(d.ip(hostStore), portEndpoint)
}

// smaller is the service that has fewer endpoints for what it should have.
func (p *places) smaller() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	models := 0
	for _, e := range p.at {
		if e.Service == serviceModels {
			models++
		}
	}
	if models*deskEndpoints <= (len(p.at)-models)*modelEndpoints {
		return serviceModels
	}
	return serviceDesk
}
