package tables

import "fmt"

// KeyReusedError means that the organisation used the same idempotency key for a
// different request. Nothing was claimed.
type KeyReusedError struct {
	Organisation OrganisationID
	Key          IdempotencyKey
}

// Error says whose key it is.
func (e *KeyReusedError) Error() string {
	return fmt.Sprintf("organisation %s used idempotency key %q for a different request", e.Organisation, string(e.Key))
}

// NoQuorumError means that too few replicas of the control state answered in time.
// The change may or may not be made later; nothing may be dispatched on it.
type NoQuorumError struct {
	// Operation names what was to be done.
	Operation string
	Cause     error
}

// Error says what was asked.
func (e *NoQuorumError) Error() string {
	return fmt.Sprintf("%s: no quorum of control replicas: %v", e.Operation, e.Cause)
}

// Unwrap gives the cause.
func (e *NoQuorumError) Unwrap() error { return e.Cause }

// ClaimLostError means that a claim expired or was taken over before the call it
// was made with; nothing may be dispatched on it.
type ClaimLostError struct {
	Organisation OrganisationID
	Key          IdempotencyKey
	FencingToken FencingToken
}

// Error says which claim was lost.
func (e *ClaimLostError) Error() string {
	return fmt.Sprintf("claim %d of organisation %s on key %q is lost", e.FencingToken, e.Organisation, string(e.Key))
}
