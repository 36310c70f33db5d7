package state

import "time"

// Limits bounds the replicated state. It is part of the state machine's
// version: replicas with different limits would drift apart, so it is not a
// setting.
type Limits struct {
	// MaxRevisions and RevisionBytes bound the history of configurations; the
	// oldest revisions go first.
	MaxRevisions    int
	MaxHistoryBytes int
	// MaxRememberedRequests is how many operators' requests are remembered with their first
	// answer.
	MaxRememberedRequests int
	// ClaimedTTL is how long a claim that was never dispatched is kept. It is
	// above the longest time that work may be held back.
	ClaimedTTL time.Duration
	// SessionTimeout is how long an owner that is not heard of counts as alive.
	// Then its claims that were not dispatched can be taken over.
	SessionTimeout time.Duration
	// ClaimRetention is how long a claim is kept after its dispatch or its answer.
	ClaimRetention time.Duration
	// MaxClaims bounds the claims kept, ClaimsPerOrganisation those of one
	// organisation. New claims above are refused: forgetting an old key early
	// could run its work twice.
	MaxClaims                int
	MaxClaimsPerOrganisation int
	// MaxAnswerBytes bounds one stored answer, AllAnswerBytes all together. An
	// answer that does not fit is forgotten, its claim is not.
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
	// minLostAfter and maxLostAfter bound how long dispatched work is waited
	// for before its outcome counts as unknown.
	minLostAfter = time.Second
	maxLostAfter = 5 * time.Hour
	// maxRetryAfter bounds the advice to those who find a claim in progress.
	maxRetryAfter = time.Second
	// minLease and maxLease bound the duration of a lease.
	minLease = time.Second
	maxLease = time.Minute
	// maxAnnounced bounds the orders that are announced at once.
	maxAnnounced = 1024
	// manySessions is how many instances are remembered before old ones are
	// looked for and forgotten.
	manySessions = 1024
	// maxNameBytes bounds names and keys in commands.
	maxNameBytes = 512
)
