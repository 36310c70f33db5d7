package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/engine/exchange"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/relay"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/systems/quarantine"
	"github.com/carawaystile/carawaystile/tables"
)

// A stream on a route that is not resumable must not run a second time. If its engine crashes,
// the engine at which the run is backed up can continue the same run. The first engine must
// have ended by then: a run must never go on at two engines.

const (
	// endProbes is how often an endpoint is tested at most, with endProbeInterval in between: a
	// process that is being killed may close its connections before its listening socket.
	endProbes        = 3
	endProbeInterval = 50 * time.Millisecond
	// confirmTimeout bounds the time in which the end of an endpoint must be confirmed: the
	// caller waits for it. It exceeds the timeout of an own connection and that of a
	// question to another instance together.
	confirmTimeout = 500 * time.Millisecond
	// targetTimeout bounds the question for the target weights, for which the caller waits as well.
	targetTimeout = 400 * time.Millisecond
)

// Reasons for which a stream with a backup is not continued, beside those of package dispatch.
const (
	refusedNotNumbered dispatch.ContinuationRefusal = "last event not numbered"
	refusedNotEnded    dispatch.ContinuationRefusal = "endpoint not ended"
	refusedQuarantined dispatch.ContinuationRefusal = "quarantined"
	refusedByLimit     dispatch.ContinuationRefusal = "endpoint limit"
	refusedTarget      dispatch.ContinuationRefusal = "target weights unknown"
	refusedCancelled   dispatch.ContinuationRefusal = "cancelled"
)

// continuationNoStream is the outcome of a continuation whose response is not a stream.
const continuationNoStream = "no stream"

