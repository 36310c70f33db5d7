package tables

// Key is the idempotency key that a caller gave; it counts within its
// organisation only.
type Key string

// BodyHash identifies the exact content of a request: the SHA-256 of profile,
// call and body.
type BodyHash [32]byte

// GrantState says what the control state knows of an organisation's key.
type GrantState uint8

// The states of a claim, as the instance that asked is told.
const (
	// GrantNew: nobody holds the claim but the one who asked. It may mark it
	// dispatched, and then run the work once.
	GrantNew GrantState = iota
	// GrantInProgress: another holds the claim and its right has not expired.
	GrantInProgress
	// GrantDone: the work ran; Answer holds what it gave.
	GrantDone
	// GrantUnknown: the claim was marked dispatched and no answer was stored
	// before the right to it expired. It may have run and must not run again.
	GrantUnknown
)

// Grant is the control state's answer to a claim.
type Grant struct {
	Organisation OrganisationID
	Key          Key
	State        GrantState
	// Fence tells this claim from later ones of the same key.
	Fence Fence
	// Until is when the right to mark the claim dispatched expires, by the
	// clock of the process that asked; set for GrantNew.
	Until Instant
	// Answer is set for GrantDone.
	Answer Answer
}

// Answer is the stored answer to work that ran once.
type Answer struct {
	Status int
	Type   string
	Body   []byte
	// Tokens counts the tokens of a completion; zero for plain services.
	Tokens int
}
