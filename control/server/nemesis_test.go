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

var nemesisRounds = flag.Int("nemesis.rounds", 12, "faults in the test of a group under faults")

// slowDisk takes its time to read the log.
type slowDisk struct {
	*memoryDisk
	read chan struct{}
}

func (d slowDisk) Open() (Log, error) {
	log, err := d.memoryDisk.Open()
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

// A replica is still reading its disk when one whose disk was lost asks it for
// the group. If it seemed to have no state, the other one would found a second
// group beside the first, and an empty configuration would come in force.
func TestStartingReplicaIsNotTakenForEmpty(t *testing.T) {
	g := newGroup(t, 1)
	g.stop(0)
	read := make(chan struct{})
	server, err := Start(Options{
		Self:     Instance{Name: "control-0", Address: address(0)},
		Dialer:   dialer{g.network, address(0)},
		LogStore: slowDisk{g.disks[0], read},
	})
	assert.NilError(t, err)
	defer server.Close()
	_, err = server.Join(g.long(), &rpc.JoinRequest{})
	assert.ErrorContains(t, err, string(NotJoined))
	close(read)
	assert.NilError(t, server.until(g.long(), func() bool { return server.view.formed }))
	answer, err := server.Join(g.long(), &rpc.JoinRequest{})
	assert.NilError(t, err)
	assert.Assert(t, answer.GetFormed())
}

// history is what callers of a group saw.
type history struct {
	mu sync.Mutex
	// winners is the request that each revision was given to, accepted the
	// revision that each request was answered with.
	winners  map[uint64]string
	accepted map[string]uint64
	// runs counts dispatches by key.
	runs map[string]int
	// highest is the highest revision seen at each replica's disk.
	highest map[*memoryDisk]tables.Revision
}

func (h *history) noteAccepted(t *testing.T, request string, number uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	winner, taken := h.winners[number]
	assert.Check(t, !taken || winner == request, "revision %d given to %s and %s", number, winner, request)
	first, answered := h.accepted[request]
	assert.Check(t, !answered || first == number, "request %s answered with %d and %d", request, first, number)
	h.winners[number] = request
	h.accepted[request] = number
}

// operate applies configurations through random instances, and resends each
// request once it was answered.
func (g *group) operate(ctx context.Context, h *history, name string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	for n := 0; ctx.Err() == nil; n++ {
		server := g.server(random.IntN(len(g.disks)))
		if server == nil {
			continue
		}
		command := applyTo(g.t, server, name, fmt.Sprint(name, n))
		for range 2 {
			bounded, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			result, err := server.Execute(bounded, command)
			cancel()
			if err == nil && result.GetAccepted() != nil {
				h.noteAccepted(g.t, command.GetApply().GetRequest(), result.GetAccepted().GetRevision().GetNumber())
			}
			if other := g.server(random.IntN(len(g.disks))); other != nil {
				server = other
			}
		}
	}
}

// call claims keys through random instances, and counts what it may dispatch.
func (g *group) call(ctx context.Context, h *history, owner string, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 2))
	for n := 0; ctx.Err() == nil; n++ {
		server := g.server(random.IntN(len(g.disks)))
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
				h.runs[key]++
				h.mu.Unlock()
			}
		}
		cancel()
	}
}

// applyTo declares a profile over what the server has in force.
func applyTo(t *testing.T, server *Server, operator, request string) *rpc.Command {
	items := profileItems(t, request)
	var command *rpc.Command
	server.View(func(s *state.State) {
		command = applyOver(s, operator, request, uint64(s.Revision()), items)
	})
	return command
}

// A group lives through cuts in both and in one direction, restarts and lost
// disks while operators race and callers send the same keys. No revision may
// have two winners, no replica may go back, no key may be dispatched twice, and
// what was accepted must still be there in the end.
func TestGroupUnderFaults(t *testing.T) {
	g := newGroup(t, 5)
	g.network.repeat()
	h := &history{
		winners:  map[uint64]string{},
		accepted: map[string]uint64{},
		runs:     map[string]int{},
		highest:  map[*memoryDisk]tables.Revision{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for i := range 3 {
		callers.Go(func() { g.operate(ctx, h, fmt.Sprint("operator", i), uint64(i)) })
		callers.Go(func() { g.call(ctx, h, fmt.Sprint("owner", i), uint64(i)) })
	}
	random := rand.New(rand.NewPCG(7, 7))
	for range *nemesisRounds {
		g.fault(random, h)
	}
	cancel()
	callers.Wait()
	g.barrier(0)
	g.checkHistory(h)
}

// fault does one random damage, waits until the group has lived with it, and
// heals it.
func (g *group) fault(random *rand.Rand, h *history) {
	i := random.IntN(len(g.disks))
	switch random.IntN(4) {
	case 0:
		g.network.isolate(g, i, true)
		g.others(i, i)
		g.network.isolate(g, i, false)
	case 1:
		j := (i + 1 + random.IntN(len(g.disks)-1)) % len(g.disks)
		g.network.oneWay(address(i), address(j), true)
		g.others(i, j)
		g.network.oneWay(address(i), address(j), false)
	case 2:
		g.noteRevision(i, h)
		g.replace(i, g.disks[i])
		g.barrier(i)
		g.noteRevision(i, h)
	case 3:
		g.replace(i, &memoryDisk{})
		server := g.server(i)
		assert.NilError(g.t, server.until(g.long(), func() bool { return server.view.voter }))
	}
	g.barrier(i)
}

// others has the rest of the group decide something.
func (g *group) others(i, j int) {
	for k := range g.disks {
		if k != i && k != j {
			g.barrier(k)
			return
		}
	}
}

// noteRevision checks that a replica with this disk has not gone back.
func (g *group) noteRevision(i int, h *history) {
	revision := g.server(i).Revision()
	assert.Assert(g.t, revision >= h.highest[g.disks[i]])
	h.highest[g.disks[i]] = revision
}

func (g *group) checkHistory(h *history) {
	assert.Assert(g.t, len(h.winners) > 0)
	assert.Assert(g.t, len(h.runs) > 0)
	for key, runs := range h.runs {
		assert.Assert(g.t, runs <= 1, "%s was dispatched %d times", key, runs)
	}
	g.servers[0].View(func(s *state.State) {
		// The history is bounded; revisions before it can't be looked up.
		maps.DeleteFunc(h.winners, func(number uint64, _ string) bool {
			return number < s.History()[0].GetNumber()
		})
		for _, revision := range s.History() {
			winner, answered := h.winners[revision.GetNumber()]
			assert.Assert(g.t, !answered || winner == revision.GetRequest(), "revision %d", revision.GetNumber())
			delete(h.winners, revision.GetNumber())
		}
	})
	assert.Equal(g.t, len(h.winners), 0, "accepted revisions were lost")
}
