package server

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/control/state"
	"github.com/carawaystile/carawaystile/replog"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

var nemesisRounds = flag.Int("nemesis.rounds", 12, "number of faults that TestInvariantsUnderRandomFaults injects")

// slowLogStore opens a log that blocks in Load until read is closed.
type slowLogStore struct {
	*memoryLogStore
	read chan struct{}
}

func (d slowLogStore) Open() (Log, error) {
	log, err := d.memoryLogStore.Open()
	return slowLog{log, d.read}, err
}

type slowLog struct {
	Log
	read chan struct{}
}

func (l slowLog) Load() (replog.PersistentState, error) {
	<-l.read
	return l.Log.Load()
}

// Guards against a second group. A replica that is still reading its log gets a
// join request from one that has lost its disk. If it answered like a replica
// without state, the other one would bootstrap a second group, and an empty
// configuration would come into force.
func TestStartingReplicaRejectsJoin(t *testing.T) {
	g := newGroup(t, 1)
	g.stop(0)
	read := make(chan struct{})
	server, err := Start(Options{
		Self:     Instance{Name: "control-0", Address: address(0)},
		Dialer:   dialer{g.network, address(0)},
		LogStore: slowLogStore{g.logStores[0], read},
	})
	assert.NilError(t, err)
	defer server.Close()
	_, err = server.Join(g.longContext(), &rpc.JoinRequest{})
	assert.ErrorContains(t, err, string(NotJoined))
	close(read)
	assert.NilError(t, server.waitUntil(g.longContext(), func() bool { return server.view.joined }))
	answer, err := server.Join(g.longContext(), &rpc.JoinRequest{})
	assert.NilError(t, err)
	assert.Assert(t, answer.GetFormed())
}

// history records what the clients of a group observe.
type history struct {
	mu sync.Mutex
	// requestByRevision is the request that was accepted as each revision,
	// revisionByRequest the revision that each request was answered with.
	requestByRevision map[uint64]string
	revisionByRequest map[string]uint64
	// dispatches counts the dispatches that were granted, by key.
	dispatches map[string]int
	// highestRevision is the highest revision observed at the replica on each disk.
	highestRevision map[*memoryLogStore]tables.Revision
}

func (h *history) recordAccepted(t *testing.T, request string, number uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	winner, taken := h.requestByRevision[number]
	assert.Check(t, !taken || winner == request, "revision %d was assigned to requests %s and %s", number, winner, request)
	first, answered := h.revisionByRequest[request]
	assert.Check(t, !answered || first == number, "request %s was answered with revisions %d and %d", request, first, number)
	h.requestByRevision[number] = request
	h.revisionByRequest[request] = number
}

// applyConfigurations applies configurations through random instances, and sends
// each request a second time.
func (g *group) applyConfigurations(ctx context.Context, h *history, name string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	for n := 0; ctx.Err() == nil; n++ {
		server := g.runningServer(random.IntN(len(g.logStores)))
		if server == nil {
			continue
		}
		command := newApplyCommand(g.t, server, name, fmt.Sprint(name, n))
		for range 2 {
			bounded, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			result, err := server.Execute(bounded, command)
			cancel()
			if err == nil && result.GetAccepted() != nil {
				h.recordAccepted(g.t, command.GetApply().GetRequest(), result.GetAccepted().GetRevision().GetNumber())
			}
			if other := g.runningServer(random.IntN(len(g.logStores))); other != nil {
				server = other
			}
		}
	}
}

// claimKeys claims keys through random instances, and counts the dispatches that it
// is granted.
func (g *group) claimKeys(ctx context.Context, h *history, owner string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	for n := 0; ctx.Err() == nil; n++ {
		server := g.runningServer(random.IntN(len(g.logStores)))
		if server == nil {
			continue
		}
		key := fmt.Sprint("key", n/4)
		claim := claimCommand(owner, fmt.Sprint(owner, n))
		claim.GetClaim().Key = key
		bounded, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
		result, err := server.Execute(bounded, claim)
		if err == nil && result.GetClaim().GetState() == rpc.ClaimState_CLAIM_NEW {
			mark := markCommand(result.GetClaim().GetFence(), fmt.Sprint(owner, n))
			mark.GetMarkDispatched().Key = key
			marked, err := server.Execute(bounded, mark)
			if err == nil && marked.GetDone() != nil {
				h.mu.Lock()
				h.dispatches[key]++
				h.mu.Unlock()
			}
		}
		cancel()
	}
}

