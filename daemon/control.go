package daemon

import (
	"context"
	"net"
	"net/http"
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
	"github.com/carawaystile/carawaystile/keys"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/settings"
)

const (
	// dialTimeout bounds the opening of a connection to another instance.
	dialTimeout = time.Second
	// idleInstanceConnections bounds pooled connections to one instance.
	idleInstanceConnections = 16
	// bootstrapPause is the time between two tries to apply the first
	// declarations, while the control group is being formed.
	bootstrapPause = 200 * time.Millisecond
	// fetchTimeout bounds asking one instance for a newer configuration.
	fetchTimeout = 2 * time.Second
)

// bootstrapName is the operator, and the request, that the first declarations
// are applied under. Every control instance sends the same request, so that it
// counts once.
const bootstrapName = "bootstrap"

// startControl starts what this instance needs of the control state: its part
// of the control group if it has the role, and the follower and claims of every
// instance.
func (d *Daemon) startControl() error {
	dial := d.options.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	base := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: idleInstanceConnections}
	d.peerTransport = base
	d.dialer = transport.NewDialer(&http.Client{Transport: &keys.Transport{Ring: d.instanceKeys, Base: base}})
	d.peers = newPeers(d.instanceKeys, base, d.entryPeers, d.options.Log)
	if d.options.Process.Control {
		if err := d.startReplica(); err != nil {
			return err
		}
	}
	d.claims = client.NewClaimClient(client.ClaimClientOptions{
		Executor: client.NewFailoverExecutor(d.executors()...),
		Instance: d.options.Process.Instance,
		Boot:     d.boot,
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
				"Time until the control group has decided a command, or it was given up.", metrics.Seconds,
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
	d.operators = operator.NewService(operator.Options{
		Server: replica, Instance: p.Instance, Zone: p.Zone, InstanceStatuses: d.instanceStatuses,
	})
	return nil
}

// startFollower puts the last accepted configuration in force, and follows.
func (d *Daemon) startFollower() {
	d.follower = follower.Start(follower.Options{
		Instance:        d.options.Process.Instance,
		Zone:            d.options.Process.Zone,
		Sources:         d.sources,
		Files:           d.folder,
		OnConfiguration: d.configure,
		Log:             d.options.Log,
	})
}

// nearControl lists the control instances, those of the own availability zone
// first: they are reached when the zone is cut off.
func (d *Daemon) nearControl() []settings.ControlInstance {
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

// controls lists the control interfaces in the order they are asked in.
func (d *Daemon) controls() []rpc.Control {
	var controls []rpc.Control
	if d.replica != nil {
		controls = append(controls, d.replica)
	}
	for _, c := range d.nearControl() {
		if d.replica == nil || c.Name != d.options.Process.Instance {
			controls = append(controls, d.dialer.Control(c.Address.String()))
		}
	}
	return controls
}

func (d *Daemon) executors() []client.Executor {
	var executors []client.Executor
	for _, c := range d.controls() {
		executors = append(executors, c)
	}
	return executors
}

// sources lists whom the follower asks for newer configurations.
func (d *Daemon) sources() []follower.Source {
	var sources []follower.Source
	for _, c := range d.controls() {
		sources = append(sources, c)
	}
	for _, m := range d.nearPeers() {
		sources = append(sources, d.dialer.Control(m.Control.String()))
	}
	return sources
}

// controlHandler serves the control interface to other instances.
func (d *Daemon) controlHandler() http.Handler {
	if d.replica != nil {
		return transport.NewHandler(d.replica)
	}
	return transport.NewHandler(follower.Relay{Follower: d.follower})
}

// bootstrap applies the first declarations of a deployment, once: it does
// nothing if any configuration was ever accepted.
func (d *Daemon) bootstrap(ctx context.Context) {
	items, err := configuration.Encode(*d.options.Declarations)
	if err != nil {
		events.BootstrapFailed.Log(d.options.Log, zap.Error(err))
		return
	}
	request := &rpc.ApplyRequest{Operator: bootstrapName, Request: bootstrapName, Items: items}
	for ctx.Err() == nil && d.replica.Revision() == 0 {
		answer, err := d.operators.Apply(ctx, request)
		if err == nil {
			if refusal := answer.GetRefusal(); refusal != nil {
				events.BootstrapFailed.Log(d.options.Log, zap.Stringer("refusal", refusal.GetReason()))
			}
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(bootstrapPause):
		}
	}
}

// stopControl ends what startControl and startFollower started.
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
