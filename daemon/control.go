package daemon

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/control/client"
	"github.com/carawaystile/carawaystile/control/configuration"
	"github.com/carawaystile/carawaystile/control/follower"
	"github.com/carawaystile/carawaystile/control/operator"
	"github.com/carawaystile/carawaystile/control/server"
	"github.com/carawaystile/carawaystile/control/transport"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/internal/keepalive"
	"github.com/carawaystile/carawaystile/internal/readlimit"
	"github.com/carawaystile/carawaystile/keys"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/settings"
)

const (
	// dialTimeout bounds the opening of a connection to another instance.
	dialTimeout = time.Second
	// maxIdlePeerConnections bounds the idle connections in the pool for each
	// instance.
	maxIdlePeerConnections = 16
	// maxPeerResponseBytes bounds a response of another instance. The largest holds a whole
	// configuration, which may be the sum of several changes of 4 MB each.
	maxPeerResponseBytes = 64 << 20
	// bootstrapRetryDelay is the delay between two attempts to apply the initial
	// configuration while the control group is being formed.
	bootstrapRetryDelay = 200 * time.Millisecond
	// fetchTimeout bounds the request for a newer configuration to one instance.
	fetchTimeout = 2 * time.Second
)

// bootstrapName is the operator and the request ID under which the initial
// configuration is applied. All control instances send the same request, so that it
// is deduplicated and applied once.
const bootstrapName = "bootstrap"

// startControlClients creates the RPC clients of the control state and the claim
// client, and starts a replica of the control state if this instance has the
// control role.
func (d *Daemon) startControlClients() error {
	dial := d.options.Dial
	if dial == nil {
		dialer := keepalive.Peers.Dialer(netip.Addr{})
		dialer.Timeout = dialTimeout
		dial = dialer.DialContext
	}
	base := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: maxIdlePeerConnections}
	d.peerTransport = base
	limited := readlimit.NewTransport(base, "response body of an instance", maxPeerResponseBytes)
	d.dialer = transport.NewDialer(&http.Client{Transport: &keys.Transport{Ring: d.instanceKeys, Base: limited}})
	d.suspectNotifier = newSuspectNotifier(d.runContext, d.instanceKeys, limited, d.liveEntryPeers, d.options.Log)
	if d.options.Process.Control {
		if err := d.startReplica(); err != nil {
			return err
		}
	}
	d.claims = client.NewClaimClient(client.ClaimClientOptions{
		Executor: client.NewFailoverExecutor(d.commandExecutors()...),
		Instance: d.options.Process.Instance,
		Boot:     d.bootEpoch,
		Now:      d.now,
		Log:      d.options.Log,
	})
	return nil
}

// startReplica starts this instance's replica of the control state.
func (d *Daemon) startReplica() error {
	p := d.options.Process
	options := server.Options{
		Self:     server.Instance{Name: p.Instance, Address: p.Listen.Instances.String()},
		Dialer:   d.dialer,
		LogStore: server.FolderLogStore{Folder: d.folder},
		Log:      d.options.Log,
		ObserveCommand: func(command string, decided bool, took time.Duration) {
			d.registry.Histogram("carawaystile_control_decision_seconds",
				"Time until the control group has decided a command, or it was given up.", metrics.SecondsBounds,
				metrics.Label{Name: "command", Value: command},
				metrics.Label{Name: "decided", Value: strconv.FormatBool(decided)}).Update(took.Microseconds())
		},
	}
	for _, c := range p.ControlInstances {
		if c.Name != p.Instance {
			options.Peers = append(options.Peers, server.Instance{Name: c.Name, Address: c.Address.String()})
		}
	}
	replica, err := server.Start(options)
	if err != nil {
		return trace.Wrap(err)
	}
	d.replica = replica
	d.operatorService = operator.NewService(operator.Options{
		Server: replica, Instance: p.Instance, Zone: p.Zone, InstanceStatuses: d.instanceStatuses,
	})
	return nil
}

// startFollower applies the cached configuration and starts to poll for newer ones.
func (d *Daemon) startFollower() {
	d.follower = follower.Start(follower.Options{
		Instance:        d.options.Process.Instance,
		Zone:            d.options.Process.Zone,
		Sources:         d.configurationSources,
		Files:           d.folder,
		OnConfiguration: d.applyConfiguration,
		Log:             d.options.Log,
	})
}

// controlInstancesByProximity returns the control instances, those of the own
// availability zone first: they stay reachable when the zone is partitioned from
// the others.
func (d *Daemon) controlInstancesByProximity() []settings.ControlInstance {
	var near, far []settings.ControlInstance
	for _, c := range d.options.Process.ControlInstances {
		if c.Zone == d.options.Process.Zone {
			near = append(near, c)
		} else {
			far = append(far, c)
		}
	}
	return append(near, far...)
}

// controlClients returns the clients of the control instances in order of
// preference: the own replica, then other instances by proximity.
func (d *Daemon) controlClients() []rpc.Control {
	var clients []rpc.Control
	if d.replica != nil {
		clients = append(clients, d.replica)
	}
	for _, c := range d.controlInstancesByProximity() {
		if d.replica == nil || c.Name != d.options.Process.Instance {
			clients = append(clients, d.dialer.Control(c.Address.String()))
		}
	}
	return clients
}

// commandExecutors returns controlClients as executors.
func (d *Daemon) commandExecutors() []client.Executor {
	var executors []client.Executor
	for _, c := range d.controlClients() {
		executors = append(executors, c)
	}
	return executors
}

// configurationSources returns the sources of the follower in order of preference:
// control instances, then a few other instances.
func (d *Daemon) configurationSources() []follower.Source {
	var sources []follower.Source
	for _, c := range d.controlClients() {
		sources = append(sources, c)
	}
	for _, m := range d.peerSourcesByProximity() {
		sources = append(sources, d.dialer.Control(m.Control.String()))
	}
	return sources
}

// controlHandler returns the HTTP handler of the control interface: that of the own
// replica, or a relay of the configuration.
func (d *Daemon) controlHandler() http.Handler {
	if d.replica != nil {
		return transport.NewHandler(d.replica)
	}
	return transport.NewHandler(follower.Relay{Follower: d.follower})
}

// bootstrap applies the initial configuration of a deployment. It does nothing once
// any configuration has been accepted.
func (d *Daemon) bootstrap(ctx context.Context) {
	items, err := configuration.Encode(*d.options.Declarations)
	if err != nil {
		events.BootstrapFailed.Log(d.options.Log, zap.Error(err))
		return
	}
	request := &rpc.ApplyRequest{Operator: bootstrapName, Request: bootstrapName, Items: items}
	for ctx.Err() == nil && d.replica.Revision() == 0 {
		answer, err := d.operatorService.Apply(ctx, request)
		if err == nil {
			if refusal := answer.GetRefusal(); refusal != nil {
				events.BootstrapFailed.Log(d.options.Log, zap.Stringer("refusal", refusal.GetReason()))
			}
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(bootstrapRetryDelay):
		}
	}
}

// stopControl stops what startControlClients and startFollower have started.
func (d *Daemon) stopControl() {
	if d.follower != nil {
		d.follower.Close()
	}
	if d.claims != nil {
		d.claims.Close()
	}
	if d.replica != nil {
		d.replica.Close()
	}
	if d.peerTransport != nil {
		d.peerTransport.CloseIdleConnections()
	}
}
