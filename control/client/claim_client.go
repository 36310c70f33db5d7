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
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// keepAlive is the time between two signs of life of an owner. Three of them
	// fit into the time after which the group counts an owner as lost.
	keepAlive = 2 * time.Second
	// lostAfter is how long dispatched work may run. It is above the longest
	// timeout of a profile.
	lostAfter = 5 * time.Hour
	// maxUnsent bounds the ends of claims that wait for a quorum.
	maxUnsent = 4096
	// driftMargin is the part of a duration by which a holder stops before its
	// own clock says so: twice the drift that is allowed for, once for its clock
	// and once for the leader's.
	driftMargin = 2 * maxDrift
	// maxDrift is how much faster or slower than real time a monotonic clock may
	// run: 1 in 100, far above what clocks of sound machines do.
	maxDrift = 0.01
)

// ClaimClientOptions sets Claims up.
type ClaimClientOptions struct {
	Executor Executor
	Instance tables.InstanceID
	// Boot grows with every start of this instance.
	Boot uint64
	// Now is this process's monotonic clock.
	Now func() tables.Instant
	Log *zap.Logger
}

// ClaimClient makes the claims of one entry instance. It is safe for concurrent use.
// Its errors are *tables.KeyReused, *tables.NoQuorum, *tables.GrantLost,
// *ClaimsFull and *ClaimsHeld; after any of them nothing may be dispatched.
type ClaimClient struct {
	options ClaimClientOptions
	tokens  atomic.Uint64
	stop    context.CancelFunc
	running sync.WaitGroup

	mu   sync.Mutex
	open map[claimID]bool
	// active counts claims of each key that are being asked for or are open.
	active map[claimKey]int
	// unsent are ends of claims that no quorum has taken yet.
	unsent []*rpc.Command
}

type claimKey struct {
	organisation tables.OrganisationID
	key          tables.IdempotencyKey
}

type claimID struct {
	claimKey
	fence tables.FencingToken
}

// ClaimLimitError means that the control state keeps as many claims as it can.
// Forgetting one to make room could let its work run twice.
type ClaimLimitError struct {
	Organisation tables.OrganisationID
}

// Error says whose claim it was.
func (e *ClaimLimitError) Error() string {
	return fmt.Sprintf("no room for another claim of organisation %s", e.Organisation)
}

// ClaimsOnHoldError means that the control state was restored from a backup a short
// while ago. A key that it does not know may have run since the backup.
type ClaimsOnHoldError struct {
	RetryAfter time.Duration
}

// Error says for how long.
func (e *ClaimsOnHoldError) Error() string {
	return fmt.Sprintf("claims on unknown keys are held for another %v after a restore", e.RetryAfter)
}

// UnexpectedResultError means that the control state answered what does not fit the
// question.
type UnexpectedResultError struct {
	Operation string
	Reason    rpc.RefusalReason
}

// Error gives the answer.
func (e *UnexpectedResultError) Error() string {
	return fmt.Sprintf("%s: control state answered %s", e.Operation, e.Reason)
}

// NewClaimClient returns Claims that keep themselves alive until Close.
func NewClaimClient(options ClaimClientOptions) *ClaimClient {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &ClaimClient{options: options, stop: cancel, open: map[claimID]bool{}, active: map[claimKey]int{}}
	c.running.Go(func() { c.run(ctx) })
	return c
}

// Close stops the signs of life; open claims then count as lost.
func (c *ClaimClient) Close() {
	c.stop()
	c.running.Wait()
}

// Claim asks for the right to run the work named by the organisation's key.
func (c *ClaimClient) Claim(ctx context.Context, organisation tables.OrganisationID, key tables.IdempotencyKey, body tables.BodyHash) (tables.ClaimResult, error) {
	at := claimKey{organisation, key}
	token, sent := c.token(), c.options.Now()
	result, err := c.options.Executor.Execute(ctx, &rpc.Command{Action: &rpc.Command_Claim{Claim: &rpc.Claim{
		Organisation: string(organisation),
		Key:          string(key),
		Body:         body[:],
		Owner:        c.owner(),
		Token:        token,
		Alone:        c.begin(at),
	}}})
	if result.GetClaim().GetState() != rpc.ClaimState_CLAIM_NEW {
		defer c.finished(at)
	}
	if err != nil {
		c.abandon(at, token)
		return tables.ClaimResult{}, trace.Wrap(err)
	}
	answer := result.GetClaim()
	if answer == nil {
		return tables.ClaimResult{}, trace.Wrap(refusal("claim", result, organisation, key, 0))
	}
	grant := tables.ClaimResult{
		Organisation: organisation,
		Key:          key,
		State:        grantState(answer.GetState()),
		FencingToken: tables.FencingToken(answer.GetFence()),
		Response:     decodeAnswer(answer.GetAnswer()),
	}
	if grant.State == tables.ClaimGranted {
		grant.ExpiresAt = sent + safe(state.DefaultLimits().ClaimedTTL)
		c.opened(grant)
	}
	return grant, nil
}

// MarkDispatched records that the work may run from now on. It is called before
// the call leaves, and once per grant: a second one would be a second dispatch.
func (c *ClaimClient) MarkDispatched(ctx context.Context, grant tables.ClaimResult) error {
	if c.options.Now() >= grant.ExpiresAt {
		return trace.Wrap(&tables.ClaimLostError{Organisation: grant.Organisation, Key: grant.Key, FencingToken: grant.FencingToken})
	}
	result, err := c.options.Executor.Execute(ctx, &rpc.Command{Action: &rpc.Command_MarkDispatched{
		MarkDispatched: &rpc.MarkDispatched{
			Organisation:   string(grant.Organisation),
			Key:            string(grant.Key),
			Fence:          uint64(grant.FencingToken),
			Token:          c.token(),
			LostAfterNanos: int64(lostAfter),
		},
	}})
	if err != nil {
		return trace.Wrap(err)
	}
	if result.GetDone() == nil {
		return trace.Wrap(refusal("mark claim dispatched", result, grant.Organisation, grant.Key, grant.FencingToken))
	}
	return nil
}