// newApplyCommand returns a command that adds a profile to the configuration in
// force at the server.
func newApplyCommand(t *testing.T, server *Server, operator, request string) *rpc.Command {
	items := profileItems(t, request)
	var command *rpc.Command
	server.View(func(s *state.State) {
		command = applyOver(s, operator, request, uint64(s.Revision()), items)
	})
	return command
}

// Guards against violated invariants under two-way and one-way partitions, restarts
// and lost disks, while operators race and clients claim the same keys. No revision
// may be assigned to two requests, no replica may return to an older revision, no
// key may be dispatched twice, and accepted revisions must still exist at the end.
func TestInvariantsUnderRandomFaults(t *testing.T) {
	g := newGroup(t, 5)
	g.network.duplicateMessages()
	h := &history{
		requestByRevision: map[uint64]string{},
		revisionByRequest: map[string]uint64{},
		dispatches:        map[string]int{},
		highestRevision:   map[*memoryLogStore]tables.Revision{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range 3 {
		callers.Go(func() { g.applyConfigurations(ctx, h, fmt.Sprint("operator", i), uint64(i)) })
		callers.Go(func() { g.claimKeys(ctx, h, fmt.Sprint("owner", i), uint64(i)) })
	}
	random := rand.New(rand.NewPCG(7, 7))
	for range *nemesisRounds {
		g.injectFault(random, h)
	}
	cancel()
	callers.Wait()
	g.barrier(0)
	g.checkHistory(h)
}

// injectFault injects one random fault, waits until the rest of the group has
// committed something, and heals the fault.
func (g *group) injectFault(random *rand.Rand, h *history) {
	i := random.IntN(len(g.logStores))
	switch random.IntN(4) {
	case 0:
		g.network.setIsolated(g, i, true)
		g.barrierElsewhere(i, i)
		g.network.setIsolated(g, i, false)
	case 1:
		j := (i + 1 + random.IntN(len(g.logStores)-1)) % len(g.logStores)
		g.network.setOneWayCut(address(i), address(j), true)
		g.barrierElsewhere(i, j)
		g.network.setOneWayCut(address(i), address(j), false)
	case 2:
		g.checkRevisionMonotonic(i, h)
		g.replace(i, g.logStores[i])
		g.barrier(i)
		g.checkRevisionMonotonic(i, h)
	case 3:
		g.replace(i, &memoryLogStore{})
		server := g.runningServer(i)
		assert.NilError(g.t, server.waitUntil(g.longContext(), func() bool { return server.view.isVoter }))
	}
	g.barrier(i)
}

// barrierElsewhere has the rest of the group commit an entry.
func (g *group) barrierElsewhere(i, j int) {
	for k := range g.logStores {
		if k != i && k != j {
			g.barrier(k)
			return
		}
	}
}

// checkRevisionMonotonic checks that the replica on this disk has not returned to
// an older revision.
func (g *group) checkRevisionMonotonic(i int, h *history) {
	revision := g.runningServer(i).Revision()
	assert.Assert(g.t, revision >= h.highestRevision[g.logStores[i]])
	h.highestRevision[g.logStores[i]] = revision
}

func (g *group) checkHistory(h *history) {
	assert.Assert(g.t, len(h.requestByRevision) > 0)
	assert.Assert(g.t, len(h.dispatches) > 0)
	for key, runs := range h.dispatches {
		assert.Assert(g.t, runs <= 1, "key %s was dispatched %d times", key, runs)
	}
	g.servers[0].View(func(s *state.State) {
		// The history is bounded; earlier revisions cannot be looked up.
		maps.DeleteFunc(h.requestByRevision, func(number uint64, _ string) bool {
			return number < s.History()[0].GetNumber()
		})
		for _, revision := range s.History() {
			winner, answered := h.requestByRevision[revision.GetNumber()]
			assert.Assert(g.t, !answered || winner == revision.GetRequest(), "revision %d belongs to another request than the accepted one", revision.GetNumber())
			delete(h.requestByRevision, revision.GetNumber())
		}
	})
	assert.Equal(g.t, len(h.requestByRevision), 0, "accepted revisions were lost")
}
