package tables

// RequestState is where a request is on its way.
type RequestState uint8

// The states of a request.
const (
	// Pending requests wait in this process for an endpoint.
	Pending RequestState = iota
	// Flying requests have at least one attempt that has not ended.
	Flying
	// Final requests have been answered, refused, failed or cancelled; they
	// stay only until their last attempt has ended.
	Final
)

// RequestRow is a request with the state of its handling.
type RequestRow struct {
	Request *Request
	Profile *Profile
	// Organisation is the position of the organisation in its table.
	Organisation int32
	State        RequestState
	// Submitted is when the request was handed to the decisions.
	Submitted Instant
	// Dispatched is set once any attempt has left this process, MayHaveRun once
	// an attempt ended of which it is not certain that nothing ran.
	Dispatched bool
	MayHaveRun bool
	// Attempts are those that have not ended.
	Attempts []*AttemptRow
	// Tried lists the endpoints of attempts that failed.
	Tried []EndpointIndex
	// Retries counts attempts after the first one, hedges not included.
	Retries int
	// Delivered and Weights describe a stream that is being resumed: tokens
	// that the caller has, and the weights that made them.
	Delivered int
	Weights   WeightsVersion
	// NotBefore holds a request back until an instant, after a failure.
	NotBefore Instant
}

// Urgency is the priority of the request's profile.
func (r *RequestRow) Urgency() Priority { return r.Profile.Priority }

// WasTried says whether an attempt at the endpoint has failed.
func (r *RequestRow) WasTried(index EndpointIndex) bool {
	for _, t := range r.Tried {
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
	Boot     BootID
	Weights  WeightsVersion
	// Started and FirstToken are zero until they have happened.
	Dispatched Instant
	Started    Instant
	FirstToken Instant
	// UncachedTokens is the prefill work that placement expected.
	UncachedTokens int
	// ExpectedFirstToken is the time from dispatch that placement expected.
	ExpectedFirstToken Instant
	Hedge              bool
	// Aborted is set once this process has cancelled the attempt.
	Aborted   bool
	AbortedAt Instant
}
