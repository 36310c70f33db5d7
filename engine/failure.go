package engine

import (
	"fmt"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// UnexpectedStatus means that an endpoint, or something before it, answered
// with a status that says nothing about whether the work began.
type UnexpectedStatus struct {
	Status int
	Type   string
	// refusal is what an endpoint said beside refusing an order.
	refusal OrderRefusal
}

// Error gives the status.
func (e *UnexpectedStatus) Error() string {
	return fmt.Sprintf("unexpected answer with status %d and type %q", e.Status, e.Type)
}

// Silent means that an endpoint sent nothing, not even a heartbeat, for After.
type Silent struct{ After time.Duration }

// Error gives the time.
func (e *Silent) Error() string { return fmt.Sprintf("endpoint silent for %v", e.After) }

// TooLong means that an endpoint sent more than Limit bytes where the protocol
// allows no more.
type TooLong struct {
	What  string
	Limit int64
}

// Error names the part and the limit.
func (e *TooLong) Error() string { return fmt.Sprintf("%s longer than %d bytes", e.What, e.Limit) }

// TokenGap means that a stream skipped at least one token.
type TokenGap struct{ Want, Got int }

// Error gives both indexes.
func (e *TokenGap) Error() string { return fmt.Sprintf("token %d came, %d was due", e.Got, e.Want) }

// NoEndMark means that a stream ended without its end mark.
type NoEndMark struct{}

// Error says so.
func (e *NoEndMark) Error() string { return "stream ended without its end mark" }

// Garbled means that an endpoint broke the protocol.
type Garbled struct {
	What  string
	Cause error
}

// Error says where.
func (e *Garbled) Error() string { return fmt.Sprintf("garbled %s: %v", e.What, e.Cause) }

// Unwrap gives the cause.
func (e *Garbled) Unwrap() error { return e.Cause }

// EndpointFailure is the endpoint's own word that an attempt failed after it
// began.
type EndpointFailure struct{ Reason string }

// Error gives the endpoint's reason.
func (e *EndpointFailure) Error() string { return "endpoint failed: " + e.Reason }

// CancelUnconfirmed means that an endpoint did not confirm the end of an
// attempt, which may still be running there.
type CancelUnconfirmed struct {
	Attempt tables.AttemptID
	Cause   error
}

// Error gives the cause.
func (e *CancelUnconfirmed) Error() string {
	return fmt.Sprintf("end of attempt %s not confirmed: %v", e.Attempt, e.Cause)
}

// Unwrap gives the cause.
func (e *CancelUnconfirmed) Unwrap() error { return e.Cause }

// sealedBody is what a request body gives after its attempt was given up.
type sealedBody struct{}

func (e *sealedBody) Error() string { return "attempt was given up before its body left" }
