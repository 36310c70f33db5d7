package control

import (
	"context"
	"errors"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/control/deployment"
	"github.com/carawaystile/carawaystile/control/server"
	"github.com/carawaystile/carawaystile/control/transport"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/replog"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/store"
	"github.com/carawaystile/carawaystile/tables"
)

// replicaGroup is the control group of a forwarding deployment: three voters and a
// standby replica, over HTTP on loopback.
type replicaGroup struct {
	t        *testing.T
	replicas []*groupReplica
}

// groupReplica is one replica of a replicaGroup.
type groupReplica struct {
	address   string
	partition *partitionTransport
	disk      *hangingLogStore
	server    *server.Server
	service   *deployment.Service
}

const (
	voterCount   = 3
	standbyIndex = 3
)

// newReplicaGroup starts a group.
func newReplicaGroup(t *testing.T) *replicaGroup {
	g := &replicaGroup{t: t}
	var listeners []net.Listener
	for range voterCount + 1 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		folder, err := store.OpenDataDir(filepath.Join(t.TempDir(), "data"))
		assert.NilError(t, err)
		t.Cleanup(func() { _ = folder.Close() })
		listeners = append(listeners, listener)
		g.replicas = append(g.replicas, &groupReplica{
			address:   listener.Addr().String(),
			partition: &partitionTransport{base: http.DefaultTransport, blocked: map[string]bool{}},
			disk:      &hangingLogStore{LogStore: server.FolderLogStore{Folder: folder}, free: make(chan struct{})},
		})
	}
	for i := range g.replicas {
		g.start(i, listeners[i])
	}
	g.putDocument(0, 1)
	g.awaitDocument(standbyIndex, 1)
	return g
}

func (g *replicaGroup) start(i int, listener net.Listener) {
	r := g.replicas[i]
	options := server.Options{
		Self:               server.Instance{Name: tables.InstanceID(r.address), Address: r.address},
		AcceptUnknownPeers: true,
		MaxVoters:          voterCount,
		JoinOnly:           i == standbyIndex,
		VoterTimeout:       time.Hour,
		Dialer:             transport.NewDialer(&http.Client{Transport: r.partition}),
		LogStore:           r.disk,
		TickInterval:       10 * time.Millisecond,
	}
	for j, other := range g.replicas[:voterCount] {
		if j != i {
			options.Peers = append(options.Peers, server.Instance{Name: tables.InstanceID(other.address), Address: other.address})
		}
	}
	var err error
	r.server, err = server.Start(options)
	assert.NilError(g.t, err)
	g.t.Cleanup(r.server.Close)
	g.t.Cleanup(r.disk.resume)
	r.service = deployment.NewService(deployment.Options{
		Replica: r.server, Fleet: fleet.NewTable(uint64(i) + 1),
		HoldsOrderLease: func() bool { return false },
		Now:             func() tables.Instant { return 0 },
	})
	web := &http.Server{Handler: transport.NewHandler(r.server)}
	go func() { _ = web.Serve(listener) }()
	g.t.Cleanup(func() { _ = web.Close() })
}

// putDocument commits a document through one of the replicas.
func (g *replicaGroup) putDocument(i int, number uint64) {
	ctx, cancel := context.WithTimeout(g.t.Context(), time.Minute)
	defer cancel()
	assert.NilError(g.t, g.replicas[i].service.Put(ctx, deployment.ConfigurationDocument, number, nil))
}

// awaitDocument waits until a replica has a document.
func (g *replicaGroup) awaitDocument(i int, number uint64) {
	ctx, cancel := context.WithTimeout(g.t.Context(), time.Minute)
	defer cancel()
	have := map[string]uint64{deployment.ConfigurationDocument: number - 1}
	for {
		answer, err := g.replicas[i].service.Follow(ctx, &rpc.FollowRequest{Documents: have, WaitNanos: int64(time.Second)})
		assert.NilError(g.t, err)
		if len(answer.GetDocuments()) > 0 {
			return
		}
	}
}

// isolate partitions a replica from the others; its followers still reach it.
func (g *replicaGroup) isolate(i int) {
	for j, other := range g.replicas {
		if j != i {
			other.partition.setBlocked(g.replicas[i].address, true)
			g.replicas[i].partition.setBlocked(other.address, true)
		}
	}
}

