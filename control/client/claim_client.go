package client

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/control/state"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// keepAliveInterval is the delay between two keep-alive commands of an owner
	// with open claims. Three of them fit into the time after which the control
	// state considers an owner lost.
	keepAliveInterval = 2 * time.Second
	// keepAliveTimeout bounds one keep-alive, and keepAliveRetryDelay is the delay after one that has failed.
	// Attempts at two silent control instances, of five at most, and one at another fit into the same time.
	keepAliveTimeout    = time.Second
	keepAliveRetryDelay = 250 * time.Millisecond
	// dispatchedClaimTTL is how long dispatched work may run before its claim
	// expires. It exceeds the longest timeout of a profile.
	dispatchedClaimTTL = 5 * time.Hour
	// maxPendingCommands bounds the queue of finish and release commands.
	maxPendingCommands = 4096
	// clockDriftMargin is the fraction by which a holder shortens every duration on
	// its own clock: twice the permitted drift, once for its clock and once for the
	// leader's.
	clockDriftMargin = 2 * maxClockDrift
	// maxClockDrift is the permitted deviation of the rate of a monotonic clock
	// from real time: 1 in 100, far above the drift of correctly working clocks.
	maxClockDrift = 0.01
)

// ClaimClientOptions configures a ClaimClient.
type ClaimClientOptions struct {
	Executor Executor
	Instance tables.InstanceID
	// Boot is the boot epoch. It increases with every start of this instance.
	Boot uint64
	// Now returns the time of this process's monotonic clock.
	Now func() tables.Instant
	Log *zap.Logger
}

// ClaimClient claims idempotency keys in the control state for one entry instance,
// so that the work of a key is dispatched at most once. A granted claim carries a
// fencing token; the client keeps its open claims alive with heartbeats, and
// retries commands that end a claim until the control group accepts them.
//
// ClaimClient is safe for concurrent use. Its errors are *tables.KeyReusedError,
// *tables.NoQuorumError, *tables.ClaimLostError, *ClaimLimitError,
// *ClaimsOnHoldError and *UnexpectedResultError; after any of them the work must
// not be dispatched.
type ClaimClient struct {
	options   ClaimClientOptions
	nextToken atomic.Uint64
	cancel    context.CancelFunc
	running   sync.WaitGroup

	mu         sync.Mutex
	openClaims map[claimID]bool
	// activeByKey counts the claims of each key that are requested or open.
	activeByKey map[claimKey]int
	// pendingCommands are commands that the control group has not accepted yet.
	pendingCommands []*rpc.Command
}

// claimKey identifies the work that is claimed.
type claimKey struct {
	organisation tables.OrganisationID
	key          tables.IdempotencyKey
}

// claimID identifies one granted claim of a key.
type claimID struct {
	claimKey
	token tables.FencingToken
}

// ClaimLimitError means that the control state holds the maximum number of claims.
// Evicting one to make room could let its work run twice.
type ClaimLimitError struct {
	Organisation tables.OrganisationID
}

// Error names the organisation that requested the claim.
func (e *ClaimLimitError) Error() string {
	return fmt.Sprintf("no room for another claim of organisation %s", e.Organisation)
}

// ClaimsOnHoldError means that the control state was recently restored from a
// backup. The work of a key that is missing in the backup may have run after the
// backup was taken.
type ClaimsOnHoldError struct {
	// RetryAfter is the remaining hold on unknown keys.
	RetryAfter time.Duration
}

// Error returns the remaining time of the hold.
func (e *ClaimsOnHoldError) Error() string {
	return fmt.Sprintf("claims on unknown keys are held for another %v after a restore", e.RetryAfter)
}

// UnexpectedResultError means that a command returned a result of the wrong type.
type UnexpectedResultError struct {
	Operation string
	Reason    rpc.RefusalReason
}

// Error names the operation and the reason of the refusal.
func (e *UnexpectedResultError) Error() string {
	return fmt.Sprintf("%s: unexpected result from the control state: %s", e.Operation, e.Reason)
}

// NewClaimClient returns a ClaimClient that sends keep-alives until Close.
func NewClaimClient(options ClaimClientOptions) *ClaimClient {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &ClaimClient{options: options, cancel: cancel, openClaims: map[claimID]bool{}, activeByKey: map[claimKey]int{}}
	c.running.Go(func() { c.keepAliveLoop(ctx) })
	c.running.Go(func() { c.resendLoop(ctx) })
	return c
}

// Close stops the keep-alives. Claims that are still open are then considered lost.
func (c *ClaimClient) Close() {
	c.cancel()
	c.running.Wait()
}

