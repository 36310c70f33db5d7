// Package deployment keeps what all instances of a forwarding deployment have
// to know: the operators' documents, which the control group agrees on, and the
// table of endpoints, which each control instance has of its own.
package deployment

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/control/server"
	"github.com/carawaystile/carawaystile/control/state"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
	"github.com/carawaystile/carawaystile/weights"
)

const (
	// ConfigurationDocument is the document with the configuration.
	ConfigurationDocument = "configuration"
	weightsPrefix         = "weights/"
	// maxWait bounds the wait of one Follow.
	maxWait = 10 * time.Second
	// gatherPerEndpoint times the number of endpoints is how long changes of endpoints
	// are gathered before a follower is notified, and maxGather bounds it. New weights
	// change every endpoint several times within seconds: sent one by one, each change
	// would cost every follower a question and an answer.
	gatherPerEndpoint = 100 * time.Microsecond
	maxGather         = 100 * time.Millisecond
	// gatherFrom is the number of endpoints below which nothing is gathered: their
	// changes are few, and each is worth knowing at once.
	gatherFrom = 50
)

// WeightsDocument is the document whose number is the version that a model should
// be served with.
func WeightsDocument(model string) string { return weightsPrefix + model }

// ModelOfWeightsDocument returns the model that a document names weights of.
func ModelOfWeightsDocument(document string) (string, bool) {
	return strings.CutPrefix(document, weightsPrefix)
}

// Service is the deployment's part of a control instance. It implements
// rpc.Deployment and is safe for concurrent use.
type Service struct {
	replica *server.Server
	fleet   *fleet.Table
	// givesOrders says whether this instance gives orders now.
	givesOrders func() bool
	now         func() tables.Instant
	after       func(time.Duration) <-chan time.Time

	packer packer
	// mu guards weights, which holds when this instance saw versions named.
	mu      sync.Mutex
	weights weights.History
}

// Options set a Service up.
type Options struct {
	Replica *server.Server
	Fleet   *fleet.Table
	// HoldsOrderLease says whether this instance gives orders to endpoints now.
	HoldsOrderLease func() bool
	// Now must go on while the machine is suspended.
	Now func() tables.Instant
	// After is time.After if it is nil.
	After func(time.Duration) <-chan time.Time
}

// NewService returns the service over a replica and the instance's table.
func NewService(o Options) *Service {
	if o.After == nil {
		o.After = time.After
	}
	return &Service{replica: o.Replica, fleet: o.Fleet, givesOrders: o.HoldsOrderLease, now: o.Now, after: o.After}
}

