// Package scenario is a small scripted language for failures: commands of
// testscript that start instances and stand-ins on loopback within one process,
// send requests, break things, and check what callers got. The scripts are in
// testdata, the commands are explained in commands.go.
package scenario

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/carawaystile/carawaystile/daemon"
	"github.com/carawaystile/carawaystile/internal/loopback"
	"github.com/carawaystile/carawaystile/internal/partition"
	"github.com/carawaystile/carawaystile/settings"
	"github.com/carawaystile/carawaystile/standin"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// wait bounds every wait of a script; it is never what decides a verdict.
	wait = 60 * time.Second
	// slowdown makes engines so slow that an answer of some hundred tokens
	// cannot end while a script breaks something.
	slowdown = 100
	stepTime = 200 * time.Microsecond

	model   = "m"
	weights = "w1"
	// newerWeights are those that scripts put in force.
	newerWeights = "w2"
	token        = "press-token"

	enginesPerZone = 2
	platformLag    = 100 * time.Millisecond
	serviceSlots   = 8
)

var zones = []tables.Zone{"a", "b", "c"}

// world is what one script runs in: three zones with an instance, engines and a
// publishing service each.
type world struct {
	folder    string
	network   *partition.Network
	records   *standin.Records
	calls     *standin.ServiceRecords
	engines   map[string]*standin.Engine
	services  map[string]*standin.Service
	instances map[string]*instance
	requests  map[string]*request
	// answersToLose counts the services' next answers that get lost.
	answersToLose atomic.Int64
	// race is the race of operators that runs, if any.
	race *race
}

// instance is one instance over its lives.
type instance struct {
	options daemon.Options
	ports   loopback.Ports
	daemon  *daemon.Daemon
	// pause holds calls back before they leave.
	pause *pause
	// platform is the zone's copy of the platform's list.
	platform *standin.Platform
	// drained is closed when a graceful shutdown has ended, with its failure.
	drained  chan struct{}
	drainErr error
}

func newWorld(folder string) (*world, error) {
	w := &world{
		folder:    folder,
		network:   partition.New(),
		records:   standin.NewRecords(),
		calls:     &standin.ServiceRecords{},
		engines:   map[string]*standin.Engine{},
		services:  map[string]*standin.Service{},
		instances: map[string]*instance{},
		requests:  map[string]*request{},
	}
	c := w.declarations()
	for _, zone := range zones {
		for n := range enginesPerZone {
			if err := w.addEngine(c, zone, fmt.Sprintf("engine-%s%d", zone, n+1)); err != nil {
				return w, err
			}
		}
		if err := w.addService(c, zone, "press-"+string(zone)); err != nil {
			return w, err
		}
	}
	return w, w.addInstances(c)
}

func (w *world) declarations() *tables.Configuration {
	sum := sha256.Sum256([]byte(token))
	return &tables.Configuration{
		WeightLoads: 2,
		Models:      []tables.Model{{Name: model, Weights: weights}},
		Profiles: []tables.Profile{
			{Name: "drafting", Kind: tables.Engine, Model: model, Idempotent: true, Timeout: 50 * time.Second},
			{Name: "publishing", Kind: tables.PlainService, Service: "press", Timeout: 10 * time.Second},
			{Name: "lookups", Kind: tables.PlainService, Service: "press", Idempotent: true, Timeout: 10 * time.Second},
		},
		Organisations: []tables.Organisation{{ID: "press", Share: 1, TokenHashes: []string{hex.EncodeToString(sum[:])}}},
	}
}

func (w *world) addEngine(c *tables.Configuration, zone tables.Zone, name string) error {
	e, err := standin.StartEngine(standin.EngineOptions{
		ID: tables.EndpointID(name), Weights: map[tables.ModelName]tables.WeightsVersion{model: weights},
		StepTime: stepTime, DecodeRate: 1e6, PrefillRate: 1e7, ChecksFence: true, Records: w.records,
		EventLoss: 3, Downtime: 100 * time.Millisecond,
	})
	if err != nil {
		return err
	}
	w.engines[name] = e
	w.network.SetZone(e.Address().String(), zone)
	c.Endpoints = append(c.Endpoints, tables.Endpoint{
		ID: e.ID(), Kind: tables.Engine, Zone: zone, Address: e.Address(), Life: 1, ChecksFence: true,
		Models: []tables.ModelName{model}, Slots: standin.DefaultSlots, CacheBlocks: standin.DefaultCacheBlocks,
	})
	return nil
}

