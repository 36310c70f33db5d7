package deployment

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// scriptedSource answers as the test says.
type scriptedSource struct {
	answer func(*rpc.FollowRequest) (*rpc.FollowAnswer, error)

	mu sync.Mutex
	// probes says of each question whether it was a probe, and patience adds up how
	// long the callers would have waited.
	probes   []bool
	patience time.Duration
}

func (s *scriptedSource) Follow(ctx context.Context, request *rpc.FollowRequest) (*rpc.FollowAnswer, error) {
	s.mu.Lock()
	s.probes = append(s.probes, request.GetProbe())
	if until, bounded := ctx.Deadline(); bounded {
		s.patience += time.Until(until)
	}
	s.mu.Unlock()
	answer, err := s.answer(request)
	if err == nil && request.GetProbe() {
		return &rpc.FollowAnswer{Behind: answer.GetBehind()}, nil
	}
	return answer, err
}

type gone struct{}

func (*gone) Error() string { return "gone" }

func documents(number uint64, behind bool) func(*rpc.FollowRequest) (*rpc.FollowAnswer, error) {
	return func(request *rpc.FollowRequest) (*rpc.FollowAnswer, error) {
		answer := &rpc.FollowAnswer{Behind: behind}
		if have, known := request.GetDocuments()["d"]; !known || number > have {
			answer.Documents = []*rpc.Document{{Name: "d", Number: number}}
		}
		return answer, nil
	}
}

// follower is a client whose documents are noted.
func follower(sources ...*scriptedSource) (*Client, *[]uint64) {
	taken := &[]uint64{}
	return NewClient(ClientOptions{
		Sources: func() []Source {
			var all []Source
			for i, s := range sources {
				all = append(all, Source{Name: string(rune('a' + i)), Deployment: s})
			}
			return all
		},
		OnDocument:  func(d *rpc.Document) { *taken = append(*taken, d.GetNumber()) },
		OnEndpoints: func(*fleet.Replica) {},
		Log:         zap.NewNop(),
	}), taken
}

// The control instance of the own zone is cut off from its group and does not
// know of the newest configuration. An instance that stayed with it would go on
// under one that operators have replaced.
func TestASourceThatIsBehindIsLeft(t *testing.T) {
	c, taken := follower(&scriptedSource{answer: documents(5, true)}, &scriptedSource{answer: documents(7, false)})
	for range 3 {
		c.step(t.Context())
	}
	assert.DeepEqual(t, *taken, []uint64{5, 7})
}

// The control instance of the own zone falls behind while it is followed. What it
// has is not put in force once another one knows of something newer.
func TestASourceThatFallsBehindIsLeft(t *testing.T) {
	first, second := &scriptedSource{answer: documents(5, false)}, &scriptedSource{answer: documents(7, false)}
	c, taken := follower(first, second)
	c.step(t.Context())
	first.answer = documents(6, true)
	c.step(t.Context())
	c.step(t.Context())
	assert.DeepEqual(t, *taken, []uint64{5, 6, 7})
	c.step(t.Context())
	assert.DeepEqual(t, second.probes, []bool{true, false, false})
}

// A source has an older document than one that was followed before. Put in
// force, callers would be treated by what was replaced.
func TestADocumentNeverGoesBack(t *testing.T) {
	stale := func(*rpc.FollowRequest) (*rpc.FollowAnswer, error) {
		return &rpc.FollowAnswer{Documents: []*rpc.Document{{Name: "d", Number: 5}}}, nil
	}
	failing := func(*rpc.FollowRequest) (*rpc.FollowAnswer, error) { return nil, &gone{} }
	first := &scriptedSource{answer: documents(7, false)}
	c, taken := follower(first, &scriptedSource{answer: stale})
	c.step(t.Context())
	first.answer = failing
	c.step(t.Context())
	c.step(t.Context())
	assert.DeepEqual(t, *taken, []uint64{7})
}

// Two control instances number the states of their endpoints each for itself.
// After a change of source a difference by the old number would leave endpoints
// out for good.
func TestAChangeOfSourceAsksForAllEndpoints(t *testing.T) {
	table := fleet.NewTable(9)
	table.ApplyList([]fleet.Endpoint{{ID: "e", Address: netip.MustParseAddrPort("127.0.0.1:1"), Weights: map[string]uint64{}}})
	serve := func(request *rpc.FollowRequest) (*rpc.FollowAnswer, error) {
		told, _ := table.UpdateSince(request.GetFleetSource(), request.GetFleetVersion())
		return &rpc.FollowAnswer{Fleet: told}, nil
	}
	failing := &scriptedSource{answer: func(*rpc.FollowRequest) (*rpc.FollowAnswer, error) { return nil, &gone{} }}
	c, _ := follower(failing, &scriptedSource{answer: serve})
	var known map[tables.EndpointID]fleet.Endpoint
	c.options.OnEndpoints = func(copied *fleet.Replica) { known = copied.Endpoints() }
	c.step(t.Context())
	c.step(t.Context())
	assert.Equal(t, len(known), 1)
	source, _ := c.fleet.Position()
	assert.Equal(t, source, uint64(9))
}

// All control instances are out of reach for seconds and asked some thirty times
// a second meanwhile. The log must say so once for each, and once that they are
// back, or it holds nothing else when the engineer on call looks.
func TestALossIsLoggedOnce(t *testing.T) {
	failing := func(*rpc.FollowRequest) (*rpc.FollowAnswer, error) { return nil, &gone{} }
	first, second := &scriptedSource{answer: failing}, &scriptedSource{answer: documents(5, true)}
	c, _ := follower(first, second)
	core, logged := observer.New(zap.InfoLevel)
	c.options.Log = zap.New(core)
	for range 20 {
		c.step(t.Context())
	}
	assert.Equal(t, logged.FilterMessage(events.SourceLost.Text).Len(), 2)
	first.answer = documents(7, false)
	for range 4 {
		c.step(t.Context())
	}
	assert.Equal(t, logged.FilterMessage(events.SourceFollowed.Text).Len(), 1)
	assert.Equal(t, logged.FilterMessage(events.SourceLost.Text).Len(), 2)
}
