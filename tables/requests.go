package tables

// RequestState is the state of a request in its life cycle.
type RequestState uint8

// The states of a request.
const (
	// Pending requests wait in this process for an endpoint.
	Pending RequestState = iota
	// InFlight requests have at least one attempt that has not ended.
	InFlight
	// Finished requests were answered, refused, failed or cancelled. Their rows
	// stay only until the last attempt has ended.
	Finished
)

// RequestRow is a request with its scheduling and retry state.
type RequestRow struct {
	Request *Request
	Profile *Profile
	// Priority is the profile's priority when the request was submitted.
	Priority Priority
	// Organisation is the index of the organisation's flow in fair queueing.
	Organisation FlowIndex
	State        RequestState
	// SubmittedAt is when the router received the request.
	SubmittedAt Instant
	// Dispatched is set once any attempt has left this process. MayHaveRun is
	// set once an attempt has ended without proof that nothing ran.
	Dispatched bool
	MayHaveRun bool
	// Attempts are the attempts that have not ended.
	Attempts []*AttemptRow
	// FailedEndpoints lists the endpoints of failed attempts.
	FailedEndpoints []EndpointIndex
	// Retries counts attempts after the first one, not including hedges.
	Retries int
	// DeliveredTokens and Weights describe a stream that is being resumed: the
	// number of tokens that the caller has, and the weights that produced them.
	DeliveredTokens int
	Weights         WeightsVersion
	// Queued is set while the request is in a queue, in the group QueueGroup.
	// It must start by StartBy.
	Queued     bool
	QueueGroup BlockHash
	StartBy    Instant
	// HoldsConcurrencySlot is set while the request counts against its
	// organisation's concurrency limit.
	HoldsConcurrencySlot bool
	// NotBefore is the earliest time of the next attempt; it implements the
	// retry delay.
	NotBefore Instant
}

// FlowIndex is the dense index of an organisation at one instance. An
// organisation is one flow in fair queueing.
type FlowIndex int32

// HasFailedAt reports whether an attempt at the endpoint has failed.
func (r *RequestRow) HasFailedAt(index EndpointIndex) bool {
	for _, t := range r.FailedEndpoints {
		if t == index {
			return true
		}
	}
	return false
}

// AttemptRow is one attempt to run a request at an endpoint.
type AttemptRow struct {
	ID       AttemptID
	Request  *RequestRow
	Endpoint EndpointIndex
	// Priority is the priority at which the attempt was dispatched.
	Priority Priority
	Boot     BootID
	Weights  WeightsVersion
	// StartedAt and FirstTokenAt are zero until the event has happened.
	DispatchedAt Instant
	StartedAt    Instant
	FirstTokenAt Instant
	// UncachedTokens is the prefill work that placement expected.
	UncachedTokens int
	// KnownTokens is the part of the prompt, in tokens, that placement expected
	// in the endpoint's cache because of cache events or earlier placements.
	// HomeTokens is the part that it only assumed there because the prefix
	// hashes to the endpoint.
	KnownTokens int
	HomeTokens  int
	// PrefillTokensAhead is the prefill work, in tokens, at the endpoint when
	// the attempt was dispatched, not including its own.
	PrefillTokensAhead int
	// ExpectedTTFT is the time to first token, counted from dispatch, that
	// placement expected.
	ExpectedTTFT Instant
	Hedge        bool
	// RetryReserved is set once the retry after the attempt has been taken from the retry
	// budget, and FailureCounted once a failure was counted for an endpoint without progress.
	RetryReserved, FailureCounted bool
	// Aborted is set once this process has cancelled the attempt.
	Aborted   bool
	AbortedAt Instant
}
