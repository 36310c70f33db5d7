package tables

import "fmt"

// KeyReused means that the organisation used the same idempotency key for a
// different request. Nothing was claimed.
type KeyReused struct {
	Organisation OrganisationID
	Key          Key
}

// Error says whose key it is.
func (e *KeyReused) Error() string {
	return fmt.Sprintf("organisation %s used idempotency key %q for a different request", e.Organisation, string(e.Key))
}

// NoQuorum means that too few replicas of the control state answered in time.
// The change may or may not be made later; nothing may be dispatched on it.
type NoQuorum struct {
	// Asked names what was to be done.
	Asked string
	Cause error
}

// Error says what was asked.
func (e *NoQuorum) Error() string {
	return fmt.Sprintf("%s: no quorum of control replicas: %v", e.Asked, e.Cause)
}

// Unwrap gives the cause.
func (e *NoQuorum) Unwrap() error { return e.Cause }

// GrantLost means that a claim expired or was taken over before the call it
// was made with; nothing may be dispatched on it.
type GrantLost struct {
	Organisation OrganisationID
	Key          Key
	Fence        Fence
}

// Error says which claim was lost.
func (e *GrantLost) Error() string {
	return fmt.Sprintf("claim %d of organisation %s on key %q is lost", e.Fence, e.Organisation, string(e.Key))
}
