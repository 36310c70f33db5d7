package tables

// RequestState is where a request is on its way.
type RequestState uint8

// The states of a request.
const (
	// Pending requests wait in this process for an endpoint.
	Pending RequestState = iota
	// InFlight requests have at least one attempt that has not ended.
	InFlight
	// Finished requests have been answered, refused, failed or cancelled; they
	// stay only until their last attempt has ended.
	Finished
)

// RequestRow is a request with the state of its handling.
type RequestRow struct {
	Request *Request
	Profile *Profile
	// Priority is that of the profile when the request came.
	Priority Priority
	// Organisation is the number of the organisation's flow.
	Organisation FlowIndex
	State        RequestState
	// SubmittedAt is when the request was handed to the decisions.
	SubmittedAt Instant
	// Dispatched is set once any attempt has left this process, MayHaveRun once
	// an attempt ended of which it is not certain that nothing ran.
	Dispatched bool
	MayHaveRun bool
	// Attempts are those that have not ended.
	Attempts []*AttemptRow
	// FailedEndpoints lists the endpoints of attempts that failed.
	FailedEndpoints []EndpointIndex
	// Retries counts attempts after the first one, hedges not included.
	Retries int
	// DeliveredTokens and Weights describe a stream that is being resumed: tokens
	// that the caller has, and the weights that made them.
	DeliveredTokens int
	Weights         WeightsVersion
	// Queued is set while the request stands in a queue, in the given group,
	// and must start by StartBy.
	Queued     bool
	QueueGroup BlockHash
	StartBy    Instant
	// HoldsConcurrencySlot is set while the request counts against its organisation's
	// concurrency limit.
	HoldsConcurrencySlot bool
	// NotBefore holds a request back until an instant, after a failure.
	NotBefore Instant
}

// FlowIndex is the dense number of an organisation at one instance.
type FlowIndex int32

// HasFailedAt says whether an attempt at the endpoint has failed.
func (r *RequestRow) HasFailedAt(index EndpointIndex) bool {
	for _, t := range r.FailedEndpoints {
		if t == index {
			return true
		}
	}
	return false
}

// AttemptRow is one attempt at an endpoint.
type AttemptRow struct {
	ID       AttemptID
	Request  *RequestRow
	Endpoint EndpointIndex
	// Priority is that of the profile when the attempt was dispatched.
	Priority Priority
	Boot     BootID
	Weights  WeightsVersion
	// Started and FirstToken are zero until they have happened.
	DispatchedAt Instant
	StartedAt    Instant
	FirstTokenAt Instant
	// UncachedTokens is the prefill work that placement expected.
	UncachedTokens int
	// KnownTokens is the cached part of the prompt that placement expected from
	// what is known of the endpoint's cache, HomeTokens the part that it only
	// supposed to be there because the prefix belongs there by hashing.
	KnownTokens int
	HomeTokens  int
	// PrefillTokensAhead is the prefill work at the endpoint when the attempt was
	// dispatched, its own not included.
	PrefillTokensAhead int
	// ExpectedTTFT is the time from dispatch that placement expected.
	ExpectedTTFT Instant
	Hedge        bool
	// Aborted is set once this process has cancelled the attempt.
	Aborted   bool
	AbortedAt Instant
}
