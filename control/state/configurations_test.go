package state

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/carawaystile/carawaystile/control/configuration"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// contentOf returns a configuration with an endpoint e1, and an endpoint and a
// profile that are named after mark.
func contentOf(t assert.TestingT, mark string) *configuration.Content {
	items, err := configuration.Encode(tables.Configuration{
		WeightLoads: 2,
		Profiles:    []tables.Profile{{Name: tables.ProfileName("p-" + mark)}},
		Endpoints:   []tables.Endpoint{{ID: "e1"}, {ID: tables.EndpointID("e-" + mark)}},
	})
	assert.NilError(t, err)
	return configuration.NewContent(items)
}

func (w *harness) applyCommand(operator, request string, base uint64, to *configuration.Content) *rpc.Command {
	return &rpc.Command{Wall: 7, Action: &rpc.Command_Apply{Apply: &rpc.ApplyConfiguration{
		Operator: operator,
		Request:  request,
		Base:     base,
		Digest:   to.DeclaredDigest(),
		Changes:  configuration.ChangedItems(w.Content(), to),
	}}}
}

func (w *harness) changeLife(request string, join bool, life uint64) *rpc.Result {
	return w.run(&rpc.Command{Action: &rpc.Command_ChangeLife{ChangeLife: &rpc.ChangeLife{
		Operator: "ama", Request: request, Endpoint: "e1", Join: join, Life: life,
	}}})
}

func (w *harness) endpoint(t assert.TestingT) tables.Endpoint {
	decoded, err := w.Content().Decode(w.Revision())
	assert.NilError(t, err)
	for _, endpoint := range decoded.Endpoints {
		if endpoint.ID == "e1" {
			return endpoint
		}
	}
	return tables.Endpoint{}
}

// Two operators read the same revision and apply different contents. If both
// were accepted, one of them would rely on a change that is not in force. The
// second gets a conflict that names the winner.
func TestConcurrentApplyReturnsConflict(t *testing.T) {
	w := newHarness()
	ama := w.applyCommand("ama", "r", 0, contentOf(t, "a"))
	eleri := w.applyCommand("eleri", "r", 0, contentOf(t, "b"))
	assert.Equal(t, w.run(ama).GetAccepted().GetRevision().GetNumber(), uint64(1))
	conflict := w.run(eleri).GetConflict()
	assert.Equal(t, conflict.GetWinner().GetOperator(), "ama")
	assert.Equal(t, conflict.GetWinner().GetNumber(), uint64(1))
	assert.Equal(t, conflict.GetWinner().GetWall(), int64(7))
	assert.Equal(t, w.Content().DeclaredDigest(), contentOf(t, "a").DeclaredDigest())
}

// The answer to an apply is lost, newer revisions follow, and the operator
// resends the first request. It must return the lost answer and must not revert
// the newer revisions.
func TestResentApplyReturnsFirstAnswer(t *testing.T) {
	w := newHarness()
	first := w.applyCommand("ama", "r1", 0, contentOf(t, "a"))
	w.run(first)
	w.run(w.applyCommand("eleri", "r2", 1, contentOf(t, "b")))
	again := w.run(first).GetAccepted()
	assert.Assert(t, again.GetResent())
	assert.Equal(t, again.GetRevision().GetNumber(), uint64(1))
	assert.Equal(t, w.Revision(), tables.Revision(2))
	assert.Equal(t, w.Content().DeclaredDigest(), contentOf(t, "b").DeclaredDigest())
	other := w.applyCommand("ama", "r1", 2, contentOf(t, "c"))
	assert.Equal(t, refusalReason(w.run(other)), rpc.RefusalReason_REFUSED_REQUEST_REUSED)
}

