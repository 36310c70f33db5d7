package node

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/control/deployment"
	"github.com/carawaystile/carawaystile/control/rollout"
	"github.com/carawaystile/carawaystile/control/server"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/internal/boottime"
	"github.com/carawaystile/carawaystile/internal/keepalive"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/store"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// listPollInterval is the interval at which the platform's list is polled. The list itself
	// lags; an endpoint that leaves gets no new requests within seconds of being listed as
	// leaving.
	listPollInterval = 500 * time.Millisecond
	// maxOrdersLease bounds the lease under which an instance sends orders without contact to
	// the control group. After the holder has frozen or been partitioned, its successor takes
	// over that much later. The duration covers a few slow disk syncs.
	maxOrdersLease = 1500 * time.Millisecond
	// leaderTimeout is the time without an answer of the leader after which an instance that
	// mirrors the leader's endpoints polls the platform's list itself.
	leaderTimeout = 1500 * time.Millisecond
	// snapshotBytes is the size of applied log entries that triggers a snapshot. It is small
	// because disks are small; a snapshot contains two documents.
	snapshotBytes = 4 << 20
)

// startControl starts the control role: the replica of the replicated state, the endpoint
// table, the rollout of weights and the servers that depend on them.
func (n *Node) startControl() error {
	s := n.options.Settings
	folder, err := store.OpenDataDir(s.Data)
	if err != nil {
		return trace.Wrap(err)
	}
	n.folder = folder
	n.openStreamArchive()
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
		TargetVersions:    func() map[string]uint64 { return n.deployment.TargetVersions() },
		Instance:          s.Instance,
		Boot:              n.boot,
		LeaseDuration:     min(s.Orders.Lease, maxOrdersLease),
		HandoverDelay:     s.Orders.Lease,
		EnginesCheckFence: s.Orders.Fenced,
		WeightsTimeout:    s.Orders.WeightsTimeout,
		Strategy:          rollout.RetainRequests,
		Registry:          n.registry,
		Now:               boottime.Now,
		Log:               n.log,
	})
	n.deployment = deployment.NewService(deployment.Options{
		Replica: n.replica, Fleet: n.fleet, HoldsOrderLease: n.rollout.HoldsLease, CacheOrganisations: n.cacheOrganisations, Now: boottime.Now,
		ListAge: func() (time.Duration, bool) { return n.software.ListAge(n.now()) },
	})
	n.registerControlMetrics()
	n.background.Go(func() { n.deployment.Run(n.lifetime) })
	n.startRollout()
	n.background.Go(func() { n.recordSize(n.lifetime) })
	n.background.Go(func() { n.followLeader(n.lifetime) })
	if s.List.IsValid() {
		n.background.Go(func() { n.pollList(n.lifetime) })
		n.background.Go(func() { n.probeKVStores(n.lifetime) })
	}
	handler := n.options.Platform.OperatorHandler(n.deployment, n.log)
	return n.serve(&http.Server{Handler: n.limitBodies(handler, operatorBodyBytes)}, s.Listen.Operators, keepalive.Clients,
		n.newConnections("operators", serviceShare, headerLimits))
}

// startRollout runs the rollout until the instance stops or stopRollout is called.
func (n *Node) startRollout() {
	ctx, cancel := context.WithCancel(n.lifetime)
	ended := make(chan struct{})
	n.background.Go(func() {
		defer close(ended)
		n.rollout.Run(ctx)
	})
	n.stopRollout = func() {
		cancel()
		<-ended
	}
}

// seedInstances returns the addresses at which the seeds serve other instances.
func (n *Node) seedInstances() []netip.AddrPort {
	port := n.options.Settings.Advertise.Instances.Port()
	var all []netip.AddrPort
	for _, seed := range n.settings.Load().Seeds {
		all = append(all, netip.AddrPortFrom(seed.Addr(), port))
	}
	return all
}

