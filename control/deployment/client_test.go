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

// scriptedSource answers each request with a function that the test sets.
type scriptedSource struct {
	answer func(*rpc.FollowRequest) (*rpc.FollowAnswer, error)
	// targets answers questions for target weights; nil for an unreachable source.
	targets func(context.Context) (*rpc.TargetsAnswer, error)

	mu sync.Mutex
	// probes holds for each request whether it was a probe. totalTimeout is the sum
	// of the timeouts of all requests.
	probes       []bool
	totalTimeout time.Duration
}

func (s *scriptedSource) Follow(ctx context.Context, request *rpc.FollowRequest) (*rpc.FollowAnswer, error) {
	s.mu.Lock()
	s.probes = append(s.probes, request.GetProbe())
	if until, bounded := ctx.Deadline(); bounded {
		s.totalTimeout += time.Until(until)
	}
	s.mu.Unlock()
	answer, err := s.answer(request)
	if err == nil && request.GetProbe() {
		return &rpc.FollowAnswer{Behind: answer.GetBehind()}, nil
	}
	return answer, err
}

func (s *scriptedSource) Targets(ctx context.Context, _ *rpc.TargetsRequest) (*rpc.TargetsAnswer, error) {
	if s.targets == nil {
		return nil, &unreachableError{}
	}
	return s.targets(ctx)
}

type unreachableError struct{}

func (*unreachableError) Error() string { return "source is unreachable" }

func serveDocument(number uint64, behind bool) func(*rpc.FollowRequest) (*rpc.FollowAnswer, error) {
	return func(request *rpc.FollowRequest) (*rpc.FollowAnswer, error) {
		answer := &rpc.FollowAnswer{Behind: behind}
		if have, known := request.GetDocuments()["d"]; !known || number > have {
			answer.Documents = []*rpc.Document{{Name: "d", Number: number}}
		}
		return answer, nil
	}
}

// newTestClient returns a client of the given sources and the numbers of the
// documents that it received.
func newTestClient(sources ...*scriptedSource) (*Client, *[]uint64) {
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

// Guards against a client that stays with the control instance of its own zone
// while that one is isolated from its group. It would keep a configuration in force
// that operators have replaced.
func TestStaleSourceIsReplaced(t *testing.T) {
	c, taken := newTestClient(&scriptedSource{answer: serveDocument(5, true)}, &scriptedSource{answer: serveDocument(7, false)})
	for range 3 {
		c.step(t.Context())
	}
	assert.DeepEqual(t, *taken, []uint64{5, 7})
}

// Guards against a client that stays with the control instance of its own zone
// after that one has fallen behind, although another one has a newer document.
func TestSourceThatBecomesStaleIsReplaced(t *testing.T) {
	first, second := &scriptedSource{answer: serveDocument(5, false)}, &scriptedSource{answer: serveDocument(7, false)}
	c, taken := newTestClient(first, second)
	c.step(t.Context())
	first.answer = serveDocument(6, true)
	c.step(t.Context())
	c.step(t.Context())
	assert.DeepEqual(t, *taken, []uint64{5, 6, 7})
	c.step(t.Context())
	assert.DeepEqual(t, second.probes, []bool{true, false, false})
}

// Guards against an older document replacing a newer one after failover to a source
// that is behind. Requests would be handled by a configuration that was replaced.
func TestDocumentVersionNeverDecreases(t *testing.T) {
	stale := func(*rpc.FollowRequest) (*rpc.FollowAnswer, error) {
		return &rpc.FollowAnswer{Documents: []*rpc.Document{{Name: "d", Number: 5}}}, nil
	}
	failing := func(*rpc.FollowRequest) (*rpc.FollowAnswer, error) { return nil, &unreachableError{} }
	first := &scriptedSource{answer: serveDocument(7, false)}
	c, taken := newTestClient(first, &scriptedSource{answer: stale})
	c.step(t.Context())
	first.answer = failing
	c.step(t.Context())
	c.step(t.Context())
	assert.DeepEqual(t, *taken, []uint64{7})
}

// Guards against requesting a difference from a new source by the version number of
// the previous one. Each control instance numbers its endpoint table independently,
// so endpoints would be missing permanently.
func TestSourceChangeRequestsFullEndpointTable(t *testing.T) {
	table := fleet.NewTable(9)
	table.ApplyList([]fleet.Endpoint{{ID: "e", Address: netip.MustParseAddrPort("127.0.0.1:1"), Weights: map[string]uint64{}}})
	serve := func(request *rpc.FollowRequest) (*rpc.FollowAnswer, error) {
		update, _ := table.UpdateSince(request.GetFleetSource(), request.GetFleetVersion())
		return &rpc.FollowAnswer{Fleet: update}, nil
	}
	failing := &scriptedSource{answer: func(*rpc.FollowRequest) (*rpc.FollowAnswer, error) { return nil, &unreachableError{} }}
	c, _ := newTestClient(failing, &scriptedSource{answer: serve})
	var known map[tables.EndpointID]fleet.Endpoint
	c.options.OnEndpoints = func(copied *fleet.Replica) { known = copied.Endpoints() }
	c.step(t.Context())
	c.step(t.Context())
	assert.Equal(t, len(known), 1)
	source, _ := c.endpoints.Position()
	assert.Equal(t, source, uint64(9))
}

// Guards against a flooded log while all control instances are unreachable for
// seconds and are asked some thirty times per second. Each loss and the recovery
// must be logged once, or the log holds nothing else for the engineer on call.
func TestSourceLossIsLoggedOnce(t *testing.T) {
	failing := func(*rpc.FollowRequest) (*rpc.FollowAnswer, error) { return nil, &unreachableError{} }
	first, second := &scriptedSource{answer: failing}, &scriptedSource{answer: serveDocument(5, true)}
	c, _ := newTestClient(first, second)
	core, logged := observer.New(zap.InfoLevel)
	c.options.Log = zap.New(core)
	for range 20 {
		c.step(t.Context())
	}
	assert.Equal(t, logged.FilterMessage(events.SourceLost.Text).Len(), 2)
	first.answer = serveDocument(7, false)
	for range 4 {
		c.step(t.Context())
	}
	assert.Equal(t, logged.FilterMessage(events.SourceFollowed.Text).Len(), 1)
	assert.Equal(t, logged.FilterMessage(events.SourceLost.Text).Len(), 2)
}
