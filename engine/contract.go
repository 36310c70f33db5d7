// Package engine is the client of the protocols that endpoints speak: token streams over
// server-sent events, plain calls, load reports, cache events and orders. Its errors tell
// whether a failed attempt provably did not start or may have run, which decides whether
// a retry is safe. Its users depend on it through small interfaces of their own.
package engine

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/carawaystile/carawaystile/tables"
)

// GenerateRequest is the request of one attempt at a completion.
type GenerateRequest struct {
	Attempt   tables.AttemptID      `json:"attempt"`
	Model     tables.ModelName      `json:"model"`
	Adapter   tables.AdapterName    `json:"adapter,omitempty"`
	Weights   tables.WeightsVersion `json:"weights,omitempty"`
	Prompt    string                `json:"prompt"`
	MaxTokens int                   `json:"max_tokens"`
	Priority  tables.Priority       `json:"priority"`
	// Salt separates the cache entries of different organisations.
	Salt string `json:"cache_salt"`
	// ResumeFrom is the index of the first token to send, for resuming a stream. Emitted
	// is the text of the tokens before it, which the endpoint prefills.
	ResumeFrom int    `json:"resume_from,omitempty"`
	Emitted    string `json:"emitted,omitempty"`
	// TimeoutAllowed reports whether the attempt may end with *ReadTimeoutError; nil means always.
	// If it returns false, the timeout starts again.
	TimeoutAllowed func() bool `json:"-"`
}

// AcceptedEvent is the first event of a stream: the endpoint has accepted the attempt.
type AcceptedEvent struct {
	Attempt tables.AttemptID      `json:"attempt"`
	Boot    tables.BootID         `json:"boot"`
	Weights tables.WeightsVersion `json:"weights"`
	// CachedTokens is the number of prompt tokens that were found in the prefix cache.
	CachedTokens int `json:"cached_tokens"`
}

// Token is one token of the output. Index counts from 0 over the whole output, also in a
// resumed stream.
type Token struct {
	Attempt tables.AttemptID `json:"attempt"`
	Index   int              `json:"index"`
	Text    string           `json:"text"`
}

// Stream is the output of an attempt, token by token. It must be used by one goroutine at
// a time.
type Stream interface {
	// Accepted returns the accepted event. It is available once Generate has returned.
	Accepted() AcceptedEvent
	// Next returns the next token, io.EOF after the done event, or an error of this
	// package. A stream that stops without a done event gives *InterruptedError, never
	// io.EOF.
	Next() (Token, error)
	// Close cancels the rest of the attempt at the endpoint.
	Close() error
}

// CallRequest is the request of one attempt at a call to a plain service.
type CallRequest struct {
	Attempt        tables.AttemptID
	Method         string
	Path           string
	ContentType    string
	IdempotencyKey string
	Body           []byte
}

// CallResponse is the whole response of a plain service.
type CallResponse struct {
	Attempt     tables.AttemptID
	Boot        tables.BootID
	Status      int
	ContentType string
	Body        []byte
}

// Client runs attempts at endpoints. It is safe for concurrent use.
type Client interface {
	Generate(ctx context.Context, at netip.AddrPort, req GenerateRequest) (Stream, error)
	Call(ctx context.Context, at netip.AddrPort, req CallRequest) (CallResponse, error)
	Cancel(ctx context.Context, at netip.AddrPort, attempt tables.AttemptID) error
}

// NotStartedError means that the work provably did not start at the endpoint: either no
// byte of the request was sent, or the endpoint rejected the request before running it. A
// retry is safe.
type NotStartedError struct {
	Attempt tables.AttemptID
	// Rejected is set when the endpoint rejected the request, for example because it is
	// full or serves other weights.
	Rejected bool
	// Unreachable is set when the endpoint refused the connection. HTTPClient also sets
	// it when the host is unreachable or connecting timed out.
	Unreachable bool
	Reason      string
	Cause       error
}

// Error returns the reason.
func (e *NotStartedError) Error() string {
	return fmt.Sprintf("attempt %s not started: %s", e.Attempt, e.Reason)
}

// Unwrap returns the cause.
func (e *NotStartedError) Unwrap() error { return e.Cause }

// InterruptedError means that the request was sent and did not complete; the work may
// have run. Tokens is the number of tokens that were received.
type InterruptedError struct {
	Attempt tables.AttemptID
	Tokens  int
	Cause   error
}

// Error returns the cause.
func (e *InterruptedError) Error() string {
	return fmt.Sprintf("attempt %s interrupted after %d tokens: %v", e.Attempt, e.Tokens, e.Cause)
}

// Unwrap returns the cause.
func (e *InterruptedError) Unwrap() error { return e.Cause }

// MismatchError means that a response named another attempt, boot or weights version than
// the request, and was discarded.
type MismatchError struct {
	Attempt tables.AttemptID
	Field   string
	Want    string
	Got     string
}

// Error returns the field with its received and its expected value.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("attempt %s: response has %s %q, want %q", e.Attempt, e.Field, e.Got, e.Want)
}
