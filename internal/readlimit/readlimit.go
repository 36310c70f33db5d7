// Package readlimit bounds what an instance reads from the network, so that a peer that sends
// without end cannot use up the memory of the process.
package readlimit

import "fmt"

const (
	// HeaderBytes bounds the header of a request or response, in bytes, with the interim
	// responses before it.
	HeaderBytes = 64 << 10
	// InterimResponses bounds the number of interim (1xx) responses before a response.
	InterimResponses = 5
)

// TooLargeError means that a peer sent more than Limit bytes for the part of a message that What
// names.
type TooLargeError struct {
	What  string
	Limit int64
}

// Error returns the part and its limit.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("%s exceeds %d bytes", e.What, e.Limit)
}

// TooManyError means that a peer sent more than Limit of the messages that What names.
type TooManyError struct {
	What  string
	Limit int
}

// Error returns the messages and their limit.
func (e *TooManyError) Error() string { return fmt.Sprintf("more than %d %s", e.Limit, e.What) }
