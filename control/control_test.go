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

// Changes through different control instances must be applied at all instances.
func TestApplyReachesAllInstances(t *testing.T) {
	c := newCluster(t, 3, 6)
	assert.Equal(t, c.apply(0, "r1", 0, time.Second).GetAccepted().GetRevision().GetNumber(), uint64(1))
	assert.Equal(t, c.apply(1, "r2", 1, time.Minute).GetAccepted().GetRevision().GetNumber(), uint64(2))
	for i := range c.instances {
		c.awaitRevision(i, 2)
	}
}

// An operator applies a configuration against a base that another change has
// replaced. The conflict must name the winning revision and its operator, and the
// changes that the rejected content would make.
func TestConflictReportsWinnerAndDiff(t *testing.T) {
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
	history, err := service.History(c.testContext(), &rpc.HistoryRequest{})
	assert.NilError(t, err)
	assert.Equal(t, len(history.GetRevisions()), 1)
	left, err := service.EndpointLeave(c.testContext(), &rpc.EndpointRequest{Operator: "ama", Request: "l", Endpoint: "e1"})
	assert.NilError(t, err)
	assert.Equal(t, left.GetAccepted().GetRevision().GetNumber(), uint64(2))
	in, err := service.Configuration(c.testContext(), &rpc.ConfigurationRequest{})
	assert.NilError(t, err)
	assert.Equal(t, in.GetRevision().GetNumber(), uint64(2))
}

// An instance that is partitioned from all control instances must still receive new
// revisions through another instance.
func TestRevisionReachesInstanceThroughPeer(t *testing.T) {
	c := newCluster(t, 3, 2)
	c.apply(0, "r1", 0, time.Second)
	c.awaitRevision(3, 1)
	for j := range c.controlCount {
		c.instances[3].partition.setBlocked(c.instances[j].address, true)
	}
	c.apply(0, "r2", 1, time.Minute)
	ctx := c.testContext()
	for revision := tables.Revision(1); revision < 2; {
		select {
		case revision = <-c.instances[3].inForce:
		case <-ctx.Done():
			t.Fatal("revision 2 was not applied")
		}
	}
}

// An instance that restarts while no source is reachable must immediately apply its
// cached copy, and must not revert to an older revision when it reaches a source
// that lags behind.
func TestFollowerRestartsFromCachedCopy(t *testing.T) {
	c := newCluster(t, 1, 0)
	c.apply(0, "r1", 0, time.Second)
	c.apply(0, "r2", 1, time.Minute)
	c.awaitRevision(0, 2)
	in := c.instances[0]
	in.follower.Close()
	in.follower = follower.Start(follower.Options{
		Files:           in.dataFolder,
		Sources:         func() []follower.Source { return nil },
		OnConfiguration: func(configuration *tables.Configuration) { in.inForce <- configuration.Revision },
	})
	<-in.follower.Ready()
	revision, _ := in.follower.RevisionInForce()
	assert.Equal(t, revision, tables.Revision(2))
	behind := fixedSource{&rpc.WatchAnswer{Revision: 1, Full: true, Items: encodedItems(t, time.Second)}}
	assert.NilError(t, in.follower.Fetch(c.testContext(), behind, 0))
	revision, _ = in.follower.RevisionInForce()
	assert.Equal(t, revision, tables.Revision(2))
}

// fixedSource always returns the same reply.
type fixedSource struct{ answer *rpc.WatchAnswer }

func (s fixedSource) Watch(context.Context, *rpc.WatchRequest) (*rpc.WatchAnswer, error) {
	return s.answer, nil
}

// If an incremental change is lost in transfer, the follower must detect the wrong
// digest and fetch the complete configuration instead of applying a mixture.
func TestFollowerRefetchesAfterDigestMismatch(t *testing.T) {
	c := newCluster(t, 1, 0)
	c.apply(0, "r1", 0, time.Second)
	c.awaitRevision(0, 1)
	source := &wrongDigestSource{items: encodedItems(t, time.Hour)}
	assert.NilError(t, c.instances[0].follower.Fetch(c.testContext(), source, 0))
	assert.Equal(t, source.asked, 2)
	revision, _ := c.instances[0].follower.RevisionInForce()
	assert.Equal(t, revision, tables.Revision(5))
}

