package demo

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/daemon"
	"github.com/carawaystile/carawaystile/internal/loopback"
	"github.com/carawaystile/carawaystile/internal/partition"
	"github.com/carawaystile/carawaystile/settings"
	"github.com/carawaystile/carawaystile/tables"
)

// drainAnnounce is how long a draining instance serves new connections. The
// balancer of the demo asks every balancerPeriod whether it is ready; the ratio
// of the two is that of a balancer which asks every 100 ms and the default
// announcement of 5 s. With a tenth of it, a machine with too few processors for
// its load once let the balancer notice too late.
const (
	drainAnnounce  = time.Second
	drainTimeout   = 20 * time.Second
	balancerPeriod = 20 * time.Millisecond
	// balancerPatience is how long the balancer waits for one answer.
	balancerPatience = 250 * time.Millisecond
	keyBytes         = 32
	keyFile          = "key"
	folderMode       = 0o700
	keyMode          = 0o600
)

// The limits of an instance of the demo.
const (
	bodyBytes   = 8 << 20
	headerBytes = 32 << 10
	connections = 8192
)

// instance is one instance, with the entry and the control role.
type instance struct {
	process *settings.Process
	address string
	ready   atomic.Bool
	ports   loopback.Ports

	mu     sync.Mutex
	daemon *daemon.Daemon
}

// newInstances chooses addresses for one instance a zone, which form the
// control group together.
func newInstances(folder string, n *partition.Network, where []tables.Zone) ([]*instance, error) {
	key, err := newKey(folder)
	if err != nil {
		return nil, err
	}
	var all []*instance
	var group []settings.ControlInstance
	for _, zone := range where {
		i, err := newInstance(folder, key, zone)
		if err != nil {
			return all, err
		}
		all = append(all, i)
		group = append(group, settings.ControlInstance{Name: i.process.Instance, Zone: zone, Address: i.process.Listen.Instances})
		n.SetZone(i.process.Listen.Instances.String(), zone)
	}
	for _, i := range all {
		i.process.ControlInstances = group
		for _, other := range all {
			if other != i {
				i.process.Peers = append(i.process.Peers, other.process.Listen.Membership)
			}
		}
	}
	return all, nil
}

// newKey writes the key that the instances know each other by.
func newKey(folder string) (string, error) {
	var key [keyBytes]byte
	_, _ = rand.Read(key[:])
	file := filepath.Join(folder, keyFile)
	return file, os.WriteFile(file, []byte(hex.EncodeToString(key[:])+"\n"), keyMode)
}

func newInstance(folder, key string, zone tables.Zone) (*instance, error) {
	i := &instance{}
	callers, err := i.ports.Reserve()
	if err != nil {
		return nil, err
	}
	instances, err := i.ports.Reserve()
	if err != nil {
		return nil, err
	}
	name := "entry-" + string(zone)
	data := filepath.Join(folder, name)
	if err := os.Mkdir(data, folderMode); err != nil {
		return nil, err
	}
	i.address = callers.String()
	i.process = &settings.Process{
		Instance: tables.InstanceID(name), Zone: zone, Data: data,
		Entry: true, Control: true, Size: 1,
		Listen: settings.Listen{Callers: callers, Instances: instances, Membership: instances},
		Keys:   settings.Keys{Instances: key, Operators: key},
		Limits: settings.Limits{
			BodyBytes: bodyBytes, HeaderBytes: headerBytes, Connections: connections,
			Requests: connections, OrganisationRequests: connections,
		},
		Drain: settings.Drain{Announce: drainAnnounce, Timeout: drainTimeout},
	}
	return i, nil
}

// start begins a life of the instance.
func (i *instance) start(w *world) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	d, err := daemon.Start(daemon.Options{
		Process:      i.process,
		Declarations: w.configuration,
		Log:          w.options.Log.With(zap.String("instance", string(i.process.Instance))),
		Dial:         w.network.Dialer(i.process.Zone),
		IsReachable:  w.network.Reaches(i.process.Zone),
		Listen:       i.ports.Listen,
	})
	if err != nil {
		return err
	}
	i.daemon = d
	return nil
}

// configured waits until the instance has a configuration.
func (i *instance) configured(ctx context.Context) error {
	select {
	case <-i.daemon.Configured():
		i.ready.Store(true)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// drain takes the instance out of service without cutting a request, and ends
// it.
func (i *instance) drain() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	err := i.daemon.Drain(ctx)
	i.daemon.Stop()
	return err
}

func (i *instance) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.daemon != nil {
		i.daemon.Stop()
	}
	i.ports.Close()
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
	client := &http.Client{Timeout: balancerPatience}
	ticker := time.NewTicker(balancerPeriod)
	defer ticker.Stop()
	for {
		b.ask(client)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// ask asks all instances at once, so that one that does not answer delays the
// news of the others by no more than the balancer's patience.
func (b *balancer) ask(client *http.Client) {
	var asked sync.WaitGroup
	for _, i := range b.instances {
		asked.Go(func() { i.ask(client) })
	}
	asked.Wait()
}

// ask asks the instance whether it is ready. What it said last stays true while
// it does not answer in time: on a busy machine all instances would look not
// ready at once otherwise, and callers would be sent to one that drains.
func (i *instance) ask(client *http.Client) {
	resp, err := client.Get("http://" + i.address + "/readyz")
	var slow net.Error
	if errors.As(err, &slow) && slow.Timeout() {
		return
	}
	if err != nil {
		i.ready.Store(false)
		return
	}
	_ = resp.Body.Close()
	i.ready.Store(resp.StatusCode < http.StatusMultipleChoices)
}
