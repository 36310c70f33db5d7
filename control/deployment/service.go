// Package deployment distributes the state that all instances of a forwarding
// deployment share: the operators' documents, which the control group replicates,
// and the table of endpoints, which each control instance keeps on its own. Service
// serves both by long polling at each control instance; Client follows one control
// instance at a time and fails over to others.
package deployment

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/carawaystile/carawaystile/control/server"
	"github.com/carawaystile/carawaystile/control/state"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/internal/batch"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
	"github.com/carawaystile/carawaystile/weights"
)

const (
	// ConfigurationDocument is the name of the document that holds the
	// configuration.
	ConfigurationDocument = "configuration"
	// SizeDocument is the name of the document that holds the number of entry instances, as
	// decimal text.
	SizeDocument          = "size"
	weightsDocumentPrefix = "weights/"
	// maxFollowWait bounds the long poll of one Follow call.
	maxFollowWait = 10 * time.Second
	// Changes of endpoints are collected for batchDelayPerEndpoint times the number
	// of endpoints, at most maxBatchDelay, before a follower is notified. A rollout
	// of new weights changes every endpoint several times within seconds; without
	// batching, each change would cost every follower a request and a response.
	batchDelayPerEndpoint = 100 * time.Microsecond
	maxBatchDelay         = 100 * time.Millisecond
	// minBatchedEndpoints is the number of endpoints below which changes are sent
	// without delay: there are few of them, and each matters at once.
	minBatchedEndpoints = 50
)

// WeightsDocument returns the name of the document that sets the target version of
// a model's weights. The version is the number of the document.
func WeightsDocument(model string) string { return weightsDocumentPrefix + model }

// ModelOfWeightsDocument returns the model whose weights a document sets the target
// version of. It returns false if the name is not that of such a document.
func ModelOfWeightsDocument(document string) (string, bool) {
	return strings.CutPrefix(document, weightsDocumentPrefix)
}

// Service serves the documents and the endpoint table of one control instance to
// followers, by long polling. It implements rpc.Deployment and is safe for
// concurrent use.
type Service struct {
	replica *server.Server
	fleet   *fleet.Table
	// holdsOrderLease returns whether this instance holds the lease for orders.
	holdsOrderLease func() bool
	// cacheOrganisations lists the organisations of a configuration; nil if there are none.
	cacheOrganisations func(configuration []byte) *rpc.CacheOrganisations
	listAge            func() (time.Duration, bool)
	now                func() tables.Instant
	after              func(time.Duration) <-chan time.Time

	compressor documentCompressor
	barriers   *batch.Caller[struct{}, struct{}]
	// mu guards weightHistory, which records when this instance saw each target
	// version first.
	mu            sync.Mutex
	weightHistory weights.History
}

// Options configures a Service.
type Options struct {
	Replica *server.Server
	Fleet   *fleet.Table
	// HoldsOrderLease returns whether this instance holds the lease under which
	// orders are sent to endpoints.
	HoldsOrderLease func() bool
	// CacheOrganisations lists the organisations of a configuration by whether they share cached
	// prompts; nil if organisations have none.
	CacheOrganisations func(configuration []byte) *rpc.CacheOrganisations
	// ListAge returns the time since the platform's list was read that Fleet reflects, and false if that is not
	// known; nil if it never is.
	ListAge func() (age time.Duration, known bool)
	// Now is a monotonic clock that continues while the machine is suspended.
	Now func() tables.Instant
	// After defaults to time.After.
	After func(time.Duration) <-chan time.Time
}

// NewService returns a Service that reads documents from the replica and endpoints
// from the table in the options.
func NewService(o Options) *Service {
	if o.After == nil {
		o.After = time.After
	}
	if o.ListAge == nil {
		o.ListAge = func() (time.Duration, bool) { return 0, false }
	}
	s := &Service{
		replica: o.Replica, fleet: o.Fleet, holdsOrderLease: o.HoldsOrderLease, cacheOrganisations: o.CacheOrganisations, listAge: o.ListAge,
		now: o.Now, after: o.After,
	}
	s.barriers = batch.NewCaller(s.barrier, barrierTimeout, 1)
	return s
}