// A leave is sent, the endpoint joins again, and a late duplicate of the leave
// arrives. The new life must keep serving. A leave must also survive applies
// whose authors did not know of it.
func TestLeaveAppliesOnlyToItsEndpointLife(t *testing.T) {
	w := newHarness()
	w.run(w.applyCommand("ama", "r", 0, contentOf(t, "a")))
	assert.Equal(t, w.changeLife("leave", false, 0).GetAccepted().GetRevision().GetNumber(), uint64(2))
	w.run(w.applyCommand("ama", "r2", 2, contentOf(t, "b")))
	assert.Assert(t, w.endpoint(t).Leaving)
	w.changeLife("join", true, 0)
	assert.Assert(t, !w.endpoint(t).Leaving)
	assert.Equal(t, w.endpoint(t).Life, uint64(2))
	assert.Assert(t, w.changeLife("leave", false, 0).GetAccepted().GetResent())
	assert.Assert(t, !w.endpoint(t).Leaving)
	w.changeLife("join2", true, 2)
	assert.Equal(t, refusalReason(w.changeLife("late", false, 2)), rpc.RefusalReason_REFUSED_OLD_LIFE)
	assert.Assert(t, !w.endpoint(t).Leaving)
}

// Changes that were computed against another revision than the named base would
// put a mixture of two contents in force.
func TestApplyRejectsChangesThatMissTheDigest(t *testing.T) {
	w := newHarness()
	command := w.applyCommand("ama", "r", 0, contentOf(t, "a"))
	command.GetApply().Changes = command.GetApply().Changes[1:]
	assert.Equal(t, refusalReason(w.run(command)), rpc.RefusalReason_REFUSED_MALFORMED)
	assert.Equal(t, w.Revision(), tables.Revision(0))
}

// Operators race for revision numbers and resend requests; the network
// duplicates and reorders; replicas are restored from snapshots; a follower
// fetches changes at arbitrary times. Each revision number must have one winner
// and the revision must never decrease.
func TestRevisionsAreUniqueAndMonotonic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w, replica := newHarness(), newHarness()
		w.limits.MaxRevisions = 5
		w.configuration.limits.MaxRevisions = 5
		var sent []*rpc.Command
		winners := map[uint64]string{}
		firstAnswers := map[string]uint64{}
		seen := tables.Revision(0)
		follower, followerRevision := configuration.NewContent(nil), tables.Revision(0)
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				operator := rapid.SampledFrom([]string{"ama", "eleri"}).Draw(t, "operator")
				base := rapid.Uint64Range(0, uint64(w.Revision())).Draw(t, "base")
				content := contentOf(t, fmt.Sprint(len(sent)))
				sent = append(sent, w.applyCommand(operator, fmt.Sprint(len(sent)), base, content))
			},
			"deliver": func(t *rapid.T) {
				if len(sent) == 0 {
					t.Skip("nothing sent")
				}
				command := rapid.SampledFrom(sent).Draw(t, "command")
				result := w.run(command)
				request, number := command.GetApply().GetRequest(), result.GetAccepted().GetRevision().GetNumber()
				if first, ok := firstAnswers[request]; ok {
					assert.Equal(t, number, first)
				}
				if result.GetRefusal() == nil {
					firstAnswers[request] = number
				}
				if number > 0 {
					winner, ok := winners[number]
					assert.Assert(t, !ok || winner == request, "revision %d has two winners", number)
					winners[number] = request
				}
			},
			"leave or join": func(t *rapid.T) {
				w.changeLife(fmt.Sprint("life", w.index), rapid.Bool().Draw(t, "join"), 0)
			},
			"follow": func(*rapid.T) {
				if changes, ok := w.ChangesSince(followerRevision); ok {
					follower.Apply(changes)
				} else {
					follower = configuration.NewContent(w.Content().Items())
				}
				followerRevision = w.Revision()
				assert.Equal(t, follower.Digest(), w.Content().Digest())
			},
			"snapshot": func(*rapid.T) {
				encoded, err := w.Snapshot()
				assert.NilError(t, err)
				assert.NilError(t, replica.Restore(encoded))
				again, err := replica.Snapshot()
				assert.NilError(t, err)
				assert.DeepEqual(t, encoded, again)
				w.State, replica.State = replica.State, w.State
			},
			"": func(t *rapid.T) {
				assert.Assert(t, w.Revision() >= seen)
				seen = w.Revision()
			},
		})
	})
}