// Claim requests the exclusive right to run the work of the organisation's
// idempotency key. The body hash detects a key that is reused for a different
// request.
func (c *ClaimClient) Claim(ctx context.Context, organisation tables.OrganisationID, key tables.IdempotencyKey, body tables.BodyHash) (tables.ClaimResult, error) {
	at := claimKey{organisation, key}
	token, sent := c.newToken(), c.options.Now()
	result, err := c.options.Executor.Execute(ctx, &rpc.Command{Action: &rpc.Command_Claim{Claim: &rpc.Claim{
		Organisation: string(organisation),
		Key:          string(key),
		Body:         body[:],
		Owner:        c.claimOwner(),
		Token:        token,
		Alone:        c.beginClaim(at),
	}}})
	if result.GetClaim().GetState() != rpc.ClaimState_CLAIM_NEW {
		defer c.endClaim(at)
	}
	if err != nil {
		c.releaseUnconfirmed(at, token)
		return tables.ClaimResult{}, trace.Wrap(err)
	}
	answer := result.GetClaim()
	if answer == nil {
		return tables.ClaimResult{}, trace.Wrap(refusalError("claim", result, organisation, key, 0))
	}
	grant := tables.ClaimResult{
		Organisation: organisation,
		Key:          key,
		State:        decodeClaimState(answer.GetState()),
		FencingToken: tables.FencingToken(answer.GetFence()),
		Response:     decodeStoredResponse(answer.GetAnswer()),
	}
	if grant.State == tables.ClaimGranted {
		grant.ExpiresAt = sent + withClockDriftMargin(state.DefaultLimits().ClaimedTTL)
		c.addOpenClaim(grant)
	}
	return grant, nil
}

// MarkDispatched records that the work of a granted claim may run from now on. It
// is called before the work is sent, and once per grant: a second call would be a
// second dispatch, and fails.
func (c *ClaimClient) MarkDispatched(ctx context.Context, grant tables.ClaimResult) error {
	if c.options.Now() >= grant.ExpiresAt {
		return trace.Wrap(&tables.ClaimLostError{Organisation: grant.Organisation, Key: grant.Key, FencingToken: grant.FencingToken})
	}
	result, err := c.options.Executor.Execute(ctx, &rpc.Command{Action: &rpc.Command_MarkDispatched{
		MarkDispatched: &rpc.MarkDispatched{
			Organisation:   string(grant.Organisation),
			Key:            string(grant.Key),
			Fence:          uint64(grant.FencingToken),
			Token:          c.newToken(),
			LostAfterNanos: int64(dispatchedClaimTTL),
		},
	}})
	if err != nil {
		return trace.Wrap(err)
	}
	if result.GetDone() == nil {
		return trace.Wrap(refusalError("mark claim dispatched", result, grant.Organisation, grant.Key, grant.FencingToken))
	}
	return nil
}

// Finish stores the response that later requests with the same key receive. If
// there is no quorum, the command is retried in the background for as long as the
// process lives.
func (c *ClaimClient) Finish(ctx context.Context, grant tables.ClaimResult, answer tables.StoredResponse) error {
	return c.executeFinal(ctx, grant, &rpc.Command{Action: &rpc.Command_FinishClaim{FinishClaim: &rpc.FinishClaim{
		Organisation: string(grant.Organisation),
		Key:          string(grant.Key),
		Fence:        uint64(grant.FencingToken),
		Answer: &rpc.StoredAnswer{
			Status: int32(answer.Status),
			Type:   answer.ContentType,
			Body:   answer.Body,
			Tokens: int64(answer.Tokens),
		},
	}}})
}

// Release gives the claim up. The caller has proof that the work did not run, and
// will not dispatch it under this grant any more.
func (c *ClaimClient) Release(ctx context.Context, grant tables.ClaimResult) error {
	return c.executeFinal(ctx, grant, &rpc.Command{Action: &rpc.Command_ReleaseClaim{ReleaseClaim: &rpc.ReleaseClaim{
		Organisation: string(grant.Organisation),
		Key:          string(grant.Key),
		Fence:        uint64(grant.FencingToken),
	}}})
}

// executeFinal executes a command that ends a claim. Without a quorum it is queued.
func (c *ClaimClient) executeFinal(ctx context.Context, grant tables.ClaimResult, command *rpc.Command) error {
	c.removeOpenClaim(grant)
	result, err := c.options.Executor.Execute(ctx, command)
	if err != nil {
		c.queueCommand(command)
		return trace.Wrap(err)
	}
	if result.GetDone() == nil {
		return trace.Wrap(refusalError(operationName(command), result, grant.Organisation, grant.Key, grant.FencingToken))
	}
	return nil
}