// Run notes when versions of weights are named, until the context ends.
func (s *Service) Run(ctx context.Context) {
	for {
		changed := s.replica.Changed()
		s.noteWeights()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// noteWeights takes the versions that the group has agreed on into the history.
func (s *Service) noteWeights() {
	wanted := s.TargetVersions()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for model, version := range wanted {
		s.weights.Record(weights.TargetVersion{Model: model, Version: version, SetAt: now})
	}
}

// TargetVersions lists the version that each model should be served with.
func (s *Service) TargetVersions() map[string]uint64 {
	wanted := map[string]uint64{}
	s.replica.View(func(st *state.State) {
		for _, document := range st.Documents() {
			if model, ok := ModelOfWeightsDocument(document.GetName()); ok {
				wanted[model] = document.GetNumber()
			}
		}
	})
	return wanted
}

// named says when the versions of a model were named that the caller does not
// have.
func (s *Service) named(model string, have uint64) []*rpc.WeightsNamed {
	s.mu.Lock()
	defer s.mu.Unlock()
	var named []*rpc.WeightsNamed
	for _, n := range s.weights.NewerThan(model, have) {
		named = append(named, &rpc.WeightsNamed{Model: n.Model, Version: n.Version, AgeNanos: int64(s.now() - n.SetAt)})
	}
	return named
}

// RefusedError means that the control group would not take a document.
type RefusedError struct{ Reason rpc.RefusalReason }

// Error gives the reason.
func (e *RefusedError) Error() string { return "document refused: " + e.Reason.String() }

// Put has the group agree on a document. It returns once a quorum holds it on
// disk, or one with a higher number.
func (s *Service) Put(ctx context.Context, name string, number uint64, content []byte) error {
	result, err := s.replica.Execute(ctx, &rpc.Command{Action: &rpc.Command_PutDocument{PutDocument: &rpc.PutDocument{
		Document: &rpc.Document{Name: name, Number: number, Content: content},
	}}})
	if err != nil {
		return trace.Wrap(err)
	}
	if refusal := result.GetRefusal(); refusal != nil {
		return &RefusedError{Reason: refusal.GetReason()}
	}
	return nil
}

// Newest returns the newest content that the group had agreed on when it was
// called, nil if there is none. Without a quorum it fails: a replica that is cut
// off cannot know whether it is behind.
func (s *Service) Newest(ctx context.Context, name string) ([]byte, error) {
	if err := s.replica.Barrier(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	var content []byte
	s.replica.View(func(st *state.State) { content = st.Document(name).GetContent() })
	return content, nil
}

// Follow answers when there is something new to the caller, and a probe at once.
func (s *Service) Follow(ctx context.Context, request *rpc.FollowRequest) (*rpc.FollowAnswer, error) {
	if request.GetProbe() {
		status := s.replica.Status()
		return &rpc.FollowAnswer{Behind: !status.IsCurrent, LagNanos: int64(status.Lag)}, nil
	}
	timer := time.NewTimer(min(max(0, time.Duration(request.GetWaitNanos())), maxWait))
	defer timer.Stop()
	asked := s.now()
	answer, waited := s.awaitNews(ctx, timer.C, func() news { return s.news(request) })
	answer.WaitedNanos = int64(s.now() - asked)
	if waited {
		// It has waited in vain, and is brought up to date.
		answer.LagNanos = int64(s.replica.Status().Lag)
	}
	return answer, nil
}

// news is what a follower does not have.
type news struct {
	answer *rpc.FollowAnswer
	// changed is closed when documents may have changed, listed when endpoints have.
	changed, listed <-chan struct{}
}

// awaitNews waits until there is something new, and says whether it has waited in vain.
func (s *Service) awaitNews(ctx context.Context, enough <-chan time.Time, look func() news) (answer *rpc.FollowAnswer, inVain bool) {
	for gathered := false; ; {
		n := look()
		if len(n.answer.GetDocuments()) > 0 || n.answer.GetBehind() || n.answer.GetFleet().GetFull() {
			return n.answer, false
		}
		if n.answer.GetFleet() != nil {
			if gathered || s.fleet.Len() < gatherFrom {
				return n.answer, false
			}
			gathered = true
			s.gather(ctx, n.changed)
			continue
		}
		select {
		case <-n.changed:
		case <-n.listed:
		case <-enough:
			return n.answer, true
		case <-ctx.Done():
			return n.answer, false
		}
	}
}

// gather lets changes of endpoints come together, until a document may have changed.
func (s *Service) gather(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-s.after(min(maxGather, time.Duration(s.fleet.Len())*gatherPerEndpoint)):
	case <-changed:
	case <-ctx.Done():
	}
}

// news looks up what the caller does not have.
func (s *Service) news(request *rpc.FollowRequest) news {
	changed := s.replica.Changed()
	update, listed := s.fleet.UpdateSince(request.GetFleetSource(), request.GetFleetVersion())
	status := s.replica.Status()
	answer := &rpc.FollowAnswer{
		Fleet: update,
		// A replica that knows its leader may still lag: its disk may hang, or it
		// was sent nothing for a while. Those that stay with it would treat callers
		// by a configuration that operators have replaced.
		Behind:      !status.IsCurrent,
		OrdersGiven: s.givesOrders(),
		LagNanos:    int64(status.Lag),
	}
	var newer []*rpc.Document
	s.replica.View(func(st *state.State) {
		for _, document := range st.Documents() {
			if have, known := request.GetDocuments()[document.GetName()]; !known || document.GetNumber() > have {
				newer = append(newer, document)
				if model, ok := ModelOfWeightsDocument(document.GetName()); ok {
					answer.WeightsNamed = append(answer.WeightsNamed, s.named(model, have)...)
				}
			}
		}
	})
	// Compressing takes too long to keep the replica's state locked meanwhile.
	for _, document := range newer {
		s.packer.add(answer, document)
	}
	return news{answer: answer, changed: changed, listed: listed}
}
