package engine

import (
	"fmt"
	"time"

	"github.com/carawaystile/carawaystile/internal/readlimit"
	"github.com/carawaystile/carawaystile/tables"
)

// UnexpectedStatusError means that an endpoint, or a proxy in front of it, responded with
// a status that does not tell whether the work started.
type UnexpectedStatusError struct {
	Status      int
	ContentType string
	// orderRefusal is the decoded body if the endpoint refused an order.
	orderRefusal OrderRefusal
}

// Error returns the status and the content type.
func (e *UnexpectedStatusError) Error() string {
	return fmt.Sprintf("unexpected response with status %d and content type %q", e.Status, e.ContentType)
}

// PushbackError means that an endpoint rejected a call and requested a back-off of
// RetryAfter from this process.
type PushbackError struct {
	RetryAfter time.Duration
	Cause      error
}

// Error returns the time and the cause.
func (e *PushbackError) Error() string {
	return fmt.Sprintf("pushed back for %v: %v", e.RetryAfter, e.Cause)
}

// Unwrap returns the cause.
func (e *PushbackError) Unwrap() error { return e.Cause }

// ReadTimeoutError means that an endpoint sent nothing, not even a heartbeat, for After.
type ReadTimeoutError struct{ After time.Duration }

// Error returns the timeout.
func (e *ReadTimeoutError) Error() string { return fmt.Sprintf("no data received for %v", e.After) }

// TooLargeError means that an endpoint sent more than Limit bytes for the part that What
// names.
type TooLargeError = readlimit.TooLargeError

// TokenGapError means that the index of a token, or the number of tokens in the done
// event, was not the expected one.
type TokenGapError struct{ Want, Got int }

// Error returns both indexes.
func (e *TokenGapError) Error() string {
	return fmt.Sprintf("received token index %d, expected %d", e.Got, e.Want)
}

// TruncatedStreamError means that a stream ended without its done event.
type TruncatedStreamError struct{}

// Error returns a fixed text.
func (e *TruncatedStreamError) Error() string { return "stream ended without a done event" }

// ProtocolError means that a message could not be encoded or decoded, or broke the
// protocol.
type ProtocolError struct {
	What  string
	Cause error
}

// Error returns the kind of message and the cause.
func (e *ProtocolError) Error() string { return fmt.Sprintf("malformed %s: %v", e.What, e.Cause) }

// Unwrap returns the cause.
func (e *ProtocolError) Unwrap() error { return e.Cause }

// EndpointError means that the endpoint reported the failure of an attempt that had
// started.
type EndpointError struct{ Reason string }

// Error returns the endpoint's reason.
func (e *EndpointError) Error() string { return "endpoint reported a failure: " + e.Reason }

// CancelUnconfirmedError means that an endpoint did not confirm the cancellation of an
// attempt, which may still be running there.
type CancelUnconfirmedError struct {
	Attempt tables.AttemptID
	Cause   error
}

// Error returns the cause.
func (e *CancelUnconfirmedError) Error() string {
	return fmt.Sprintf("cancellation of attempt %s not confirmed: %v", e.Attempt, e.Cause)
}

// Unwrap returns the cause.
func (e *CancelUnconfirmedError) Unwrap() error { return e.Cause }

// sealedBodyError is returned by reads of a trackedBody whose attempt was already
// reported as not started.
type sealedBodyError struct{}

func (e *sealedBodyError) Error() string { return "attempt was abandoned before its body was sent" }
