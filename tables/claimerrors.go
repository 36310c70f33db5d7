package tables

import "fmt"

// KeyReusedError means that the organisation used the same idempotency key for
// a different request. No claim was made.
type KeyReusedError struct {
	Organisation OrganisationID
	Key          IdempotencyKey
}

// Error names the organisation and the key.
func (e *KeyReusedError) Error() string {
	return fmt.Sprintf("organisation %s used idempotency key %q for a different request", e.Organisation, string(e.Key))
}

// NoQuorumError means that too few replicas of the control state answered in
// time. The change may still be applied later, so nothing may be dispatched on
// it.
type NoQuorumError struct {
	// Operation names the operation that failed.
	Operation string
	Cause     error
}

// Error names the operation and its cause.
func (e *NoQuorumError) Error() string {
	return fmt.Sprintf("%s: no quorum of control replicas: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *NoQuorumError) Unwrap() error { return e.Cause }

// ClaimLostError means that the claim expired or was taken over before the call
// that relied on it. Nothing may be dispatched on it.
type ClaimLostError struct {
	Organisation OrganisationID
	Key          IdempotencyKey
	FencingToken FencingToken
}

// Error names the lost claim.
func (e *ClaimLostError) Error() string {
	return fmt.Sprintf("claim %d of organisation %s on key %q is lost", e.FencingToken, e.Organisation, string(e.Key))
}
