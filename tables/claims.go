package tables

// IdempotencyKey is the idempotency key that a caller gave; it counts within its
// organisation only.
type IdempotencyKey string

// BodyHash identifies the exact content of a request: the SHA-256 of profile,
// call and body.
type BodyHash [32]byte

// ClaimState says what the control state knows of an organisation's key.
type ClaimState uint8

// The states of a claim, as the instance that asked is told.
const (
	// ClaimGranted: nobody holds the claim but the one who asked. It may mark it
	// dispatched, and then run the work once.
	ClaimGranted ClaimState = iota
	// ClaimInProgress: another holds the claim and its right has not expired.
	ClaimInProgress
	// ClaimCompleted: the work ran; Answer holds what it gave.
	ClaimCompleted
	// ClaimOutcomeUnknown: the claim was marked dispatched and no answer was stored
	// before the right to it expired. It may have run and must not run again.
	ClaimOutcomeUnknown
)

// ClaimResult is the control state's answer to a claim.
type ClaimResult struct {
	Organisation OrganisationID
	Key          IdempotencyKey
	State        ClaimState
	// FencingToken tells this claim from later ones of the same key.
	FencingToken FencingToken
	// ExpiresAt is when the right to mark the claim dispatched expires, by the
	// clock of the process that asked; set for GrantNew.
	ExpiresAt Instant
	// Response is set for GrantDone.
	Response StoredResponse
}

// StoredResponse is the stored answer to work that ran once.
type StoredResponse struct {
	Status      int
	ContentType string
	Body        []byte
	// Tokens counts the tokens of a completion; zero for plain services.
	Tokens int
}
