// Package engine is the client side of the protocols that endpoints speak:
// completions, load reports, cache events and orders. Everything that consumes
// it does so through small interfaces of its own.
package engine

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/carawaystile/carawaystile/tables"
)

// GenerateRequest is one attempt at a completion.
type GenerateRequest struct {
	Attempt   tables.AttemptID      `json:"attempt"`
	Model     tables.ModelName      `json:"model"`
	Adapter   tables.AdapterName    `json:"adapter,omitempty"`
	Weights   tables.WeightsVersion `json:"weights,omitempty"`
	Prompt    string                `json:"prompt"`
	MaxTokens int                   `json:"max_tokens"`
	Priority  tables.Priority       `json:"priority"`
	// Salt keeps cache entries of different organisations apart.
	Salt string `json:"cache_salt"`
	// ResumeFrom asks for tokens from this offset on; the text of the earlier
	// ones is in Emitted, so that the endpoint can prefill it.
	ResumeFrom int    `json:"resume_from,omitempty"`
	Emitted    string `json:"emitted,omitempty"`
}

// AcceptedEvent is the first thing an endpoint says of an attempt.
type AcceptedEvent struct {
	Attempt tables.AttemptID      `json:"attempt"`
	Boot    tables.BootID         `json:"boot"`
	Weights tables.WeightsVersion `json:"weights"`
	// CachedTokens is how much of the prompt came from the cache.
	CachedTokens int `json:"cached_tokens"`
}

// Token is one piece of the answer. Index counts from 0 over the whole answer,
// also when the stream was resumed.
type Token struct {
	Attempt tables.AttemptID `json:"attempt"`
	Index   int              `json:"index"`
	Text    string           `json:"text"`
}

// Stream delivers an attempt's answer. It is used by one goroutine.
type Stream interface {
	// Accepted is known once Generate has returned.
	Accepted() AcceptedEvent
	// Next returns the next token, io.EOF after the end mark, or one of the
	// failures of this package. A stream that stops without its end mark gives
	// *Interrupted, never io.EOF.
	Next() (Token, error)
	// Close cancels what is left of the attempt at the endpoint.
	Close() error
}

// CallRequest is one attempt at a call to a plain service.
type CallRequest struct {
	Attempt        tables.AttemptID
	Method         string
	Path           string
	ContentType    string
	IdempotencyKey string
	Body           []byte
}

// CallResponse is a plain service's whole answer.
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

// NotStartedError means that the endpoint provably did not begin the work: no byte
// of the request left, or the endpoint itself said so before running it.
type NotStartedError struct {
	Attempt tables.AttemptID
	// Rejected is set when the endpoint answered no (full, other weights).
	Rejected bool
	// Unreachable is set when the connection was refused.
	Unreachable bool
	Reason      string
	Cause       error
}

// Error gives the reason.
func (e *NotStartedError) Error() string {
	return fmt.Sprintf("attempt %s not started: %s", e.Attempt, e.Reason)
}

// Unwrap gives the cause.
func (e *NotStartedError) Unwrap() error { return e.Cause }

// InterruptedError means that the attempt was handed over and did not end properly;
// the work may have run.
type InterruptedError struct {
	Attempt tables.AttemptID
	Tokens  int
	Cause   error
}

// Error gives the cause.
func (e *InterruptedError) Error() string {
	return fmt.Sprintf("attempt %s interrupted after %d tokens: %v", e.Attempt, e.Tokens, e.Cause)
}

// Unwrap gives the cause.
func (e *InterruptedError) Unwrap() error { return e.Cause }

// MismatchError means that an answer names another attempt, boot or weights version
// than the one asked for, and was dropped.
type MismatchError struct {
	Attempt tables.AttemptID
	Field   string
	Want    string
	Got     string
}

// Error says what did not match.
func (e *MismatchError) Error() string {
	return fmt.Sprintf("attempt %s: answer has %s %q, want %q", e.Attempt, e.Field, e.Got, e.Want)
}
