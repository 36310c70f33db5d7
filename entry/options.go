// Package entry is the callers' side of an instance: it authenticates, checks
// and bounds requests, lets the router place them, streams the answers, resumes
// them elsewhere when an endpoint fails, and tells the truth about what ran.
//
// One goroutine owns the router. Requests and whatever endpoints say arrive
// there as messages; several that wait share one tick. Tokens do not pass
// through it: the goroutine that serves a caller reads them from the endpoint.
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

// Router decides where and when requests run; *router.Router is one. It is
// called by one goroutine.
type Router interface {
	Configure(now tables.Instant, c *tables.Configuration)
	Submit(now tables.Instant, r *tables.Request)
	Observe(now tables.Instant, in router.Input)
	Cancel(now tables.Instant, id tables.RequestID)
	Tick(now tables.Instant) []router.Action
	// NextTick is when a tick is due though nothing arrives.
	NextTick(now tables.Instant) tables.Instant
}

// ClaimStore grants the right to run work that must run at most once. Its errors
// are *tables.KeyReused, *tables.NoQuorum and *tables.GrantLost.
type ClaimStore interface {
	// Claim asks for the organisation's key. The same key with another body is
	// *tables.KeyReused.
	Claim(ctx context.Context, org tables.OrganisationID, key tables.IdempotencyKey, body tables.BodyHash) (tables.ClaimResult, error)
	// MarkDispatched records that the work may run from now on. Nothing may be
	// sent to an endpoint unless it returned nil.
	MarkDispatched(ctx context.Context, g tables.ClaimResult) error
	// Finish stores the answer that resends get.
	Finish(ctx context.Context, g tables.ClaimResult, a tables.StoredResponse) error
	// Release gives the claim back; the caller knows that the work did not run.
	Release(ctx context.Context, g tables.ClaimResult) error
}

// Metrics takes the measurements of requests. Calls come from many goroutines.
type Metrics interface {
	// ObserveTTFT takes the time from arrival to the first token.
	ObserveTTFT(org tables.OrganisationID, profile tables.ProfileName, p tables.Priority, d time.Duration)
	// ObserveTimeBetweenTokens takes the time between two tokens of one stream.
	ObserveTimeBetweenTokens(org tables.OrganisationID, p tables.Priority, d time.Duration)
	// ObserveQueueWait takes the time from arrival to the first dispatch.
	ObserveQueueWait(org tables.OrganisationID, p tables.Priority, d time.Duration)
	// ObservePrefixHitRatio takes how many prompt tokens came from a cache, of how many.
	ObservePrefixHitRatio(org tables.OrganisationID, p tables.Priority, cached, total int)
	// CountFailure counts failures by number and outcome.
	CountFailure(org tables.OrganisationID, code tables.ErrorCode, o tables.Outcome)
	// CountDropped counts answers and tokens that were dropped.
	CountDropped(d DropReason)
	// CountResumedStream counts streams that went on at another endpoint.
	CountResumedStream(org tables.OrganisationID)
}

// DropReason names why a part of an answer was dropped.
type DropReason uint8

// The reasons for dropping a part of an answer.
const (
	// DroppedMismatch: it names another attempt or other weights.
	DroppedMismatch DropReason = iota
	// DroppedDuplicate: the caller already has this token.
	DroppedDuplicate
	// DroppedLate: another attempt had already won.
	DroppedLate
)

// Limits bound the memory and time that callers can take.
type Limits struct {
	// MaxBodyBytes is the largest request body in bytes.
	MaxBodyBytes int64
	// MaxBufferedBytes is how many bytes of request bodies are held at once.
	MaxBufferedBytes int64
	// MaxInFlight is how many requests are open at once, MaxOpenOrganisation how
	// many of one organisation.
	MaxInFlight                int
	MaxInFlightPerOrganisation int
	// MaxCompletionBytes is the largest completion in bytes of text. It is held in memory
	// until the request ends, because a resume has to repeat it.
	MaxCompletionBytes int
	// DefaultMaxTokens is used when a caller names no limit.
	DefaultMaxTokens int
	// TokenTimeout is how long an endpoint may pause within a stream before the
	// attempt counts as broken.
	TokenTimeout time.Duration
	// WriteTimeout is how long a caller may take no data before it is cut off.
	WriteTimeout time.Duration
	// ReadTimeout bounds how long a caller may take to send its request.
	ReadTimeout time.Duration
	// CancelTimeout bounds how long a cancelled attempt's slot stays accounted
	// when the endpoint does not confirm.
	CancelTimeout time.Duration
	// CrashCheckTimeout bounds how long a failing answer waits until it is known whether an
	// endpoint has crashed: one that hangs, or is cut off, answers nothing.
	CrashCheckTimeout time.Duration
	// ClaimTimeout bounds each question to the control state.
	ClaimTimeout time.Duration
	// DeadlineGrace is how long after its timeout a request is ended that the
	// router did not end.
	DeadlineGrace time.Duration
	// DrainDelay is how long new requests are still served after the balancer
	// is told that the instance is not ready.
	DrainDelay time.Duration
}

// DefaultLimits are the limits used for fields that are zero.
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

// Options are what a Server is made of.
type Options struct {
	Instance tables.InstanceID
	// BootID tells this life of the instance from others in request identities.
	BootID  string
	Router  Router
	Client  engine.Client
	Claims  ClaimStore
	Metrics Metrics
	Log     *zap.Logger
	// BroadcastSuspects notifies the other instances of what the router suspects; nil means
	// that there are none. It must not block. The channel that it returns is closed
	// once they are notified, or after a bounded time.
	BroadcastSuspects func([]quarantine.Suspect) (notified <-chan struct{})
	// GossipPlacements tells the other instances where prefixes were placed; nil means
	// that there are none. The slice is reused. It must not block.
	GossipPlacements func([]router.PeerPlacement)
	// Now reads the process's monotonic clock.
	Now    func() tables.Instant
	Limits Limits
}