// claimOwner identifies this process as the owner of claims.
func (c *ClaimClient) claimOwner() *rpc.ClaimOwner {
	return &rpc.ClaimOwner{Instance: string(c.options.Instance), Boot: c.options.Boot}
}

// newToken returns a request identifier that is unique among the calls of this
// instance. It distinguishes a retransmission from the next call.
func (c *ClaimClient) newToken() string {
	return strconv.FormatUint(c.options.Boot, 36) + "-" + strconv.FormatUint(c.nextToken.Add(1), 36)
}

// beginClaim counts a claim of the key as active, and returns whether it is the
// only active one of this process.
func (c *ClaimClient) beginClaim(at claimKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeByKey[at]++
	return c.activeByKey[at] == 1
}

// endClaim reverses one call of beginClaim.
func (c *ClaimClient) endClaim(at claimKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeByKey[at]--
	if c.activeByKey[at] <= 0 {
		delete(c.activeByKey, at)
	}
}

// releaseUnconfirmed queues the release of a claim that may have been granted
// although no reply arrived. Without it the claim could not be taken over while
// this process lives, and retries through other instances would be told that the
// work is in progress.
func (c *ClaimClient) releaseUnconfirmed(at claimKey, token string) {
	c.queueCommand(&rpc.Command{Action: &rpc.Command_ReleaseClaim{ReleaseClaim: &rpc.ReleaseClaim{
		Organisation: string(at.organisation),
		Key:          string(at.key),
		Owner:        c.claimOwner(),
		Token:        token,
	}}})
}

// addOpenClaim records a granted claim.
func (c *ClaimClient) addOpenClaim(grant tables.ClaimResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.openClaims[claimID{claimKey{grant.Organisation, grant.Key}, grant.FencingToken}] = true
}

// removeOpenClaim removes a claim that ends. Repeated calls have no effect.
func (c *ClaimClient) removeOpenClaim(grant tables.ClaimResult) {
	id := claimID{claimKey{grant.Organisation, grant.Key}, grant.FencingToken}
	c.mu.Lock()
	known := c.openClaims[id]
	delete(c.openClaims, id)
	c.mu.Unlock()
	if known {
		c.endClaim(id.claimKey)
	}
}

// withClockDriftMargin shortens a duration that is measured in log time, so that it
// elapses on this process's clock before it can elapse on any leader's clock.
func withClockDriftMargin(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - clockDriftMargin))
}

// decodeClaimState converts a claim state; an unknown state is an unknown outcome.
func decodeClaimState(s rpc.ClaimState) tables.ClaimState {
	switch s {
	case rpc.ClaimState_CLAIM_NEW:
		return tables.ClaimGranted
	case rpc.ClaimState_CLAIM_IN_PROGRESS:
		return tables.ClaimInProgress
	case rpc.ClaimState_CLAIM_DONE:
		return tables.ClaimCompleted
	default:
		return tables.ClaimOutcomeUnknown
	}
}

// decodeStoredResponse converts a response from its stored form.
func decodeStoredResponse(answer *rpc.StoredAnswer) tables.StoredResponse {
	return tables.StoredResponse{
		Status:      int(answer.GetStatus()),
		ContentType: answer.GetType(),
		Body:        answer.GetBody(),
		Tokens:      int(answer.GetTokens()),
	}
}

// refusalError returns the error for a refused command on a claim.
func refusalError(operation string, result *rpc.Result, organisation tables.OrganisationID, key tables.IdempotencyKey, fence tables.FencingToken) error {
	switch reason := result.GetRefusal().GetReason(); reason {
	case rpc.RefusalReason_REFUSED_KEY_REUSED:
		return &tables.KeyReusedError{Organisation: organisation, Key: key}
	case rpc.RefusalReason_REFUSED_CLAIMS_FULL:
		return &ClaimLimitError{Organisation: organisation}
	case rpc.RefusalReason_REFUSED_CLAIMS_HELD:
		return &ClaimsOnHoldError{RetryAfter: time.Duration(result.GetRefusal().GetRetryAfterNanos())}
	case rpc.RefusalReason_REFUSED_CLAIM_LOST, rpc.RefusalReason_REFUSED_ALREADY_DISPATCHED:
		return &tables.ClaimLostError{Organisation: organisation, Key: key, FencingToken: fence}
	default:
		return &UnexpectedResultError{Operation: operation, Reason: reason}
	}
}
