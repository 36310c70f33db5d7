// Package relay carries connections to endpoints through other instances. An instance that has
// lost its links to endpoints asks another one, the relay, for a connection to an endpoint. The
// relay opens it and copies the bytes of one HTTP exchange both ways. All decisions about the
// request stay with the instance that received it: placement, retries, limits and deadlines.
//
// A connection is requested by an HTTP/1.1 upgrade at the address where instances serve each
// other. After the response with status 101, bytes to the endpoint follow as they are. Bytes
// from the endpoint follow in chunked encoding (RFC 9112), whose last chunk proves that the
// endpoint has closed its connection in order. A relay that is killed cannot make a response
// look complete that ends with its connection.
//
// A relay opens connections only over its own links, so there is one hop at most.
package relay

// Path is the path of relay requests.
const Path = "/carawaystile/relay"

const (
	protocol       = "carawaystile-relay"
	headerEndpoint = "Carawaystile-Endpoint"
	headerAddress  = "Carawaystile-Endpoint-Address"
	headerReason   = "Carawaystile-Relay-Reason"
)

// Reason is why an instance does not relay a connection.
type Reason string

// The reasons.
const (
	// Partitioned: the relay has lost its own links to endpoints.
	Partitioned Reason = "partitioned"
	// Refused: the endpoint's address refused the relay's connection.
	Refused Reason = "refused"
	// Unreachable: the relay could not connect to the endpoint in time.
	Unreachable Reason = "unreachable"
	// PushedBack: the endpoint has requested a back-off from the relay.
	PushedBack Reason = "pushed back"
	// Leaving: the endpoint is about to stop, as far as the relay knows.
	Leaving Reason = "leaving"
	// UnknownEndpoint: the relay does not know the endpoint at that address.
	UnknownEndpoint Reason = "unknown endpoint"
	// Busy: the relay needs its resources for its own clients.
	Busy Reason = "busy"
	// Draining: the relay is about to stop.
	Draining Reason = "draining"
	// Unresponsive: the relay did not respond in time, or not as a relay.
	Unresponsive Reason = "unresponsive"
	// lost: the connection of the instance that asked broke.
	lost Reason = "connection lost"
)

// aboutEndpoint reports whether the reason is an observation of the endpoint, which another
// relay may contradict, instead of a state of the relay.
func (r Reason) aboutEndpoint() bool {
	switch r {
	case Refused, Unreachable, PushedBack, Leaving, UnknownEndpoint:
		return true
	}
	return false
}
