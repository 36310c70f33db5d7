package rollout

import "github.com/carawaystile/carawaystile/tables"

// Strategy is how a change of weights treats the requests that run on the engine.
type Strategy uint8

// The strategies for running requests.
const (
	// DrainRequests completes running requests first; new requests are declined meanwhile.
	DrainRequests Strategy = iota
	// AbortRequests aborts running requests.
	AbortRequests
	// RetainRequests continues running requests under the new weights.
	RetainRequests
)

// Report is the status of an engine as of a moment ago.
type Report struct {
	// Sequence counts the orders that the engine process has accepted since its start; Busy is set
	// while one is being executed. Weights holds the version of each model. Running and Queued
	// count requests. Born is the start of the process, in Unix milliseconds.
	Sequence uint64
	Busy     bool
	Weights  map[string]uint64
	Running  int
	Queued   int
	Born     int64
	// Draining is set if the engine announces that it is about to stop.
	Draining bool
}

// Order tells an engine to load a version of a model's weights.
type Order struct {
	Model    string
	Version  uint64
	Strategy Strategy
	Holder   string
	Fence    tables.FencingToken
	// Sequence makes the order a compare-and-set, unless Unconditional is set: an engine at another sequence
	// rejects it.
	Sequence      uint64
	Unconditional bool
}

// OrderResult is an engine's answer to an order.
type OrderResult uint8

// The answers. Zero means none: the order may have been accepted, or may be executed later.
const (
	// Accepted means that the order is being executed.
	Accepted OrderResult = iota + 1
	// AlreadyServing means that the engine already serves the version.
	AlreadyServing
	// Conflict means that another order is being executed or the sequence differs.
	Conflict
	// Fenced means that the engine has seen a higher fencing token.
	Fenced
	// Rejected means that the order was refused for another reason, or not sent.
	Rejected
	// Declined means that the engine takes no calls now. The order was not accepted and will not be.
	Declined
)
