package dispatch

// Outcome is the result of an attempt.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Completed: the endpoint's whole answer arrived, whatever its status.
	Completed Outcome = iota
	// Declined: the endpoint answered that it did not run the request.
	Declined
	// ConnectionRefused: the endpoint's address refused the connection.
	ConnectionRefused
	// ConnectTimeout: no connection was established in time. The endpoint is partitioned
	// away or its machine is down.
	ConnectTimeout
	// Broken: the connection broke, or the response was malformed.
	Broken
	// ResponseTimeout: nothing was received for longer than expected.
	ResponseTimeout
	// Cancelled: ended on this side, for a reason other than a fault of the endpoint.
	Cancelled
	// Misdirected: what answered at the endpoint's address did not run the request,
	// because it is another process or serves other weights.
	Misdirected
	// RateLimited: the endpoint's rate limit was exhausted; nothing was sent.
	RateLimited
	// RelayUnavailable: no other instance could relay the attempt; nothing was sent.
	RelayUnavailable
)

// lastOutcome is the outcome with the highest number.
const lastOutcome = RelayUnavailable

// DecodeOutcome decodes an outcome that another instance sent. A number that this release
// does not know decodes to Cancelled, which has no effect on the endpoint's health.
func DecodeOutcome(n uint32) Outcome {
	if n > uint32(lastOutcome) {
		return Cancelled
	}
	return Outcome(n)
}

// String returns the outcome's name in logs and metrics.
func (e Outcome) String() string {
	return [...]string{"completed", "declined", "unreachable", "lost", "broken", "hung", "cancelled", "misdirected", "limited", "not relayed"}[e]
}
