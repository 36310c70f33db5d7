package relay

import (
	"syscall"

	"github.com/carawaystile/carawaystile/tables"
)

// RejectedError means that an instance did not relay a connection. Nothing was sent to the
// endpoint.
type RejectedError struct {
	// Relay is the instance that was asked.
	Relay  tables.InstanceID
	Reason Reason
	// Cause is the error of the connection to the relay; nil if it responded.
	Cause error
}

func (e *RejectedError) Error() string {
	text := "relay " + string(e.Relay) + ": " + string(e.Reason)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *RejectedError) Unwrap() error { return e.Cause }

// Is reports whether the target is ECONNREFUSED and the endpoint refused the connection of the
// relay.
func (e *RejectedError) Is(target error) bool {
	return target == syscall.ECONNREFUSED && e.Reason == Refused
}

// NoRelayError means that no instance could relay a connection, for reasons that say nothing of
// the endpoint.
type NoRelayError struct {
	// Asked counts the instances that were asked, and Last is the last one's answer; nil if
	// none was asked.
	Asked int
	Last  *RejectedError
}

func (e *NoRelayError) Error() string {
	if e.Last == nil {
		return "no relay: no other instance"
	}
	return "no relay: " + e.Last.Error()
}