// wrongDigestSource returns an incremental reply whose items are missing, and the
// complete configuration on request.
type wrongDigestSource struct {
	items []*rpc.Item
	asked int
}

func (s *wrongDigestSource) Watch(_ context.Context, r *rpc.WatchRequest) (*rpc.WatchAnswer, error) {
	s.asked++
	answer := &rpc.WatchAnswer{Revision: 5, Digest: configuration.NewContent(s.items).Digest()}
	if r.GetRevision() == 0 {
		answer.Full, answer.Items = true, s.items
	}
	return answer, nil
}

// A caller sends the same key through all instances at once, as a build desk does
// when responses are slow. Exactly one instance may run the work; the others wait
// for its response and receive it.
func TestConcurrentClaimsGrantOneOwner(t *testing.T) {
	c := newCluster(t, 3, 6)
	body := tables.BodyHash{1}
	grants := make(chan tables.ClaimResult, len(c.instances))
	for _, in := range c.instances {
		go func() {
			grant, err := in.claims.Claim(c.testContext(), "press", "note", body)
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
	assert.NilError(t, claims.MarkDispatched(c.testContext(), owner[0]))
	assert.ErrorContains(t, claims.MarkDispatched(c.testContext(), owner[0]), "is lost")
	answer := tables.StoredResponse{Status: 200, ContentType: "text/plain", Body: []byte("published"), Tokens: 3}
	assert.NilError(t, claims.Finish(c.testContext(), owner[0], answer))
	for _, in := range c.instances {
		resend, err := in.claims.Claim(c.testContext(), "press", "note", body)
		assert.NilError(t, err)
		assert.Equal(t, resend.State, tables.ClaimCompleted)
		assert.DeepEqual(t, resend.Response, answer)
	}
	_, err := claims.Claim(c.testContext(), "press", "note", tables.BodyHash{2})
	assert.ErrorContains(t, err, "different request")
}

// The quorum is lost after the work has run. The caller has its response; the claim
// client must retry storing it until the quorum is back, so that a later request
// with the key receives it too.
func TestFinishIsRetriedUntilQuorumReturns(t *testing.T) {
	c := newCluster(t, 3, 1)
	in := c.instances[3]
	grant, err := in.claims.Claim(c.testContext(), "press", "note", tables.BodyHash{1})
	assert.NilError(t, err)
	assert.NilError(t, in.claims.MarkDispatched(c.testContext(), grant))
	for j := range c.controlCount {
		in.partition.setBlocked(c.instances[j].address, true)
	}
	short, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	err = in.claims.Finish(short, grant, tables.StoredResponse{Status: 200})
	assert.ErrorContains(t, err, "no quorum")
	_, err = in.claims.Claim(short, "press", "other", tables.BodyHash{1})
	assert.ErrorContains(t, err, "no quorum")
	for j := range c.controlCount {
		in.partition.setBlocked(c.instances[j].address, false)
	}
	ctx := c.testContext()
	for {
		resend, err := c.instances[0].claims.Claim(ctx, "press", "note", tables.BodyHash{1})
		assert.NilError(t, err)
		if resend.State == tables.ClaimCompleted {
			return
		}
	}
}

// The control interface must reject clients without an instance key.
func TestRequestWithoutKeyIsUnauthorized(t *testing.T) {
	c := newCluster(t, 1, 0)
	dialer := transport.NewDialer(http.DefaultClient)
	_, err := dialer.Control(c.instances[0].address).Execute(c.testContext(), &rpc.Command{})
	assert.Assert(t, err != nil && strings.Contains(err.Error(), "401"), "%v", err)
}

// A claim is granted but the reply is lost, and the caller is told that nothing
// ran. The instance stays alive, so its claims cannot be taken over. The caller's
// retry must nevertheless be able to run, through any instance.
func TestClaimIsGrantedAgainAfterLostReply(t *testing.T) {
	c := newCluster(t, 1, 0)
	in := c.instances[0]
	lossy := &replyDroppingExecutor{Executor: in.dialer.Control(in.address)}
	claims := client.NewClaimClient(client.ClaimClientOptions{
		Executor: lossy, Instance: "lossy", Boot: 1, Now: func() tables.Instant { return 0 },
	})
	t.Cleanup(claims.Close)
	for _, key := range []tables.IdempotencyKey{"same", "other"} {
		lossy.lose.Store(true)
		_, err := claims.Claim(c.testContext(), "press", key, tables.BodyHash{1})
		assert.ErrorContains(t, err, "lost")
		lossy.lose.Store(false)
	}
	again, err := claims.Claim(c.testContext(), "press", "same", tables.BodyHash{1})
	assert.NilError(t, err)
	assert.Equal(t, again.State, tables.ClaimGranted)
	second, err := claims.Claim(c.testContext(), "press", "same", tables.BodyHash{1})
	assert.NilError(t, err)
	assert.Equal(t, second.State, tables.ClaimInProgress)
	assert.NilError(t, claims.MarkDispatched(c.testContext(), again))
	for {
		elsewhere, err := in.claims.Claim(c.testContext(), "press", "other", tables.BodyHash{1})
		assert.NilError(t, err)
		if elsewhere.State == tables.ClaimGranted {
			return
		}
	}
}

// replyDroppingExecutor executes commands, and discards their results while lose is
// set.
type replyDroppingExecutor struct {
	client.Executor
	lose atomic.Bool
}

func (l *replyDroppingExecutor) Execute(ctx context.Context, command *rpc.Command) (*rpc.Result, error) {
	result, err := l.Executor.Execute(ctx, command)
	if l.lose.Load() {
		return nil, &tables.NoQuorumError{Operation: "claim", Cause: &lostReplyError{}}
	}
	return result, err
}

type lostReplyError struct{}

func (*lostReplyError) Error() string { return "answer lost" }

// An instance without a cached copy starts while its first source is unresponsive.
// It must not wait for that source, because it cannot serve requests without a
// configuration.
func TestInitialFetchHedgesUnresponsiveSource(t *testing.T) {
	unresponsive := unresponsiveSource(make(chan struct{}))
	items := encodedItems(t, time.Second)
	answer := &rpc.WatchAnswer{Revision: 3, Full: true, Items: items, Digest: configuration.NewContent(items).Digest()}
	f := follower.Start(follower.Options{
		Sources:         func() []follower.Source { return []follower.Source{unresponsive, fixedSource{answer}} },
		OnConfiguration: func(*tables.Configuration) {},
	})
	defer f.Close()
	defer close(unresponsive)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	select {
	case <-f.Ready():
	case <-ctx.Done():
		t.Fatal("the follower waited for the unresponsive source")
	}
}

// unresponsiveSource does not reply until it is closed.
type unresponsiveSource chan struct{}

func (s unresponsiveSource) Watch(context.Context, *rpc.WatchRequest) (*rpc.WatchAnswer, error) {
	<-s
	return nil, &lostReplyError{}
}

// Hundreds of instances advertise a revision at the same moment. Asking each of
// them would transfer the same content as many times.
func TestConcurrentFetchNewerAsksOneSource(t *testing.T) {
	c := newCluster(t, 1, 0)
	counting := &blockingSource{asked: make(chan struct{}, 8), answer: make(chan struct{})}
	f := c.instances[0].follower
	assert.NilError(t, f.FetchNewer(c.testContext(), counting))
	assert.Equal(t, len(counting.asked), 0)
	c.apply(0, "r1", 0, time.Second)
	<-f.Ready()
	first := make(chan error)
	go func() { first <- f.FetchNewer(c.testContext(), counting) }()
	<-counting.asked
	assert.NilError(t, f.FetchNewer(c.testContext(), counting))
	assert.Equal(t, len(counting.asked), 0)
	close(counting.answer)
	assert.NilError(t, <-first)
	assert.NilError(t, f.FetchNewer(c.testContext(), counting))
	assert.Equal(t, len(counting.asked), 1)
}

// blockingSource replies without changes once answer is closed.
type blockingSource struct {
	asked  chan struct{}
	answer chan struct{}
}

func (s *blockingSource) Watch(_ context.Context, r *rpc.WatchRequest) (*rpc.WatchAnswer, error) {
	s.asked <- struct{}{}
	<-s.answer
	return &rpc.WatchAnswer{Revision: r.GetRevision()}, nil
}
