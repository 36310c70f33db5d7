package deployment

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// Guards against a target version that is confirmed by a control instance without a quorum, which cannot know
// whether there is a newer one, or not confirmed because one control instance does not answer.
func TestTargetsAreReadWithAQuorum(t *testing.T) {
	replica := startSingleReplica(t)
	s := NewService(Options{
		Replica: replica, Fleet: fleet.NewTable(1), HoldsOrderLease: func() bool { return true }, Now: func() tables.Instant { return 0 },
	})
	assert.NilError(t, s.Put(t.Context(), WeightsDocument("m"), 4, nil))
	current := Source{Name: "current", Deployment: &wireSource{Service: s}}
	failing := Source{Name: "failing", Deployment: &scriptedSource{}}
	silent := Source{Name: "silent", Deployment: &scriptedSource{targets: func(ctx context.Context) (*rpc.TargetsAnswer, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}}}
	for _, sources := range [][]Source{{current}, {failing, current}, {silent, current}, {silent, failing, current}} {
		targets, err := AskTargets(t.Context(), sources)
		assert.NilError(t, err)
		assert.DeepEqual(t, targets, map[string]uint64{"m": 4})
	}
	replica.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	for _, sources := range [][]Source{nil, {failing}, {current, silent}} {
		_, err := AskTargets(ctx, sources)
		var unknown *NoTargetsError
		assert.Assert(t, errors.As(err, &unknown), "%v", err)
	}
}

// Guards against an answer that counts as current although it lacks a document that was accepted before.
func TestAnswerAfterTheWaitHasNewerDocuments(t *testing.T) {
	s := NewService(Options{Fleet: fleet.NewTable(1)})
	timeout, polls := make(chan time.Time), 0
	close(timeout)
	answer := s.awaitUpdate(t.Context(), timeout, func() pendingUpdate {
		if polls++; polls == 1 {
			return pendingUpdate{answer: &rpc.FollowAnswer{}}
		}
		return pendingUpdate{answer: &rpc.FollowAnswer{Documents: []*rpc.Document{{Name: "d"}}}}
	})
	assert.Equal(t, len(answer.GetDocuments()), 1)
}
