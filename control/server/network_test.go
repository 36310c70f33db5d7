package server

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/twitchtv/twirp"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/control/configuration"
	"github.com/carawaystile/carawaystile/control/state"
	"github.com/carawaystile/carawaystile/replog"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// network connects the servers of one process by address. Each direction between
// two addresses can be cut, and Raft messages can be duplicated.
type network struct {
	mu         sync.Mutex
	servers    map[string]rpc.Control
	cuts       map[[2]string]bool
	duplicates bool
}

// link is the connection from one address to another.
type link struct {
	network  *network
	from, to string
}

type dialer struct {
	network *network
	from    string
}

func (d dialer) Control(address string) rpc.Control {
	return link{network: d.network, from: d.from, to: address}
}

func (l link) open() (rpc.Control, error) {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	server := l.network.servers[l.to]
	if server == nil || l.network.cuts[[2]string{l.from, l.to}] {
		return nil, twirp.NewError(twirp.Unavailable, "the link is cut")
	}
	return server, nil
}

// call runs f, and discards its answer if the reverse direction is cut by then.
func call[T any](l link, f func(rpc.Control) (T, error)) (T, error) {
	var none T
	server, err := l.open()
	if err != nil {
		return none, err
	}
	answer, err := f(server)
	if _, errBack := (link{l.network, l.to, l.from}).open(); errBack != nil {
		return none, errBack
	}
	return answer, err
}

func (l link) Execute(ctx context.Context, r *rpc.Command) (*rpc.Result, error) {
	return call(l, func(c rpc.Control) (*rpc.Result, error) { return c.Execute(ctx, r) })
}

func (l link) Watch(ctx context.Context, r *rpc.WatchRequest) (*rpc.WatchAnswer, error) {
	return call(l, func(c rpc.Control) (*rpc.WatchAnswer, error) { return c.Watch(ctx, r) })
}

func (l link) Join(ctx context.Context, r *rpc.JoinRequest) (*rpc.JoinAnswer, error) {
	return call(l, func(c rpc.Control) (*rpc.JoinAnswer, error) { return c.Join(ctx, r) })
}

func (l link) Leave(ctx context.Context, r *rpc.LeaveRequest) (*rpc.LeaveAnswer, error) {
	return call(l, func(c rpc.Control) (*rpc.LeaveAnswer, error) { return c.Leave(ctx, r) })
}

func (l link) Deliver(ctx context.Context, r *rpc.DeliverRequest) (*rpc.DeliverAnswer, error) {
	return call(l, func(c rpc.Control) (*rpc.DeliverAnswer, error) {
		if l.network.isDuplicating() {
			_, _ = c.Deliver(ctx, r)
		}
		return c.Deliver(ctx, r)
	})
}

// duplicateMessages makes the network deliver every batch of Raft messages twice
// from now on.
func (n *network) duplicateMessages() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.duplicates = true
}

func (n *network) isDuplicating() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.duplicates
}

// setCut cuts or restores both directions between two addresses.
func (n *network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = cut
	n.cuts[[2]string{b, a}] = cut
}

// setOneWayCut cuts or restores the direction from a to b.
func (n *network) setOneWayCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = cut
}

func (n *network) setIsolated(g *group, i int, cut bool) {
	for j := range g.logStores {
		if j != i {
			n.setCut(address(i), address(j), cut)
		}
	}
}

// memoryLogStore is a LogStore in memory. It outlives the servers that use it.
type memoryLogStore struct {
	group   uint64
	replica replog.ReplicaID
	storage *replog.MemoryStorage
}

var lastReplicaID replog.ReplicaID

func (d *memoryLogStore) NewReplicaID() (replog.ReplicaID, error) {
	if d.replica == replog.None {
		lastReplicaID++
		d.replica = lastReplicaID
	}
	return d.replica, nil
}

func (d *memoryLogStore) Open() (Log, error) {
	if d.storage == nil {
		return nil, nil
	}
	return memoryLog{d.storage, d}, nil
}

func (d *memoryLogStore) Create(group uint64, replica replog.ReplicaID, saved replog.PersistentState) (Log, error) {
	d.group, d.replica, d.storage = group, replica, replog.NewMemoryStorage(saved)
	return memoryLog{d.storage, d}, nil
}

type memoryLog struct {
	*replog.MemoryStorage
	store *memoryLogStore
}

func (l memoryLog) Identity() (uint64, replog.ReplicaID) { return l.store.group, l.store.replica }
func (l memoryLog) Close() error                         { return nil }

// group is the control instances of one test.
type group struct {
	t         *testing.T
	network   *network
	logStores []*memoryLogStore
	servers   []*Server
	// snapshotBytes is the SnapshotBytes option of servers that start from now on.
	snapshotBytes int
	// adjustOptions, if set, modifies the options of servers that start from now
	// on.
	adjustOptions func(i int, o *Options)
}

func address(i int) string { return fmt.Sprint("control-", i) }

