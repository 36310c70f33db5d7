package dispatch

// RejectReason is why a request cannot be placed now.
type RejectReason string

// The reasons for which a request cannot be placed.
const (
	// NoEndpoint: no endpoint of the service is eligible.
	NoEndpoint RejectReason = "no endpoint"
	// NoCapacity: all eligible endpoints are at capacity.
	NoCapacity RejectReason = "full"
	// PrefillPending: another request is computing a part of the prompt, and the request
	// should wait to reuse it.
	PrefillPending RejectReason = "prompt is being read"
	// DeadlineTooSoon: the cheapest endpoint would answer after the deadline.
	DeadlineTooSoon RejectReason = "too late"
	// Saturated: the queues of all eligible endpoints are longer than the request may wait.
	Saturated RejectReason = "saturated"
	// TooLarge: the request exceeds the memory of any endpoint.
	TooLarge RejectReason = "too large"
)
