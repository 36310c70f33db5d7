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

// network connects servers of one process by address. A pair can be cut in one
// direction, and messages of the log can come twice.
type network struct {
	mu      sync.Mutex
	servers map[string]rpc.Control
	cuts    map[[2]string]bool
	twice   bool
}

// line is the way from one address to another.
type line struct {
	network  *network
	from, to string
}

type dialer struct {
	network *network
	from    string
}

func (d dialer) Control(address string) rpc.Control {
	return line{network: d.network, from: d.from, to: address}
}

func (l line) open() (rpc.Control, error) {
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	server := l.network.servers[l.to]
	if server == nil || l.network.cuts[[2]string{l.from, l.to}] {
		return nil, twirp.NewError(twirp.Unavailable, "cut")
	}
	return server, nil
}

// call runs f, and loses its answer if the way back is cut by then.
func call[T any](l line, f func(rpc.Control) (T, error)) (T, error) {
	var none T
	server, err := l.open()
	if err != nil {
		return none, err
	}
	answer, err := f(server)
	if _, back := (line{l.network, l.to, l.from}).open(); back != nil {
		return none, back
	}
	return answer, err
}

func (l line) Execute(ctx context.Context, r *rpc.Command) (*rpc.Result, error) {
	return call(l, func(c rpc.Control) (*rpc.Result, error) { return c.Execute(ctx, r) })
}

func (l line) Watch(ctx context.Context, r *rpc.WatchRequest) (*rpc.WatchAnswer, error) {
	return call(l, func(c rpc.Control) (*rpc.WatchAnswer, error) { return c.Watch(ctx, r) })
}

func (l line) Join(ctx context.Context, r *rpc.JoinRequest) (*rpc.JoinAnswer, error) {
	return call(l, func(c rpc.Control) (*rpc.JoinAnswer, error) { return c.Join(ctx, r) })
}

func (l line) Deliver(ctx context.Context, r *rpc.DeliverRequest) (*rpc.DeliverAnswer, error) {
	return call(l, func(c rpc.Control) (*rpc.DeliverAnswer, error) {
		if l.network.repeats() {
			_, _ = c.Deliver(ctx, r)
		}
		return c.Deliver(ctx, r)
	})
}

// repeat lets messages of the log come twice from now on.
func (n *network) repeat() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.twice = true
}

func (n *network) repeats() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.twice
}

// cut stops messages between two addresses in both directions, or lets them
// through again.
func (n *network) cut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = cut
	n.cuts[[2]string{b, a}] = cut
}

// oneWay stops messages from a to b only.
func (n *network) oneWay(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[[2]string{a, b}] = cut
}

func (n *network) isolate(g *group, i int, cut bool) {
	for j := range g.disks {
		if j != i {
			n.cut(address(i), address(j), cut)
		}
	}
}

// memoryDisk outlives the servers that use it.
type memoryDisk struct {
	group   uint64
	replica replog.ReplicaID
	storage *replog.MemoryStorage
}

var lastReplica replog.ReplicaID

func (d *memoryDisk) NewReplicaID() (replog.ReplicaID, error) {
	if d.replica == replog.None {
		lastReplica++
		d.replica = lastReplica
	}
	return d.replica, nil
}

func (d *memoryDisk) Open() (Log, error) {
	if d.storage == nil {
		return nil, nil
	}
	return memoryLog{d.storage, d}, nil
}

func (d *memoryDisk) Create(group uint64, replica replog.ReplicaID, saved replog.PersistentState) (Log, error) {
	d.group, d.replica, d.storage = group, replica, replog.NewMemoryStorage(saved)
	return memoryLog{d.storage, d}, nil
}

type memoryLog struct {
	*replog.MemoryStorage
	disk *memoryDisk
}

func (l memoryLog) Identity() (uint64, replog.ReplicaID) { return l.disk.group, l.disk.replica }
func (l memoryLog) Close() error                         { return nil }

// group is the control instances of one test.
type group struct {
	t       *testing.T
	network *network
	disks   []*memoryDisk
	servers []*Server
	// snapshotBytes is given to servers that start from now on.
	snapshotBytes int
	// change, if set, changes the options of servers that start from now on.
	change func(i int, o *Options)
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
		g.disks = append(g.disks, &memoryDisk{})
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
		LogStore:      g.disks[i],
		TickInterval:  4 * time.Millisecond,
		ElectionTicks: 20,
		SnapshotBytes: g.snapshotBytes,
	}
	for j := range g.disks {
		if j != i {
			options.Peers = append(options.Peers, Instance{Name: tables.InstanceID(address(j)), Address: address(j)})
		}
	}
	if g.change != nil {
		g.change(i, &options)
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

// long bounds everything that has to happen in the end.
func (g *group) long() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	g.t.Cleanup(cancel)
	return ctx
}

// short bounds what has to happen soon, so that a test that fails ends.
func (g *group) short() context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	g.t.Cleanup(cancel)
	return ctx
}

func (g *group) barrier(i int) {
	assert.NilError(g.t, g.servers[i].Barrier(g.long()))
}

func (g *group) leader() int {
	for {
		for i, server := range g.servers {
			if server != nil && server.Status().IsLeader && server.Barrier(g.long()) == nil && server.Status().IsLeader {
				return i
			}
		}
		g.barrier(g.running())
	}
}

func (g *group) running() int {
	for i, server := range g.servers {
		if server != nil {
			return i
		}
	}
	return -1
}

// execute runs a command at one instance; nil means that it was not decided.
func (g *group) execute(i int, ctx context.Context, command *rpc.Command) *rpc.Result {
	result, err := g.servers[i].Execute(ctx, command)
	if err != nil {
		return nil
	}
	return result
}

// applyCommand declares one profile of the given name over what instance i has
// in force.
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
		Digest:   to.Declared(),
		Changes:  configuration.Changes(s.Content(), to),
	}}}
}

// server returns the running server at i, nil if there is none. It may be called
// while servers are replaced.
func (g *group) server(i int) *Server {
	g.network.mu.Lock()
	defer g.network.mu.Unlock()
	server, _ := g.network.servers[address(i)].(*Server)
	return server
}

// replace restarts instance i on a disk.
func (g *group) replace(i int, disk *memoryDisk) {
	g.stop(i)
	g.disks[i] = disk
	g.start(i)
}

// apply puts a configuration in force through instance i.
func (g *group) apply(i int, request, profile string) uint64 {
	g.barrier(i)
	command := g.applyCommand(i, "ama", request, uint64(g.servers[i].Revision()), profile)
	result := g.execute(i, g.long(), command)
	assert.Assert(g.t, result.GetAccepted() != nil, "%v", result)
	return result.GetAccepted().GetRevision().GetNumber()
}