// Finish stores the answer that resends get. When no quorum takes it, it is
// sent again in the background for as long as the process lives.
func (c *ClaimClient) Finish(ctx context.Context, grant tables.ClaimResult, answer tables.StoredResponse) error {
	return c.end(ctx, grant, &rpc.Command{Action: &rpc.Command_FinishClaim{FinishClaim: &rpc.FinishClaim{
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

// Release gives the claim back. The caller has proof that the work did not run,
// and will not dispatch it under this grant any more.
func (c *ClaimClient) Release(ctx context.Context, grant tables.ClaimResult) error {
	return c.end(ctx, grant, &rpc.Command{Action: &rpc.Command_ReleaseClaim{ReleaseClaim: &rpc.ReleaseClaim{
		Organisation: string(grant.Organisation),
		Key:          string(grant.Key),
		Fence:        uint64(grant.FencingToken),
	}}})
}

func (c *ClaimClient) end(ctx context.Context, grant tables.ClaimResult, command *rpc.Command) error {
	c.closed(grant)
	result, err := c.options.Executor.Execute(ctx, command)
	if err != nil {
		c.later(command)
		return trace.Wrap(err)
	}
	if result.GetDone() == nil {
		return trace.Wrap(refusal(asked(command), result, grant.Organisation, grant.Key, grant.FencingToken))
	}
	return nil
}

func (c *ClaimClient) owner() *rpc.ClaimOwner {
	return &rpc.ClaimOwner{Instance: string(c.options.Instance), Boot: c.options.Boot}
}

// token names one call of this process, so that its copies are told from the
// next call.
func (c *ClaimClient) token() string {
	return strconv.FormatUint(c.options.Boot, 36) + "-" + strconv.FormatUint(c.tokens.Add(1), 36)
}

// begin notes that a key is being claimed, and returns whether no other claim of
// this process on it is active.
func (c *ClaimClient) begin(at claimKey) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active[at]++
	return c.active[at] == 1
}

// finished ends what begin noted.
func (c *ClaimClient) finished(at claimKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active[at]--
	if c.active[at] <= 0 {
		delete(c.active, at)
	}
}

// abandon gives back a claim that may have been granted though no answer came.
// As long as this process lives, nobody could take it over, and resends through
// other instances would be told that it is in progress.
func (c *ClaimClient) abandon(at claimKey, token string) {
	c.later(&rpc.Command{Action: &rpc.Command_ReleaseClaim{ReleaseClaim: &rpc.ReleaseClaim{
		Organisation: string(at.organisation),
		Key:          string(at.key),
		Owner:        c.owner(),
		Token:        token,
	}}})
}

func (c *ClaimClient) opened(grant tables.ClaimResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[claimID{claimKey{grant.Organisation, grant.Key}, grant.FencingToken}] = true
}

func (c *ClaimClient) closed(grant tables.ClaimResult) {
	id := claimID{claimKey{grant.Organisation, grant.Key}, grant.FencingToken}
	c.mu.Lock()
	known := c.open[id]
	delete(c.open, id)
	c.mu.Unlock()
	if known {
		c.finished(id.claimKey)
	}
}

// later keeps the end of a claim. Without it, a resend would be told that the
// outcome is unknown although the answer is here.
func (c *ClaimClient) later(command *rpc.Command) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.unsent) < maxUnsent {
		c.unsent = append(c.unsent, command)
	}
}

// run says that this owner lives while it has open claims, and sends again what
// found no quorum.
func (c *ClaimClient) run(ctx context.Context) {
	for wait(ctx, keepAlive) {
		c.mu.Lock()
		open, unsent := len(c.open), c.unsent
		c.unsent = nil
		c.mu.Unlock()
		if open > 0 {
			bounded, cancel := context.WithTimeout(ctx, keepAlive)
			_, err := c.options.Executor.Execute(bounded, &rpc.Command{Action: &rpc.Command_KeepAlive{
				KeepAlive: &rpc.KeepAlive{Owner: c.owner()},
			}})
			cancel()
			if err != nil {
				events.ClaimsNotKeptAlive.Log(c.options.Log, zap.Error(err))
			}
		}
		c.sendAgain(ctx, unsent)
	}
}

func (c *ClaimClient) sendAgain(ctx context.Context, unsent []*rpc.Command) {
	for i, command := range unsent {
		bounded, cancel := context.WithTimeout(ctx, keepAlive)
		_, err := c.options.Executor.Execute(bounded, command)
		cancel()
		if err != nil {
			c.mu.Lock()
			c.unsent = append(c.unsent, unsent[i:]...)
			c.mu.Unlock()
			return
		}
	}
}

// safe shortens a duration of the log so that it has passed by this process's
// clock before it can have passed by any leader's.
func safe(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - driftMargin))
}

func grantState(s rpc.ClaimState) tables.ClaimState {
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

func decodeAnswer(answer *rpc.StoredAnswer) tables.StoredResponse {
	return tables.StoredResponse{
		Status:      int(answer.GetStatus()),
		ContentType: answer.GetType(),
		Body:        answer.GetBody(),
		Tokens:      int(answer.GetTokens()),
	}
}

func refusal(asked string, result *rpc.Result, organisation tables.OrganisationID, key tables.IdempotencyKey, fence tables.FencingToken) error {
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
		return &UnexpectedResultError{Operation: asked, Reason: reason}
	}
}
