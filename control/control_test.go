package control

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/control/client"
	"github.com/carawaystile/carawaystile/control/configuration"
	"github.com/carawaystile/carawaystile/control/follower"
	"github.com/carawaystile/carawaystile/control/transport"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

func TestApplyIsInForceAtAllInstances(t *testing.T) {
	c := newCluster(t, 3, 6)
	assert.Equal(t, c.apply(0, "r1", 0, time.Second).GetAccepted().GetRevision().GetNumber(), uint64(1))
	assert.Equal(t, c.apply(1, "r2", 1, time.Minute).GetAccepted().GetRevision().GetNumber(), uint64(2))
	for i := range c.instances {
		c.awaitRevision(i, 2)
	}
}

// An operator applies over a base that another has replaced. The message must
// say who did, and what the refused content would change.
func TestConflictNamesWinnerAndDifference(t *testing.T) {
	c := newCluster(t, 3, 0)
	c.apply(0, "r1", 0, time.Second)
	conflict := c.apply(1, "r2", 0, time.Minute)
	assert.Equal(t, conflict.GetConflict().GetWinner().GetOperator(), "ama")
	assert.Equal(t, conflict.GetConflict().GetWinner().GetNumber(), uint64(1))
	assert.Equal(t, len(conflict.GetDifference()), 1)
	assert.Equal(t, conflict.GetDifference()[0].GetName(), "drafting")
	future := c.apply(1, "r3", 9, time.Minute)
	assert.Equal(t, future.GetConflict().GetInForce(), uint64(1))
	service := c.instances[2].service
	history, err := service.History(c.long(), &rpc.HistoryRequest{})
	assert.NilError(t, err)
	assert.Equal(t, len(history.GetRevisions()), 1)
	left, err := service.EndpointLeave(c.long(), &rpc.EndpointRequest{Operator: "ama", Request: "l", Endpoint: "e1"})
	assert.NilError(t, err)
	assert.Equal(t, left.GetAccepted().GetRevision().GetNumber(), uint64(2))
	in, err := service.Configuration(c.long(), &rpc.ConfigurationRequest{})
	assert.NilError(t, err)
	assert.Equal(t, in.GetRevision().GetNumber(), uint64(2))
}

// An instance is cut off from all control instances, not from the others. A new
// revision must reach it all the same.
func TestRevisionReachesInstanceThroughPeer(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.apply(0, "r1", 0, time.Second)
	c.awaitRevision(3, 1)
	for j := range c.controls {
		c.instances[3].cut.set(c.instances[j].address, true)
	}
	c.apply(0, "r2", 1, time.Minute)
	ctx := c.long()
	for revision := tables.Revision(1); revision < 2; {
		select {
		case revision = <-c.instances[3].inForce:
		case <-ctx.Done():
			t.Fatal("revision 2 has not come")
		}
	}
}

// An instance restarts while nobody can be reached. It must serve from its own
// copy at once, and not go back when it meets one that is behind.
func TestFollowerRestartsFromItsCopy(t *testing.T) {
	c := newCluster(t, 1, 0)
	c.apply(0, "r1", 0, time.Second)
	c.apply(0, "r2", 1, time.Minute)
	c.awaitRevision(0, 2)
	in := c.instances[0]
	in.follower.Close()
	in.follower = follower.Start(follower.Options{
		Files:           in.folder,
		Sources:         func() []follower.Source { return nil },
		OnConfiguration: func(configuration *tables.Configuration) { in.inForce <- configuration.Revision },
	})
	<-in.follower.Ready()
	revision, _ := in.follower.RevisionInForce()
	assert.Equal(t, revision, tables.Revision(2))
	behind := staleSource{&rpc.WatchAnswer{Revision: 1, Full: true, Items: declare(t, time.Second)}}
	assert.NilError(t, in.follower.Fetch(c.long(), behind, 0))
	revision, _ = in.follower.RevisionInForce()
	assert.Equal(t, revision, tables.Revision(2))
}

type staleSource struct{ answer *rpc.WatchAnswer }

func (s staleSource) Watch(context.Context, *rpc.WatchRequest) (*rpc.WatchAnswer, error) {
	return s.answer, nil
}