// Run records when target versions of weights change, until the context ends.
func (s *Service) Run(ctx context.Context) {
	for {
		changed := s.replica.Changed()
		s.recordTargetVersions()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// recordTargetVersions adds the replicated target versions to the history.
func (s *Service) recordTargetVersions() {
	targets := s.TargetVersions()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for model, version := range targets {
		s.weightHistory.Record(weights.TargetVersion{Model: model, Version: version, SetAt: now})
	}
}

// TargetVersions returns the version of its weights that each model should be
// served with, by model.
func (s *Service) TargetVersions() map[string]uint64 {
	targets := map[string]uint64{}
	s.replica.View(func(st *state.State) {
		for _, document := range st.Documents() {
			if model, ok := ModelOfWeightsDocument(document.GetName()); ok {
				targets[model] = document.GetNumber()
			}
		}
	})
	return targets
}

// newerVersions returns the target versions of a model above the given one, each
// with its age.
func (s *Service) newerVersions(model string, have uint64) []*rpc.WeightsNamed {
	s.mu.Lock()
	defer s.mu.Unlock()
	var newer []*rpc.WeightsNamed
	for _, n := range s.weightHistory.NewerThan(model, have) {
		newer = append(newer, &rpc.WeightsNamed{Model: n.Model, Version: n.Version, AgeNanos: int64(s.now() - n.SetAt)})
	}
	return newer
}

// RefusedError reports that the control group refused a document.
type RefusedError struct{ Reason rpc.RefusalReason }

// Error names the reason of the refusal.
func (e *RefusedError) Error() string { return "document refused: " + e.Reason.String() }

// Put replicates a document. It returns once a quorum has made it durable, or if a
// document with this name and a higher number is in force. The number is the
// version of the document.
func (s *Service) Put(ctx context.Context, name string, number uint64, content []byte) error {
	put := &rpc.PutDocument{Document: &rpc.Document{Name: name, Number: number, Content: content}}
	if name == ConfigurationDocument && s.cacheOrganisations != nil {
		put.Cache = s.cacheOrganisations(content)
	}
	result, err := s.replica.Execute(ctx, &rpc.Command{Action: &rpc.Command_PutDocument{PutDocument: put}})
	if err != nil {
		return trace.Wrap(err)
	}
	if refusal := result.GetRefusal(); refusal != nil {
		return &RefusedError{Reason: refusal.GetReason()}
	}
	return nil
}

// Newest returns the content of a document by a linearizable read, nil if there is
// no such document. It fails without a quorum, because an isolated replica cannot
// tell whether it is behind.
func (s *Service) Newest(ctx context.Context, name string) ([]byte, error) {
	if err := s.replica.Barrier(ctx); err != nil {
		return nil, trace.Wrap(err)
	}
	var content []byte
	s.replica.View(func(st *state.State) { content = st.Document(name).GetContent() })
	return content, nil
}

// Follow is a long poll. It returns when the caller lacks a document or a change of
// endpoints, when this replica is behind its group, or when the requested wait has
// elapsed. It answers a probe at once with the state of this replica only.
func (s *Service) Follow(ctx context.Context, request *rpc.FollowRequest) (*rpc.FollowAnswer, error) {
	if request.GetProbe() {
		status := s.replica.Status()
		return &rpc.FollowAnswer{Behind: !status.IsCurrent, LagNanos: int64(status.Lag)}, nil
	}
	timer := time.NewTimer(min(max(0, time.Duration(request.GetWaitNanos())), maxFollowWait))
	defer timer.Stop()
	asked := s.now()
	answer := s.awaitUpdate(ctx, timer.C, func() pendingUpdate { return s.pendingUpdate(request) })
	answer.WaitedNanos = int64(s.now() - asked)
	return answer, nil
}

// pendingUpdate is an answer with what the follower lacks, and the channels that
// signal further changes.
type pendingUpdate struct {
	answer *rpc.FollowAnswer
	// documentsChanged is closed when documents may have changed, endpointsChanged
	// when endpoints have.
	documentsChanged, endpointsChanged <-chan struct{}
}

// awaitUpdate calls poll until its answer holds an update, and returns that answer. After the
// timeout it returns a new one: the lag must not be newer than the documents.
func (s *Service) awaitUpdate(ctx context.Context, timeout <-chan time.Time, poll func() pendingUpdate) *rpc.FollowAnswer {
	for batched := false; ; {
		update := poll()
		if len(update.answer.GetDocuments()) > 0 || update.answer.GetBehind() || update.answer.GetFleet().GetFull() {
			return update.answer
		}
		if update.answer.GetFleet() != nil {
			if batched || s.fleet.Len() < minBatchedEndpoints {
				return update.answer
			}
			batched = true
			s.batchEndpointChanges(ctx, update.documentsChanged)
			continue
		}
		select {
		case <-update.documentsChanged:
		case <-update.endpointsChanged:
		case <-timeout:
			return poll().answer
		case <-ctx.Done():
			return update.answer
		}
	}
}

// batchEndpointChanges waits for further changes of endpoints, but not longer than
// until a document may have changed.
func (s *Service) batchEndpointChanges(ctx context.Context, changed <-chan struct{}) {
	select {
	case <-s.after(min(maxBatchDelay, time.Duration(s.fleet.Len())*batchDelayPerEndpoint)):
	case <-changed:
	case <-ctx.Done():
	}
}

// pendingUpdate returns what the caller lacks at this moment.
func (s *Service) pendingUpdate(request *rpc.FollowRequest) pendingUpdate {
	changed := s.replica.Changed()
	listAge, listRead := s.listAge()
	update, endpointsChanged := s.fleet.UpdateSince(request.GetFleetSource(), request.GetFleetVersion())
	status := s.replica.Status()
	answer := &rpc.FollowAnswer{
		Fleet: update,
		// A replica that knows its leader may still lag, because its disk hangs or
		// because it received nothing for a while. Followers that stayed with it
		// would apply a configuration that operators have replaced.
		Behind:      !status.IsCurrent,
		OrdersGiven: s.holdsOrderLease(),
		LagNanos:    int64(status.Lag),
	}
	if listRead {
		answer.ListAgeNanos = proto.Int64(int64(listAge))
	}
	var newer []*rpc.Document
	s.replica.View(func(st *state.State) {
		for _, document := range st.Documents() {
			if have, known := request.GetDocuments()[document.GetName()]; !known || document.GetNumber() > have {
				newer = append(newer, document)
				if model, ok := ModelOfWeightsDocument(document.GetName()); ok {
					answer.WeightsNamed = append(answer.WeightsNamed, s.newerVersions(model, have)...)
				}
			}
		}
	})
	// Compression takes too long to run while the replica's state is locked.
	for _, document := range newer {
		s.compressor.addDocument(answer, document)
	}
	return pendingUpdate{answer: answer, documentsChanged: changed, endpointsChanged: endpointsChanged}
}
