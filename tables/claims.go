package tables

// IdempotencyKey is the idempotency key that a caller sent. It is unique within
// its organisation only.
type IdempotencyKey string

// BodyHash identifies the exact content of a request: the SHA-256 of profile,
// call and body.
type BodyHash [32]byte

// ClaimState is the state of the idempotency record of an organisation's key.
type ClaimState uint8

// The states of a claim, as returned to the instance that asked for it.
const (
	// ClaimGranted: the asking instance holds the claim exclusively. It may
	// mark the claim dispatched and then run the work once.
	ClaimGranted ClaimState = iota
	// ClaimInProgress: another request holds the claim, and the claim has not
	// expired.
	ClaimInProgress
	// ClaimCompleted: the work ran, and Response holds its result.
	ClaimCompleted
	// ClaimOutcomeUnknown: the claim was marked dispatched, but the claim
	// expired before a response was stored. The work may have run and must not
	// run again.
	ClaimOutcomeUnknown
)

// ClaimResult is the control state's reply to a request to claim an idempotency
// key.
type ClaimResult struct {
	Organisation OrganisationID
	Key          IdempotencyKey
	State        ClaimState
	// FencingToken distinguishes this claim from later claims of the same key.
	FencingToken FencingToken
	// ExpiresAt is when the claim expires: until then its holder may mark it
	// dispatched. It is an instant of the asking process's clock, set for
	// ClaimGranted.
	ExpiresAt Instant
	// Response is set for ClaimCompleted.
	Response StoredResponse
}

// StoredResponse is the stored response of work that runs at most once. Callers
// that repeat the key receive it again.
type StoredResponse struct {
	Status      int
	ContentType string
	Body        []byte
	// Tokens counts the tokens of a completion; zero for plain services.
	Tokens int
}
