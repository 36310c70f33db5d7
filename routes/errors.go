package routes

import "fmt"

// ErrorReason is the rule that a rejected configuration violates. Its text is shown
// to operators.
type ErrorReason string

// Reasons for rejecting a configuration.
const (
	Malformed       ErrorReason = "it cannot be read"
	UnknownService  ErrorReason = "a route names a service that is not declared"
	DuplicateRoute  ErrorReason = "two routes have the same host and prefix"
	InvalidWeights  ErrorReason = "the weights of a route add up to nothing"
	MissingTimeout  ErrorReason = "a route has no timeout"
	InvalidPrefix   ErrorReason = "a route's prefix does not begin and end with a slash"
	DuplicateKey    ErrorReason = "two organisations share a key"
	UnknownKind     ErrorReason = "a route has no known kind"
	MissingRevision ErrorReason = "it has no number"
)

// ConfigurationError means that a configuration is invalid and was rejected.
type ConfigurationError struct {
	Reason ErrorReason
	// Name is the name of the offending route or organisation, if there is one.
	Name  string
	Cause error
}

// Error returns a message with the reason, the name and the cause.
func (e *ConfigurationError) Error() string {
	text := "configuration refused: " + string(e.Reason)
	if e.Name != "" {
		text += " (" + e.Name + ")"
	}
	if e.Cause != nil {
		text += fmt.Sprintf(": %v", e.Cause)
	}
	return text
}

// Unwrap returns the cause.
func (e *ConfigurationError) Unwrap() error { return e.Cause }
