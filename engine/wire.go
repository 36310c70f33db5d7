package engine

import "github.com/carawaystile/carawaystile/tables"

// The paths of the protocol. They are described in
// docs/design/endpoint-protocol.md.
const (
	PathGenerate    = "/v1/generate"
	PathCancel      = "/v1/cancel"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/events"
	PathOrders      = "/v1/orders"
	PathOrderState  = "/v1/orders/state"
	PathCacheExport = "/v1/cache/export"
	PathCacheImport = "/v1/cache/import"
	// PathCall is followed by the name of the call.
	PathCall = "/v1/call/"
)

// The names of the events of a generate stream. Lines that open with a colon
// are comments; an endpoint sends one at least every HeartbeatInterval while it
// has nothing else to say.
const (
	EventAccepted = "accepted"
	EventToken    = "token"
	EventDone     = "done"
	EventError    = "error"
)

// The headers of the protocol.
const (
	// HeaderAttempt carries the attempt of a call and is echoed by the answer.
	HeaderAttempt = "X-Attempt"
	// HeaderBoot carries the boot identity of the endpoint that answers.
	HeaderBoot = "X-Boot"
	// HeaderIdempotencyKey carries the idempotency key of a call.
	HeaderIdempotencyKey = "Idempotency-Key"

	headerType   = "Content-Type"
	headerAccept = "Accept"
	typeJSON     = "application/json"
	typeEvents   = "text/event-stream"
	maxHeader    = 64 << 10
	maxErrorBody = 64 << 10
)

// Rejection is the body of every answer that says no before anything ran.
// Without NotStarted set, an answer other than 200 proves nothing.
type Rejection struct {
	Attempt    tables.AttemptID `json:"attempt"`
	NotStarted bool             `json:"not_started"`
	Reason     string           `json:"reason"`
}

// DoneEvent is the end mark of a stream that is whole.
type DoneEvent struct {
	Attempt tables.AttemptID `json:"attempt"`
	// Tokens is the length of the whole answer, the part before ResumeFrom
	// included.
	Tokens int `json:"tokens"`
	// CachedTokens is how much of the prompt came from the cache in the end.
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

// CancelResponse confirms that an attempt is not running any more.
type CancelResponse struct {
	Attempt tables.AttemptID `json:"attempt"`
	Boot    tables.BootID    `json:"boot"`
	// Found is set when the attempt was queued or running until now.
	Found bool `json:"found"`
}
