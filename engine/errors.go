package engine

import (
	"fmt"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// UnexpectedStatusError means that an endpoint, or something before it, answered
// with a status that says nothing about whether the work began.
type UnexpectedStatusError struct {
	Status      int
	ContentType string
	// refusal is what an endpoint said beside refusing an order.
	refusal OrderRefusal
}

// Error gives the status.
func (e *UnexpectedStatusError) Error() string {
	return fmt.Sprintf("unexpected answer with status %d and type %q", e.Status, e.ContentType)
}

// ReadTimeoutError means that an endpoint sent nothing, not even a heartbeat, for After.
type ReadTimeoutError struct{ After time.Duration }

// Error gives the time.
func (e *ReadTimeoutError) Error() string { return fmt.Sprintf("endpoint silent for %v", e.After) }

// TooLargeError means that an endpoint sent more than Limit bytes where the protocol
// allows no more.
type TooLargeError struct {
	What  string
	Limit int64
}

// Error names the part and the limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s longer than %d bytes", e.What, e.Limit)
}

// TokenGapError means that a stream skipped at least one token.
type TokenGapError struct{ Want, Got int }

// Error gives both indexes.
func (e *TokenGapError) Error() string {
	return fmt.Sprintf("token %d came, %d was due", e.Got, e.Want)
}

// TruncatedStreamError means that a stream ended without its end mark.
type TruncatedStreamError struct{}

// Error says so.
func (e *TruncatedStreamError) Error() string { return "stream ended without its end mark" }

// ProtocolError means that an endpoint broke the protocol.
type ProtocolError struct {
	What  string
	Cause error
}

// Error says where.
func (e *ProtocolError) Error() string { return fmt.Sprintf("garbled %s: %v", e.What, e.Cause) }

// Unwrap gives the cause.
func (e *ProtocolError) Unwrap() error { return e.Cause }

// EndpointError is the endpoint's own word that an attempt failed after it
// began.
type EndpointError struct{ Reason string }

// Error gives the endpoint's reason.
func (e *EndpointError) Error() string { return "endpoint failed: " + e.Reason }

// CancelUnconfirmedError means that an endpoint did not confirm the end of an
// attempt, which may still be running there.
type CancelUnconfirmedError struct {
	Attempt tables.AttemptID
	Cause   error
}

// Error gives the cause.
func (e *CancelUnconfirmedError) Error() string {
	return fmt.Sprintf("end of attempt %s not confirmed: %v", e.Attempt, e.Cause)
}

// Unwrap gives the cause.
func (e *CancelUnconfirmedError) Unwrap() error { return e.Cause }

// sealedBody is what a request body gives after its attempt was given up.
type sealedBody struct{}

func (e *sealedBody) Error() string { return "attempt was given up before its body left" }