func (w *world) addService(c *tables.Configuration, zone tables.Zone, name string) error {
	s, err := standin.StartService(standin.ServiceOptions{ID: tables.EndpointID(name), Slots: serviceSlots, Records: w.calls})
	if err != nil {
		return err
	}
	s.LoseAnswers(w.losesAnswer)
	w.services[name] = s
	w.network.SetZone(s.Address().String(), zone)
	c.Endpoints = append(c.Endpoints, tables.Endpoint{
		ID: s.ID(), Kind: tables.PlainService, Zone: zone, Address: s.Address(), Life: 1, Service: "press", Slots: serviceSlots,
	})
	return nil
}

// addInstances makes one instance a zone; they form the control group together.
func (w *world) addInstances(c *tables.Configuration) error {
	key := filepath.Join(w.folder, "key")
	if err := os.WriteFile(key, []byte(strings.Repeat("k", 40)), 0o600); err != nil {
		return err
	}
	var group []settings.ControlInstance
	for _, zone := range zones {
		i, err := w.newInstance(c, key, zone)
		if err != nil {
			return err
		}
		p := i.options.Process
		w.instances[string(p.Instance)] = i
		w.network.SetZone(p.Listen.Instances.String(), zone)
		group = append(group, settings.ControlInstance{Name: p.Instance, Zone: zone, Address: p.Listen.Instances})
	}
	for _, i := range w.instances {
		i.options.Process.ControlInstances = group
		for _, other := range w.instances {
			if other != i {
				i.options.Process.Peers = append(i.options.Process.Peers, other.options.Process.Listen.Membership)
			}
		}
	}
	return nil
}

func (w *world) newInstance(c *tables.Configuration, key string, zone tables.Zone) (*instance, error) {
	i := &instance{}
	callers, err := i.ports.Reserve()
	if err != nil {
		return nil, err
	}
	instances, err := i.ports.Reserve()
	if err != nil {
		return nil, err
	}
	if i.platform, err = standin.StartPlatform(netip.AddrPort{}, platformLag); err != nil {
		return nil, err
	}
	w.network.SetZone(i.platform.Address().String(), zone)
	i.pause = newPause(w.network.Dialer(zone))
	name := "entry-" + string(zone)
	data := filepath.Join(w.folder, name)
	if err := os.Mkdir(data, 0o700); err != nil {
		return nil, err
	}
	i.options = daemon.Options{
		Process: &settings.Process{
			Instance: tables.InstanceID(name), Zone: zone, Data: data, Entry: true, Control: true, Size: 1,
			Listen:       settings.Listen{Callers: callers, Instances: instances, Membership: instances},
			PlatformList: i.platform.Address(),
			Keys:         settings.Keys{Instances: key, Operators: key},
			Limits: settings.Limits{
				BodyBytes: 1 << 20, HeaderBytes: 1 << 15, Connections: 1024, Requests: 1024, OrganisationRequests: 1024,
			},
			Drain: settings.Drain{Announce: 100 * time.Millisecond, Timeout: wait},
		},
		Declarations: c,
		Dial:         i.pause.dial,
		IsReachable:  w.network.Reaches(zone),
		Listen:       i.ports.Listen,
	}
	return i, nil
}

// begin starts a life of an instance.
func (i *instance) begin() error {
	d, err := daemon.Start(i.options)
	if err != nil {
		return err
	}
	i.daemon = d
	return nil
}

func (i *instance) configured() error {
	select {
	case <-i.daemon.Configured():
		return nil
	case <-time.After(wait):
		return &failed{what: "no configuration in time"}
	}
}

// drain begins a graceful shutdown.
func (i *instance) drain() {
	d, done := i.daemon, make(chan struct{})
	i.drained = done
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		i.drainErr = d.Drain(ctx)
		d.Stop()
	}()
}

func (w *world) close() {
	w.network.Heal()
	for _, r := range w.requests {
		r.cancel()
	}
	if w.race != nil {
		w.race.stop()
	}
	for _, i := range w.instances {
		i.pause.end()
		if i.daemon != nil {
			i.daemon.Stop()
		}
		i.ports.Close()
		i.platform.Close()
	}
	for _, e := range w.engines {
		e.Close()
	}
	for _, s := range w.services {
		s.Close()
	}
}

// failed means that a script's expectation was not met.
type failed struct{ what string }

// Error says what was not met.
func (e *failed) Error() string { return e.what }

// worldKey is where a script's environment holds its world.
type worldKey struct{}

// Setup gives each script a world of its own.
func Setup(env *testscript.Env) error {
	w, err := newWorld(env.WorkDir)
	env.Defer(w.close)
	env.Values[worldKey{}] = w
	return err
}

func worldOf(ts *testscript.TestScript) *world { return ts.Value(worldKey{}).(*world) }
