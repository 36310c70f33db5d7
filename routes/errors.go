package routes

import "fmt"

// Reason says why a configuration cannot be put in force.
type Reason string

// The reasons.
const (
	Unreadable     Reason = "it cannot be read"
	UnknownService Reason = "a route names a service that is not declared"
	SamePlace      Reason = "two routes have the same host and prefix"
	NoWeight       Reason = "the weights of a route add up to nothing"
	NoTimeout      Reason = "a route has no timeout"
	BadPrefix      Reason = "a route's prefix does not begin and end with a slash"
	SharedKey      Reason = "two organisations share a key"
	BadKind        Reason = "a route has no known kind"
	NoNumber       Reason = "it has no number"
)

// Invalid means that a configuration cannot be put in force.
type Invalid struct {
	Reason Reason
	// Name is the route or organisation that it is about; may be empty.
	Name  string
	Cause error
}

// Error gives the reason.
func (e *Invalid) Error() string {
	text := "configuration refused: " + string(e.Reason)
	if e.Name != "" {
		text += " (" + e.Name + ")"
	}
	if e.Cause != nil {
		text += fmt.Sprintf(": %v", e.Cause)
	}
	return text
}

// Unwrap gives the cause.
func (e *Invalid) Unwrap() error { return e.Cause }
