package state

import "time"

// Limits bounds the size of the replicated state and sets its timeouts.
// Replicas with different limits would diverge, so the limits belong to the
// version of the state machine and are not a setting.
type Limits struct {
	// MaxRevisions and MaxHistoryBytes bound the configuration history; the
	// oldest revisions are dropped first.
	MaxRevisions    int
	MaxHistoryBytes int
	// MaxRememberedRequests is the number of operator requests whose first
	// answer is kept, so that a resent request gets the same answer.
	MaxRememberedRequests int
	// ClaimedTTL is how long a claim is retained that was never dispatched. It
	// exceeds the longest time for which work may be held in a queue.
	ClaimedTTL time.Duration
	// SessionTimeout is how long an instance counts as alive after its last
	// message. After that, its claims that were not dispatched can be taken
	// over.
	SessionTimeout time.Duration
	// ClaimRetention is how long a claim is retained after its dispatch or its
	// answer.
	ClaimRetention time.Duration
	// MaxClaims bounds the retained claims, MaxClaimsPerOrganisation those of
	// one organisation. Above the bounds new claims are refused: evicting an
	// old key early could execute its work twice.
	MaxClaims                int
	MaxClaimsPerOrganisation int
	// MaxAnswerBytes bounds the body of one stored answer, MaxTotalAnswerBytes
	// those of all answers. The body of an answer that does not fit is dropped;
	// its claim is retained.
	MaxAnswerBytes      int
	MaxTotalAnswerBytes int
}

// DefaultLimits returns the limits of this version.
func DefaultLimits() Limits {
	return Limits{
		MaxRevisions:             4096,
		MaxHistoryBytes:          16 << 20,
		MaxRememberedRequests:    16384,
		ClaimedTTL:               2 * time.Hour,
		SessionTimeout:           6 * time.Second,
		ClaimRetention:           24 * time.Hour,
		MaxClaims:                200_000,
		MaxClaimsPerOrganisation: 50_000,
		MaxAnswerBytes:           64 << 10,
		MaxTotalAnswerBytes:      64 << 20,
	}
}

const (
	// minOutcomeTimeout and maxOutcomeTimeout bound how long after its dispatch
	// the work of a claim may go without an answer before its outcome counts as
	// unknown.
	minOutcomeTimeout = time.Second
	maxOutcomeTimeout = 5 * time.Hour
	// maxRetryAfter bounds the retry delay advised to a caller whose claim is
	// in progress.
	maxRetryAfter = time.Second
	// minLeaseDuration and maxLeaseDuration bound the duration of a lease.
	minLeaseDuration = time.Second
	maxLeaseDuration = time.Minute
	// maxAnnouncedOrders bounds the orders in one announcement.
	maxAnnouncedOrders = 1024
	// sessionSweepThreshold is the number of sessions from which on a new
	// session first evicts those that have been silent for the claim retention.
	sessionSweepThreshold = 1024
	// maxNameBytes bounds the names, keys and tokens in commands.
	maxNameBytes = 512
)