// newGroup starts n instances and waits until they have formed a group.
func newGroup(t *testing.T, n int) *group {
	g := &group{
		t:       t,
		network: &network{servers: map[string]rpc.Control{}, cuts: map[[2]string]bool{}},
		servers: make([]*Server, n),
	}
	for range n {
		g.logStores = append(g.logStores, &memoryLogStore{})
	}
	for i := range n {
		g.start(i)
	}
	t.Cleanup(func() {
		for i := range g.servers {
			g.stop(i)
		}
	})
	g.barrier(0)
	return g
}

func (g *group) start(i int) {
	options := Options{
		Self:          Instance{Name: tables.InstanceID(address(i)), Address: address(i)},
		Dialer:        dialer{g.network, address(i)},
		LogStore:      g.logStores[i],
		TickInterval:  4 * time.Millisecond,
		ElectionTicks: 20,
		SnapshotBytes: g.snapshotBytes,
	}
	for j := range g.logStores {
		if j != i {
			options.Peers = append(options.Peers, Instance{Name: tables.InstanceID(address(j)), Address: address(j)})
		}
	}
	if g.adjustOptions != nil {
		g.adjustOptions(i, &options)
	}
	server, err := Start(options)
	assert.NilError(g.t, err)
	g.servers[i] = server
	g.network.mu.Lock()
	g.network.servers[address(i)] = server
	g.network.mu.Unlock()
}

func (g *group) stop(i int) {
	if g.servers[i] == nil {
		return
	}
	g.network.mu.Lock()
	delete(g.network.servers, address(i))
	g.network.mu.Unlock()
	g.servers[i].Close()
	g.servers[i] = nil
}

func (g *group) restart(i int) {
	g.stop(i)
	g.start(i)
}

// longContext bounds operations that must succeed eventually.
func (g *group) longContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	g.t.Cleanup(cancel)
	return ctx
}

// shortContext bounds operations that must succeed soon, so that a failing test
// ends early.
func (g *group) shortContext() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	g.t.Cleanup(cancel)
	return ctx
}

func (g *group) barrier(i int) {
	assert.NilError(g.t, g.servers[i].Barrier(g.longContext()))
}

func (g *group) leader() int {
	for {
		for i, server := range g.servers {
			if server != nil && server.Status().IsLeader && server.Barrier(g.longContext()) == nil && server.Status().IsLeader {
				return i
			}
		}
		g.barrier(g.anyRunning())
	}
}

func (g *group) anyRunning() int {
	for i, server := range g.servers {
		if server != nil {
			return i
		}
	}
	return -1
}

// execute executes a command through one instance. It returns nil if the command
// was not acknowledged.
func (g *group) execute(i int, ctx context.Context, command *rpc.Command) *rpc.Result {
	result, err := g.servers[i].Execute(ctx, command)
	if err != nil {
		return nil
	}
	return result
}

// applyCommand returns a command that adds one profile of the given name to the
// configuration in force at instance i.
func (g *group) applyCommand(i int, operator, request string, base uint64, profile string) *rpc.Command {
	items := profileItems(g.t, profile)
	var command *rpc.Command
	g.servers[i].View(func(s *state.State) {
		command = applyOver(s, operator, request, base, items)
	})
	return command
}

func profileItems(t *testing.T, profile string) []*rpc.Item {
	items, err := configuration.Encode(tables.Configuration{
		WeightLoads: 2,
		Profiles:    []tables.Profile{{Name: tables.ProfileName(profile)}},
	})
	assert.NilError(t, err)
	return items
}

func applyOver(s *state.State, operator, request string, base uint64, items []*rpc.Item) *rpc.Command {
	to := configuration.NewContent(items)
	return &rpc.Command{Action: &rpc.Command_Apply{Apply: &rpc.ApplyConfiguration{
		Operator: operator,
		Request:  request,
		Base:     base,
		Digest:   to.DeclaredDigest(),
		Changes:  configuration.ChangedItems(s.Content(), to),
	}}}
}

// runningServer returns the running server at i, nil if there is none. It may be
// called while servers are replaced.
func (g *group) runningServer(i int) *Server {
	g.network.mu.Lock()
	defer g.network.mu.Unlock()
	server, _ := g.network.servers[address(i)].(*Server)
	return server
}

// replace restarts instance i on another disk.
func (g *group) replace(i int, logStore *memoryLogStore) {
	g.stop(i)
	g.logStores[i] = logStore
	g.start(i)
}

// apply puts a configuration in force through instance i and returns its revision.
func (g *group) apply(i int, request, profile string) uint64 {
	g.barrier(i)
	command := g.applyCommand(i, "ama", request, uint64(g.servers[i].Revision()), profile)
	result := g.execute(i, g.longContext(), command)
	assert.Assert(g.t, result.GetAccepted() != nil, "%v", result)
	return result.GetAccepted().GetRevision().GetNumber()
}
