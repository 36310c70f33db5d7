// Package entry is the API gateway of an instance. It authenticates callers,
// validates requests and limits what they may use. It lets the router place the
// requests, streams the responses and resumes a stream at another endpoint when
// one fails. For every request that fails it reports whether the work ran.
//
// The router runs in an event loop: one goroutine owns it, and requests and
// reports from endpoints reach it as messages. Queued messages share one tick.
// Tokens do not pass through the event loop: the goroutine that serves a caller
// reads them from the endpoint.
package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/systems/quarantine"
	"github.com/carawaystile/carawaystile/tables"
)

// Router decides where and when requests run; *router.Router implements it. It
// is called by one goroutine.
type Router interface {
	// Configure applies a configuration.
	Configure(now tables.Instant, c *tables.Configuration)
	// Submit adds a request.
	Submit(now tables.Instant, r *tables.Request)
	// Observe applies a report from an endpoint, a peer or an attempt.
	Observe(now tables.Instant, in router.Input)
	// Cancel ends a request that its caller no longer wants.
	Cancel(now tables.Instant, id tables.RequestID)
	// Tick makes the decisions that are due and returns the resulting actions.
	Tick(now tables.Instant) []router.Action
	// NextTick returns when the next tick is due if no input arrives before.
	NextTick(now tables.Instant) tables.Instant
}

// ClaimStore is the store of claims on idempotency keys. A claim is the
// exclusive right to run work that must run at most once. The errors of a
// ClaimStore are *tables.KeyReusedError, *tables.NoQuorumError and
// *tables.ClaimLostError.
type ClaimStore interface {
	// Claim claims a key of the organisation. If the key was used with another
	// body, the error is a *tables.KeyReusedError.
	Claim(ctx context.Context, org tables.OrganisationID, key tables.IdempotencyKey, body tables.BodyHash) (tables.ClaimResult, error)
	// MarkDispatched records that the work may run from now on. Nothing may be
	// sent to an endpoint unless it returned nil.
	MarkDispatched(ctx context.Context, g tables.ClaimResult) error
	// Finish stores the response that resends receive.
	Finish(ctx context.Context, g tables.ClaimResult, a tables.StoredResponse) error
	// Release gives up the claim. The caller of Release knows that the work did
	// not run.
	Release(ctx context.Context, g tables.ClaimResult) error
}

// Metrics records measurements of requests. Many goroutines call it
// concurrently.
type Metrics interface {
	// ObserveTTFT records the time from arrival to the first token.
	ObserveTTFT(org tables.OrganisationID, profile tables.ProfileName, p tables.Priority, d time.Duration)
	// ObserveTimeBetweenTokens records the time between two tokens of one
	// stream.
	ObserveTimeBetweenTokens(org tables.OrganisationID, p tables.Priority, d time.Duration)
	// ObserveQueueWait records the time from arrival to the first dispatch.
	ObserveQueueWait(org tables.OrganisationID, p tables.Priority, d time.Duration)
	// ObservePrefixHitRatio records how many of the prompt tokens, of a total,
	// the endpoint found in its prefix cache.
	ObservePrefixHitRatio(org tables.OrganisationID, p tables.Priority, cached, total int)
	// CountFailure counts final failures by error code and outcome.
	CountFailure(org tables.OrganisationID, code tables.ErrorCode, o tables.Outcome)
	// CountDropped counts responses and tokens that were dropped, by reason.
	CountDropped(d DropReason)
	// CountResumedStream counts streams that were resumed at another endpoint.
	CountResumedStream(org tables.OrganisationID)
}

// DropReason is the reason for dropping a response or a token.
type DropReason uint8

// The reasons for dropping a response or a token.
const (
	// DroppedMismatch: it names another attempt or another weights version.
	DroppedMismatch DropReason = iota
	// DroppedDuplicate: the caller already has this token.
	DroppedDuplicate
	// DroppedLate: another attempt has already won.
	DroppedLate
)

// Limits bound the memory and the time that requests can use.
type Limits struct {
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int64
	// MaxBufferedBytes is the total size of the request bodies that are held in
	// memory at the same time.
	MaxBufferedBytes int64
	// MaxInFlight bounds the requests in flight, MaxInFlightPerOrganisation
	// those of one organisation.
	MaxInFlight                int
	MaxInFlightPerOrganisation int
	// MaxCompletionBytes is the largest text of a completion in bytes. The text
	// is held in memory until the request ends, because a resumed attempt needs
	// it.
	MaxCompletionBytes int
	// DefaultMaxTokens is the max_tokens of requests that do not set it.
	DefaultMaxTokens int
	// TokenTimeout is how long an endpoint may pause within a stream before the
	// attempt counts as interrupted.
	TokenTimeout time.Duration
	// WriteTimeout is how long a caller may read nothing before it is
	// disconnected.
	WriteTimeout time.Duration
	// ReadTimeout bounds how long a caller may take to send its request.
	ReadTimeout time.Duration
	// CancelTimeout bounds how long a cancelled attempt's slot counts as used
	// if the endpoint does not confirm the cancel.
	CancelTimeout time.Duration
	// CrashCheckTimeout bounds how long a failure is held back until it is
	// known whether the endpoint has crashed. An endpoint that hangs or is
	// behind a network partition does not respond at all.
	CrashCheckTimeout time.Duration
	// ClaimTimeout bounds each call to the control state.
	ClaimTimeout time.Duration
	// DeadlineGrace is the time after the deadline of a request at which the
	// entry ends the request if the router has not.
	DeadlineGrace time.Duration
	// DrainDelay is how long new requests are still served after the load
	// balancer is told that the instance is not ready.
	DrainDelay time.Duration
}

// DefaultLimits returns the limits that replace zero fields.
func DefaultLimits() Limits {
	return Limits{
		MaxBodyBytes:               8 << 20,
		MaxBufferedBytes:           64 << 20,
		MaxInFlight:                4096,
		MaxInFlightPerOrganisation: 1024,
		MaxCompletionBytes:         4 << 20,
		DefaultMaxTokens:           256,
		TokenTimeout:               10 * time.Second,
		WriteTimeout:               30 * time.Second,
		ReadTimeout:                30 * time.Second,
		CancelTimeout:              2 * time.Second,
		CrashCheckTimeout:          time.Second,
		ClaimTimeout:               2 * time.Second,
		DeadlineGrace:              5 * time.Second,
		DrainDelay:                 5 * time.Second,
	}
}

// Options are the dependencies and settings of a Server.
type Options struct {
	Instance tables.InstanceID
	// BootID distinguishes this run of the instance from its other runs in
	// request IDs.
	BootID  string
	Router  Router
	Client  engine.Client
	Claims  ClaimStore
	Metrics Metrics
	Log     *zap.Logger
	// BroadcastSuspects sends the suspects of a crash to the other instances;
	// nil means that there are none. It must not block. The returned channel is
	// closed once the instances are notified, or after a bounded time.
	BroadcastSuspects func([]quarantine.Suspect) (notified <-chan struct{})
	// GossipConvictions sends the convictions in force to some other instances;
	// nil means that there are none. It must not block.
	GossipConvictions func([]quarantine.Suspect)
	// GossipPlacements tells the other instances where prefixes were placed;
	// nil means that there are none. The slice is reused after the call. It
	// must not block.
	GossipPlacements func([]router.PeerPlacement)
	// Now reads the process's monotonic clock.
	Now    func() tables.Instant
	Limits Limits
}
