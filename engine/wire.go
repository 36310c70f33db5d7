package engine

import "github.com/carawaystile/carawaystile/tables"

// The paths of the protocol, which docs/design/endpoint-protocol.md describes.
const (
	PathGenerate    = "/v1/generate"
	PathCancel      = "/v1/cancel"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/events"
	PathOrders      = "/v1/orders"
	PathOrderState  = "/v1/orders/state"
	PathCacheExport = "/v1/cache/export"
	PathCacheImport = "/v1/cache/import"
	// PathCall is a prefix; the name of the call follows it.
	PathCall = "/v1/call/"
)

// The names of the events of a token stream. Lines that begin with a colon are comments;
// an endpoint that has nothing else to send sends one as a heartbeat at least every
// HeartbeatInterval.
const (
	EventAccepted = "accepted"
	EventToken    = "token"
	EventDone     = "done"
	EventError    = "error"
)

// The headers of the protocol.
const (
	// HeaderAttempt carries the attempt ID of a call; the response echoes it.
	HeaderAttempt = "X-Attempt"
	// HeaderBoot carries the boot identity of the responding endpoint.
	HeaderBoot = "X-Boot"
	// HeaderIdempotencyKey carries the idempotency key of a call.
	HeaderIdempotencyKey = "Idempotency-Key"

	headerContentType = "Content-Type"
	headerAccept      = "Accept"
	typeJSON          = "application/json"
	typeEventStream   = "text/event-stream"
	maxHeaderBytes    = 64 << 10
	maxErrorBodyBytes = 64 << 10
)

// Rejection is the body of every response that rejects a request before anything ran.
// Unless NotStarted is set, a response other than 200 proves nothing.
type Rejection struct {
	Attempt    tables.AttemptID `json:"attempt"`
	NotStarted bool             `json:"not_started"`
	Reason     string           `json:"reason"`
}

// DoneEvent is the last event of a complete stream.
type DoneEvent struct {
	Attempt tables.AttemptID `json:"attempt"`
	// Tokens is the length of the whole output, including the part before ResumeFrom.
	Tokens int `json:"tokens"`
	// CachedTokens is the final number of prompt tokens that were found in the prefix
	// cache.
	CachedTokens int `json:"cached_tokens"`
}

// ErrorEvent is the data of an error event.
type ErrorEvent struct {
	Attempt tables.AttemptID `json:"attempt"`
	Reason  string           `json:"reason"`
}

// CancelRequest asks an endpoint to end an attempt.
type CancelRequest struct {
	Attempt tables.AttemptID `json:"attempt"`
}

// CancelResponse confirms that an attempt is no longer running.
type CancelResponse struct {
	Attempt tables.AttemptID `json:"attempt"`
	Boot    tables.BootID    `json:"boot"`
	// Found is set if the attempt was queued or running until the request.
	Found bool `json:"found"`
}