// pollList keeps the endpoint table up to date from the platform's list. The list limits the
// rate of calls of all instances together, so only the leader polls it. The other control
// instances mirror the leader's table, and poll the list while they cannot reach the leader or
// the leader cannot read it.
func (n *Node) pollList(ctx context.Context) {
	list := n.options.Platform.NewLister(n.options.Settings.List)
	ticker := time.NewTicker(listPollInterval)
	defer ticker.Stop()
	failing, relayedFrom := false, ""
	var readAt tables.Instant
	for {
		if n.shouldPollList() && n.isListDue(readAt) {
			readAt = n.now()
			endpoints, err := list.Endpoints(ctx)
			if err == nil {
				n.applyList(endpoints, readAt)
				relayedFrom = ""
			} else {
				relayedFrom = n.relayList(ctx, relayedFrom)
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

// applyList puts a list in force that was read at the given time.
func (n *Node) applyList(endpoints []fleet.Endpoint, readAt tables.Instant) {
	endpoints = slices.DeleteFunc(endpoints, func(e fleet.Endpoint) bool { return n.isOwnAddress(e.Address) })
	n.fleet.ApplyList(append(endpoints, n.kvStores.endpoints()...))
	n.listReadAt.Store(int64(readAt))
	n.observeSoftware(endpoints, readAt)
}

// observeSoftware records the versions of the endpoints on a list that was read at the given time.
func (n *Node) observeSoftware(listed []fleet.Endpoint, readAt tables.Instant) {
	endpoints := make(map[tables.EndpointID]fleet.Endpoint, len(listed))
	for _, e := range listed {
		endpoints[e.ID] = e
	}
	n.software.Observe(n.now(), endpoints)
	n.software.RecordListRead(readAt)
}

// logListTransition logs when polling the list starts to fail and when it succeeds again.
func (n *Node) logListTransition(ctx context.Context, failing bool, err error) {
	switch {
	case err != nil && !failing && ctx.Err() == nil:
		events.PlatformListUnreadable.Log(n.log, zap.Error(err))
	case err == nil && failing:
		events.PlatformListReadable.Log(n.log)
	}
}

// shouldPollList reports whether this instance leads, does not hear the leader, or has heard that
// the leader's list is old.
func (n *Node) shouldPollList() bool {
	return n.replica.Status().IsLeader || !n.hearsLeader() || n.now()-time.Duration(n.leaderListAt.Load()) > maxLeaderListAge
}

// isListDue reports whether this instance may read the list again after its last read began. All
// instances that read it in place of a leader that they hear share the leader's rate.
func (n *Node) isListDue(lastRead tables.Instant) bool {
	status := n.replica.Status()
	if status.IsLeader || !n.hearsLeader() {
		return true
	}
	return n.now()-lastRead >= time.Duration(len(status.Members))*listPollInterval
}

// hearsLeader reports whether the leader has answered within leaderTimeout.
func (n *Node) hearsLeader() bool {
	heardAt := n.leaderHeardAt.Load()
	return heardAt != 0 && n.now()-time.Duration(heardAt) <= leaderTimeout
}

// followLeader mirrors the leader's endpoint table until the context ends.
func (n *Node) followLeader(ctx context.Context) {
	client := deployment.NewClient(deployment.ClientOptions{
		Instance:   string(n.options.Settings.Instance),
		Sources:    n.leaderSource,
		OnDocument: func(*rpc.Document) {}, // the replica already has the documents
		OnEndpoints: func(r *fleet.Replica) {
			n.fleet.Mirror(r.Endpoints())
			n.software.Observe(n.now(), r.Endpoints())
		},
		OnAnswer: func(_ deployment.Source, answer *rpc.FollowAnswer) {
			if !answer.GetBehind() {
				n.leaderHeardAt.Store(int64(n.now()))
			}
			if answer.ListAgeNanos != nil {
				readAt := n.now() - time.Duration(answer.GetListAgeNanos())
				n.leaderListAt.Store(int64(readAt))
				n.software.RecordListRead(readAt)
			}
		},
		Log: n.log,
	})
	client.Run(ctx)
}

// leaderSource returns the leader of the control group, or nothing if there is none or it is
// this instance.
func (n *Node) leaderSource() []deployment.Source {
	status := n.replica.Status()
	if status.IsLeader || status.LeaderAddress == "" {
		return nil
	}
	return []deployment.Source{n.controlClients.source(status.LeaderAddress, n.client)}
}