// wantsBackup reports whether the request's run should be backed up: it is a generation on a
// stream route that is not resumable, and backups are enabled for the service. A copy is named
// by the request ID.
func (c *clientRequest) wantsBackup() bool {
	s := c.server
	if c.route.Kind != routes.Stream || c.route.Resumable || !c.service.Backups || c.dispatchRequest.Model == "" ||
		c.id == "" || s.headers.CacheBackup == "" || s.headers.ResumeFrom == "" {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.BackupsEnabled(c.service.Name)
}

// setBackupHeaders sets the header that has the endpoint back the run up, or for a
// continuation the one that names the copy.
func (a *attempt) setBackupHeaders(header http.Header) {
	c, h := a.request, a.request.server.headers
	if a.placement.HasBackup() {
		header.Set(h.CacheBackup, a.placement.Backup.Address.String())
	}
	if a.isContinuation {
		header.Set(h.ResumeFrom, a.placement.Endpoint.Address.String()+"/"+c.id)
	}
}

// backupFields returns the field that names the backup endpoint, if any.
func (a *attempt) backupFields() []zap.Field {
	if !a.placement.HasBackup() {
		return nil
	}
	return []zap.Field{zap.String("backup", string(a.placement.Backup.ID))}
}

// continueStream continues the run of a broken stream at its backup endpoint, and reports
// whether it has done so; the request is finished then. probed is closed once probeForCrash has
// ended.
func (a *attempt) continueStream(probed <-chan struct{}) bool {
	c := a.request
	if !a.placement.HasBackup() || !c.responseStarted {
		return false
	}
	fields := append(c.logFields(), zap.String("endpoint", string(a.placement.Endpoint.ID)), zap.String("backup", string(a.placement.Backup.ID)))
	placement, refusal := a.placeContinuation(probed)
	fields = append(append(fields, zap.Duration("since_event", c.now()-c.lastEventAt)), a.weightsFields()...)
	if placement == nil {
		c.server.metrics.countContinuation(c, string(refusal))
		events.StreamNotContinued.Log(c.server.log, append(fields, zap.String("reason", string(refusal)))...)
		return false
	}
	events.StreamContinued.Log(c.server.log, fields...)
	next := c.newAttempt(placement)
	next.isContinuation = true
	next.run()
	return true
}

// weightsFields returns the fields that tell which weights may have made the memory of the run.
func (a *attempt) weightsFields() []zap.Field {
	s := a.request.server
	s.mu.Lock()
	known := s.dispatch.WeightsOf(&a.request.dispatchRequest, a.placement)
	s.mu.Unlock()
	return []zap.Field{
		zap.Uint64("weights", known.Run), zap.Bool("named_others", a.weightsChanged), zap.Uint64("endpoint_weights", known.Endpoint),
		zap.Bool("loading", known.Loading), zap.Uint64("backup_weights", known.Backup), zap.Uint64("target_weights", known.Target),
		zap.NamedError("target_error", a.targetError),
	}
}

// placeContinuation returns the attempt that continues the run at the backup endpoint, or nil
// and the reason.
func (a *attempt) placeContinuation(probed <-chan struct{}) (*dispatch.Attempt, dispatch.ContinuationRefusal) {
	c, s := a.request, a.request.server
	if !c.lastEventNumbered {
		return nil, refusedNotNumbered
	}
	if a.weightsChanged || s.mayHaveChangedWeights(a) {
		return nil, dispatch.WeightsChanged
	}
	ended := a.confirmEnded(probed)
	switch {
	case c.ctx.Err() != nil:
		return nil, refusedCancelled
	case !ended:
		return nil, refusedNotEnded
	}
	if s.quarantineVerdict(c) >= quarantine.Defer {
		return nil, refusedQuarantined
	}
	if !a.updateTarget() {
		return nil, refusedTarget
	}
	placement, refusal := s.assignContinuation(c, a.placement)
	if placement == nil {
		return nil, refusal
	}
	if _, admitted := s.admitAtEndpoint(c, placement); !admitted {
		return nil, refusedByLimit
	}
	if !s.takeContinuation(c, placement) {
		return nil, dispatch.RetryBudgetUsedUp
	}
	return placement, ""
}

// mayHaveChangedWeights reports whether the endpoint is known to have changed its weights under the run, or
// may have been told to.
func (s *Server) mayHaveChangedWeights(a *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.WeightsOf(&a.request.dispatchRequest, a.placement).MayHaveChanged()
}

// updateTarget reads the target weights of the request's model, and reports whether it succeeded. The
// endpoint has ended: it can have loaded only versions that had become the target before.
func (a *attempt) updateTarget() bool {
	c, s := a.request, a.request.server
	if s.options.TargetWeights == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(c.ctx, targetTimeout)
	defer cancel()
	model := c.dispatchRequest.Model
	version, err := s.options.TargetWeights(ctx, model)
	if err != nil {
		a.targetError = err
		return false
	}
	if version > 0 {
		s.RecordWeightsVersion(model, version, 0)
	}
	return true
}

// assignContinuation places the continuation of an ended attempt.
func (s *Server) assignContinuation(c *clientRequest, ended *dispatch.Attempt) (*dispatch.Attempt, dispatch.ContinuationRefusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.Continue(s.options.Now(), &c.dispatchRequest, ended)
}

// takeContinuation takes a continuation that is about to be sent from the retry budget, which
// may have been used up since it was placed. The attempt has ended then.
func (s *Server) takeContinuation(c *clientRequest, placement *dispatch.Attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	if !s.dispatch.TakeContinuation(now, &c.dispatchRequest, placement) {
		c.releasePermit()
		s.dispatch.RecordOutcome(now, placement, dispatch.Cancelled)
		return false
	}
	s.metrics.countRetry(c)
	return true
}

// confirmEnded reports whether the process of the attempt's endpoint is known to have ended, and
// the crash detector has learned of it, which it has once probed is closed.
func (a *attempt) confirmEnded(probed <-chan struct{}) bool {
	ctx, cancel := context.WithTimeout(a.request.ctx, confirmTimeout)
	defer cancel()
	if !a.endpointEnded(ctx) {
		return false
	}
	select {
	case <-probed:
		return true
	case <-ctx.Done():
		return false
	}
}

// endpointEnded tests repeatedly whether the process of the attempt's endpoint has ended.
func (a *attempt) endpointEnded(ctx context.Context) bool {
	s := a.request.server
	peers := s.peers()
	if peers == relay.PeersUnknown {
		return false
	}
	for probe := range endProbes {
		if probe > 0 {
			select {
			case <-time.After(endProbeInterval):
			case <-ctx.Done():
				return false
			}
		}
		if s.processEnded(ctx, &a.placement.Endpoint, peers == relay.HasPeers) {
			return true
		}
	}
	return false
}

// processEnded tests whether an endpoint refuses connections. If there are other instances they
// must confirm it: a refusal, like a timeout, may be due to this instance's own link.
func (s *Server) processEnded(ctx context.Context, endpoint *fleet.Endpoint, hasPeers bool) bool {
	probeCtx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	err := s.options.Client.CheckReachable(probeCtx, endpoint.Address)
	if err == nil {
		return false
	}
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if !hasPeers {
		return refused
	}
	return s.options.Relay.ConfirmEnded(ctx, endpoint, refused)
}

// peers reports whether there are other instances.
func (s *Server) peers() relay.Peers {
	if s.options.Relay == nil {
		return relay.NoPeers
	}
	return s.options.Relay.Peers()
}

// namesOtherWeights reports whether the header of the response names another version of the weights
// than that of the placement.
func (a *attempt) namesOtherWeights(response *exchange.Response) bool {
	version, err := strconv.ParseUint(response.Header.Get(a.request.server.headers.Weights), 10, 64)
	return err == nil && version != a.placement.WeightsVersion
}

// rejectContinuation ends a request whose continuation got a response that is not a stream, and
// so does not continue the one that the client has received a part of. The client does not wait for
// the rest of that response.
func (a *attempt) rejectContinuation(response *exchange.Response) {
	c := a.request
	a.continuationOutcome = continuationNoStream
	response.Discard()
	// The run has not gone on. Completed would clear the request at the crash detector.
	a.recordOutcome(dispatch.Declined)
	c.finishFailed(tables.CodeStreamBroken)
}

// recordContinuationEnd counts the end of a continuation by its outcome.
func (a *attempt) recordContinuationEnd(result dispatch.Outcome) {
	if !a.isContinuation {
		return
	}
	outcome := a.continuationOutcome
	if outcome == "" {
		outcome = result.String()
	}
	a.request.server.metrics.countContinuation(a.request, outcome)
}
