package node

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/control/deployment"
	"github.com/carawaystile/carawaystile/control/rollout"
	"github.com/carawaystile/carawaystile/control/server"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/internal/boottime"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/store"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// listPollInterval is the time between two looks at the platform's list, which
	// lags by itself; an endpoint that leaves gets no new work within seconds of
	// being listed so.
	listPollInterval = 500 * time.Millisecond
	// maxOrdersLease is how long an instance gives orders without hearing from the
	// group. The next one begins that much after it has frozen or was cut off; it
	// covers a few slow syncs of a disk.
	maxOrdersLease = 1500 * time.Millisecond
	// leaderTimeout is how long an instance that follows the one that gives orders
	// believes its endpoints before it looks at the list itself.
	leaderTimeout = 1500 * time.Millisecond
	// snapshotBytes is small because disks are; a snapshot holds two documents.
	snapshotBytes = 4 << 20
)

// startControl starts this instance's replica of the control state and what
// hangs on it.
func (n *Node) startControl() error {
	s := n.options.Settings
	folder, err := store.OpenFolder(s.Data)
	if err != nil {
		return trace.Wrap(err)
	}
	n.folder = folder
	self := s.Advertise.Instances.String()
	options := server.Options{
		Self:               server.Instance{Name: tables.InstanceID(self), Address: self},
		JoinOnly:           true,
		AcceptUnknownPeers: true,
		MaxVoters:          2*s.Tolerate + 1,
		Dialer:             n.dialer,
		LogStore:           server.FolderLogStore{Folder: folder},
		Log:                n.log,
		SnapshotBytes:      snapshotBytes,
	}
	for _, seed := range n.seedInstances() {
		if seed == s.Advertise.Instances {
			options.JoinOnly = !s.New
			continue
		}
		options.Peers = append(options.Peers, server.Instance{Name: tables.InstanceID(seed.String()), Address: seed.String()})
	}
	if n.replica, err = server.Start(options); err != nil {
		return trace.Wrap(err)
	}
	n.fleet = fleet.NewTable(n.boot)
	n.rollout = rollout.NewController(rollout.Options{
		Engines:           n.options.Platform.EngineClient,
		Executor:          n.replica,
		IsLeader:          func() bool { return n.replica.Status().IsLeader },
		Fleet:             n.fleet,
		TargetVersions:    func() map[string]uint64 { return n.deployment.Wanted() },
		Instance:          s.Instance,
		Boot:              n.boot,
		LeaseDuration:     min(s.Orders.Lease, maxOrdersLease),
		HandoverDelay:     s.Orders.Lease,
		EnginesCheckFence: s.Orders.Fenced,
		Strategy:          rollout.RetainRequests,
		Now:               boottime.Now,
		Log:               n.log,
	})
	n.deployment = deployment.NewService(deployment.Options{
		Replica: n.replica, Fleet: n.fleet, GivesOrders: n.rollout.HoldsLease, Now: boottime.Now,
	})
	n.registerControlMetrics()
	n.background.Go(func() { n.deployment.Run(n.lifetime) })
	n.background.Go(func() { n.rollout.Run(n.lifetime) })
	n.background.Go(func() { n.followLeader(n.lifetime) })
	if s.List.IsValid() {
		n.background.Go(func() { n.pollList(n.lifetime) })
		n.background.Go(func() { n.probeKVStores(n.lifetime) })
	}
	operators := n.options.Platform.OperatorHandler(n.deployment, n.log)
	return n.serve(&http.Server{Handler: operators}, s.Listen.Operators)
}

// seedInstances are the addresses at which the seeds answer other instances.
func (n *Node) seedInstances() []netip.AddrPort {
	port := n.options.Settings.Advertise.Instances.Port()
	var all []netip.AddrPort
	for _, seed := range n.settings.Load().Seeds {
		all = append(all, netip.AddrPortFrom(seed.Addr(), port))
	}
	return all
}

// pollList keeps the table of endpoints. The list bounds the calls of all
// instances together, so one instance reads it and the others follow it, unless
// they cannot reach it.
func (n *Node) pollList(ctx context.Context) {
	list := n.options.Platform.NewLister(n.options.Settings.List)
	ticker := time.NewTicker(listPollInterval)
	defer ticker.Stop()
	failing := false
	for {
		if n.shouldPollList() {
			endpoints, err := list.Endpoints(ctx)
			if err == nil {
				n.fleet.ApplyList(append(endpoints, n.kvStores.endpoints()...))
				n.listReadAt.Store(int64(n.now()))
			}
			n.logListTransition(ctx, failing, err)
			failing = err != nil
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// logListTransition logs when the list is lost and when it is there again.
func (n *Node) logListTransition(ctx context.Context, failing bool, err error) {
	switch {
	case err != nil && !failing && ctx.Err() == nil:
		events.ListUnread.Log(n.log, zap.Error(err))
	case err == nil && failing:
		events.ListRead.Log(n.log)
	}
}

func (n *Node) shouldPollList() bool {
	if n.replica.Status().IsLeader {
		return true
	}
	heard := n.leaderHeardAt.Load()
	return heard == 0 || n.now()-time.Duration(heard) > leaderTimeout
}

// followLeader takes over what the leader of the group knows of endpoints.
func (n *Node) followLeader(ctx context.Context) {
	client := deployment.NewClient(deployment.ClientOptions{
		Instance: string(n.options.Settings.Instance),
		Sources:  n.leaderSource,
		Document: func(*rpc.Document) {}, // the replica has them
		Fleet:    func(c *fleet.Replica) { n.fleet.Mirror(c.Endpoints()) },
		Answered: func(_ deployment.Source, answer *rpc.FollowAnswer) {
			if !answer.GetBehind() {
				n.leaderHeardAt.Store(int64(n.now()))
			}
		},
		Log: n.log,
	})
	client.Run(ctx)
}

// leaderSource is the leader, unless that is this instance.
func (n *Node) leaderSource() []deployment.Source {
	status := n.replica.Status()
	if status.IsLeader || status.LeaderAddress == "" {
		return nil
	}
	return []deployment.Source{n.controlClients.source(status.LeaderAddress, n.client)}
}