// A change is lost on the way to an instance. It notices by the digest and
// takes the whole content instead of serving a mixture.
func TestFollowerNoticesALostChange(t *testing.T) {
	c := newCluster(t, 1, 0)
	c.apply(0, "r1", 0, time.Second)
	c.awaitRevision(0, 1)
	lossy := &lossySource{items: declare(t, time.Hour)}
	assert.NilError(t, c.instances[0].follower.Fetch(c.long(), lossy, 0))
	assert.Equal(t, lossy.asked, 2)
	revision, _ := c.instances[0].follower.RevisionInForce()
	assert.Equal(t, revision, tables.Revision(5))
}

type lossySource struct {
	items []*rpc.Item
	asked int
}

func (s *lossySource) Watch(_ context.Context, r *rpc.WatchRequest) (*rpc.WatchAnswer, error) {
	s.asked++
	answer := &rpc.WatchAnswer{Revision: 5, Digest: configuration.NewContent(s.items).Digest()}
	if r.GetRevision() == 0 {
		answer.Full, answer.Items = true, s.items
	}
	return answer, nil
}

// A caller sends one key through every instance at once, as a build desk does
// when answers are slow. One instance may run the work; the others wait for its
// answer, and get it.
func TestOneClaimThroughManyInstances(t *testing.T) {
	c := newCluster(t, 3, 6)
	body := tables.BodyHash{1}
	grants := make(chan tables.ClaimResult, len(c.instances))
	for _, in := range c.instances {
		go func() {
			grant, err := in.claims.Claim(c.long(), "press", "note", body)
			assert.Check(t, err)
			grants <- grant
		}()
	}
	var owner []tables.ClaimResult
	for range c.instances {
		grant := <-grants
		if grant.State == tables.ClaimGranted {
			owner = append(owner, grant)
			continue
		}
		assert.Equal(t, grant.State, tables.ClaimInProgress)
	}
	assert.Equal(t, len(owner), 1)
	claims := c.instances[0].claims
	assert.NilError(t, claims.MarkDispatched(c.long(), owner[0]))
	assert.ErrorContains(t, claims.MarkDispatched(c.long(), owner[0]), "is lost")
	answer := tables.StoredResponse{Status: 200, ContentType: "text/plain", Body: []byte("published"), Tokens: 3}
	assert.NilError(t, claims.Finish(c.long(), owner[0], answer))
	for _, in := range c.instances {
		resend, err := in.claims.Claim(c.long(), "press", "note", body)
		assert.NilError(t, err)
		assert.Equal(t, resend.State, tables.ClaimCompleted)
		assert.DeepEqual(t, resend.Response, answer)
	}
	_, err := claims.Claim(c.long(), "press", "note", tables.BodyHash{2})
	assert.ErrorContains(t, err, "different request")
}

// The quorum is lost when the work has run. The caller has its answer; the
// entry keeps it until the quorum is back, so that a resend gets it too.
func TestAnswerIsStoredOnceTheQuorumIsBack(t *testing.T) {
	c := newCluster(t, 3, 1)
	in := c.instances[3]
	grant, err := in.claims.Claim(c.long(), "press", "note", tables.BodyHash{1})
	assert.NilError(t, err)
	assert.NilError(t, in.claims.MarkDispatched(c.long(), grant))
	for j := range c.controls {
		in.cut.set(c.instances[j].address, true)
	}
	short, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	err = in.claims.Finish(short, grant, tables.StoredResponse{Status: 200})
	assert.ErrorContains(t, err, "no quorum")
	_, err = in.claims.Claim(short, "press", "other", tables.BodyHash{1})
	assert.ErrorContains(t, err, "no quorum")
	for j := range c.controls {
		in.cut.set(c.instances[j].address, false)
	}
	ctx := c.long()
	for {
		resend, err := c.instances[0].claims.Claim(ctx, "press", "note", tables.BodyHash{1})
		assert.NilError(t, err)
		if resend.State == tables.ClaimCompleted {
			return
		}
	}
}

func TestWrongKeyIsRefused(t *testing.T) {
	c := newCluster(t, 1, 0)
	dialer := transport.NewDialer(http.DefaultClient)
	_, err := dialer.Control(c.instances[0].address).Execute(c.long(), &rpc.Command{})
	assert.Assert(t, err != nil && strings.Contains(err.Error(), "401"), "%v", err)
}