// follow runs a client of an entry instance that follows the replicas in the given
// order of preference. The returned channel receives the numbers of the
// configurations that the client is notified of.
func (g *replicaGroup) follow(order ...int) <-chan uint64 {
	notified := make(chan uint64, 16)
	var sources []deployment.Source
	for _, i := range order {
		sources = append(sources, deployment.Source{Name: g.replicas[i].address, Deployment: g.replicas[i].service})
	}
	client := deployment.NewClient(deployment.ClientOptions{
		Sources:     func() []deployment.Source { return sources },
		OnDocument:  func(d *rpc.Document) { notified <- d.GetNumber() },
		OnEndpoints: func(*fleet.Replica) {},
		Log:         zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(g.t.Context())
	var running sync.WaitGroup
	running.Go(func() { client.Run(ctx) })
	g.t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return notified
}

// awaitNotification waits until the client has been notified of a configuration.
// The timeout only ends a failing test: a client that stays with a stale source is
// never notified.
func (g *replicaGroup) awaitNotification(notified <-chan uint64, number uint64) {
	g.t.Helper()
	bound := time.NewTimer(20 * time.Second)
	defer bound.Stop()
	for {
		select {
		case have := <-notified:
			if have == number {
				return
			}
		case <-bound.C:
			g.t.Fatalf("the client was not notified of configuration %d", number)
		}
	}
}

// hangingLogStore is a log store whose writes block between hang and resume.
type hangingLogStore struct {
	server.LogStore
	mu    sync.Mutex
	hangs bool
	free  chan struct{}
	once  sync.Once
}

func (d *hangingLogStore) hang() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hangs = true
}

func (d *hangingLogStore) resume() { d.once.Do(func() { close(d.free) }) }

func (d *hangingLogStore) Open() (server.Log, error) {
	log, err := d.LogStore.Open()
	if log == nil || err != nil {
		return nil, err
	}
	return hangingLog{Log: log, disk: d}, nil
}

func (d *hangingLogStore) Create(group uint64, replica replog.ReplicaID, saved replog.PersistentState) (server.Log, error) {
	log, err := d.LogStore.Create(group, replica, saved)
	if err != nil {
		return nil, err
	}
	return hangingLog{Log: log, disk: d}, nil
}

// hangingLog is a log of a hangingLogStore.
type hangingLog struct {
	server.Log
	disk *hangingLogStore
}

func (l hangingLog) Save(ready replog.Ready) error {
	l.disk.mu.Lock()
	hangs := l.disk.hangs
	l.disk.mu.Unlock()
	if hangs {
		<-l.disk.free
		return errors.New("the disk hung until the test ended")
	}
	return l.Log.Save(ready)
}

// Guards against entry instances that follow a stale replica: for the duration of a
// partition, callers of one availability zone were rejected according to the
// previous configuration, although operators had been told that the new one was in
// force.
//
// A control instance lost its disk and rejoined as the standby, because the former
// standby had taken its vote. Its zone's control instances were then partitioned
// from the others, but the zone's entry instances still reached them and followed
// the standby. A change was committed without it.
//
// A source used to report itself as stale only while it knew no leader. A standby never
// starts an election, and so it kept the leader that it last knew. As observed, requests
// in that zone only were rejected under the old revision 23 to 157 ms after the source
// had confirmed it, and the client of this test, which has an up-to-date source as well,
// was never notified of the change.
func TestFollowerLeavesPartitionedStandby(t *testing.T) {
	g := newReplicaGroup(t)
	notified := g.follow(standbyIndex, 0)
	g.awaitNotification(notified, 1)
	g.isolate(standbyIndex)
	g.putDocument(1, 2)
	g.awaitNotification(notified, 2)
}

// Guards against entry instances that follow a replica with a hung disk: callers of
// one availability zone were served under an older configuration for as long as the
// disk hung.
//
// A replica that cannot write to its log applies no committed entries, although it
// still receives heartbeats from its leader. Because it knew a leader, it did not
// report itself as stale, and the client of this test stayed with it.
func TestFollowerLeavesReplicaWithHungDisk(t *testing.T) {
	g := newReplicaGroup(t)
	follower := 0
	for g.replicas[follower].server.Status().IsLeader {
		follower++
	}
	other := (follower + 1) % voterCount
	notified := g.follow(follower, other)
	g.awaitNotification(notified, 1)
	g.replicas[follower].disk.hang()
	g.putDocument(other, 2)
	g.awaitNotification(notified, 2)
}
