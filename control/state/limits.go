package state

import "time"

// Limits bounds the replicated state. It is part of the state machine's
// version: replicas with different limits would drift apart, so it is not a
// setting.
type Limits struct {
	// Revisions and RevisionBytes bound the history of configurations; the
	// oldest revisions go first.
	Revisions     int
	RevisionBytes int
	// Requests is how many operators' requests are remembered with their first
	// answer.
	Requests int
	// ClaimedFor is how long a claim that was never dispatched is kept. It is
	// above the longest time that work may be held back.
	ClaimedFor time.Duration
	// SessionFor is how long an owner that is not heard of counts as alive.
	// Then its claims that were not dispatched can be taken over.
	SessionFor time.Duration
	// Retention is how long a claim is kept after its dispatch or its answer.
	Retention time.Duration
	// Claims bounds the claims kept, ClaimsPerOrganisation those of one
	// organisation. New claims above are refused: forgetting an old key early
	// could run its work twice.
	Claims                int
	ClaimsPerOrganisation int
	// AnswerBytes bounds one stored answer, AllAnswerBytes all together. An
	// answer that does not fit is forgotten, its claim is not.
	AnswerBytes    int
	AllAnswerBytes int
}

// DefaultLimits returns the limits of this version.
func DefaultLimits() Limits {
	return Limits{
		Revisions:             4096,
		RevisionBytes:         16 << 20,
		Requests:              16384,
		ClaimedFor:            2 * time.Hour,
		SessionFor:            6 * time.Second,
		Retention:             24 * time.Hour,
		Claims:                200_000,
		ClaimsPerOrganisation: 50_000,
		AnswerBytes:           64 << 10,
		AllAnswerBytes:        64 << 20,
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