// A claim is granted but its answer is lost, and the caller is told that nothing
// ran. The instance lives on, so nobody may take its claims over. The caller's
// resend must still be able to run, through any instance.
func TestResendAfterALostGrant(t *testing.T) {
	c := newCluster(t, 1, 0)
	in := c.instances[0]
	lossy := &lossyExecutor{Executor: in.dialer.Control(in.address)}
	claims := client.NewClaimClient(client.ClaimClientOptions{
		Executor: lossy, Instance: "lossy", Boot: 1, Now: func() tables.Instant { return 0 },
	})
	t.Cleanup(claims.Close)
	for _, key := range []tables.IdempotencyKey{"same", "other"} {
		lossy.lose.Store(true)
		_, err := claims.Claim(c.long(), "press", key, tables.BodyHash{1})
		assert.ErrorContains(t, err, "lost")
		lossy.lose.Store(false)
	}
	again, err := claims.Claim(c.long(), "press", "same", tables.BodyHash{1})
	assert.NilError(t, err)
	assert.Equal(t, again.State, tables.ClaimGranted)
	second, err := claims.Claim(c.long(), "press", "same", tables.BodyHash{1})
	assert.NilError(t, err)
	assert.Equal(t, second.State, tables.ClaimInProgress)
	assert.NilError(t, claims.MarkDispatched(c.long(), again))
	for {
		elsewhere, err := in.claims.Claim(c.long(), "press", "other", tables.BodyHash{1})
		assert.NilError(t, err)
		if elsewhere.State == tables.ClaimGranted {
			return
		}
	}
}

// lossyExecutor loses answers.
type lossyExecutor struct {
	client.Executor
	lose atomic.Bool
}

func (l *lossyExecutor) Execute(ctx context.Context, command *rpc.Command) (*rpc.Result, error) {
	result, err := l.Executor.Execute(ctx, command)
	if l.lose.Load() {
		return nil, &tables.NoQuorumError{Operation: "claim", Cause: &lostAnswer{}}
	}
	return result, err
}

type lostAnswer struct{}

func (*lostAnswer) Error() string { return "answer lost" }

// An instance without a copy starts while the first instance that it asks does
// not answer. It must not wait for that one: until it has a configuration it can
// serve nobody.
func TestSilentSourceDoesNotHoldUpTheStart(t *testing.T) {
	silent := silentSource(make(chan struct{}))
	items := declare(t, time.Second)
	answer := &rpc.WatchAnswer{Revision: 3, Full: true, Items: items, Digest: configuration.NewContent(items).Digest()}
	f := follower.Start(follower.Options{
		Sources:         func() []follower.Source { return []follower.Source{silent, staleSource{answer}} },
		OnConfiguration: func(*tables.Configuration) {},
	})
	defer f.Close()
	defer close(silent)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	select {
	case <-f.Ready():
	case <-ctx.Done():
		t.Fatal("the silent instance was waited for")
	}
}

// silentSource gives no answer before it is closed.
type silentSource chan struct{}

func (s silentSource) Watch(context.Context, *rpc.WatchRequest) (*rpc.WatchAnswer, error) {
	<-s
	return nil, &lostAnswer{}
}

// Hundreds of instances tell of a revision at the same moment. Asking each of
// them would bring the same content as many times.
func TestNewerRevisionIsFetchedOnce(t *testing.T) {
	c := newCluster(t, 1, 0)
	counting := &blockingSource{asked: make(chan struct{}, 8), answer: make(chan struct{})}
	f := c.instances[0].follower
	assert.NilError(t, f.FetchNewer(c.long(), counting))
	assert.Equal(t, len(counting.asked), 0)
	c.apply(0, "r1", 0, time.Second)
	<-f.Ready()
	first := make(chan error)
	go func() { first <- f.FetchNewer(c.long(), counting) }()
	<-counting.asked
	assert.NilError(t, f.FetchNewer(c.long(), counting))
	assert.Equal(t, len(counting.asked), 0)
	close(counting.answer)
	assert.NilError(t, <-first)
	assert.NilError(t, f.FetchNewer(c.long(), counting))
	assert.Equal(t, len(counting.asked), 1)
}

// blockingSource has nothing new, and says so once answer is closed.
type blockingSource struct {
	asked  chan struct{}
	answer chan struct{}
}

func (s *blockingSource) Watch(_ context.Context, r *rpc.WatchRequest) (*rpc.WatchAnswer, error) {
	s.asked <- struct{}{}
	<-s.answer
	return &rpc.WatchAnswer{Revision: r.GetRevision()}, nil
}
