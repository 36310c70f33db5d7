// Package dialect maps the meaning of HTTP headers to the names that the clients and
// endpoints of a forwarding deployment use for them, and parses their values. Other
// packages refer to the fields of Headers; package platform sets the names.
package dialect

import "net/http"

// Headers holds the header names of requests and responses.
type Headers struct {
	// RequestID carries the client's ID of a request. Endpoints echo it.
	RequestID string
	// Deadline carries the remaining time in milliseconds for which the sender will wait.
	Deadline string
	// Organisation tells endpoints for which organisation a request runs.
	Organisation string
	// ExpectEndpoint names the only endpoint process that may run the request, and
	// ExpectWeights the only weights version.
	ExpectEndpoint string
	ExpectWeights  string
	// Signature is present on every response that an endpoint itself produced by running
	// a request.
	Signature string
	// NotExecuted is present on responses which state that the request did not run and
	// will not run.
	NotExecuted string
	// Load carries "running,waiting,slots" of the responding endpoint, or
	// "running,waiting,slots,slowdown" if it also reports how long work takes on its machine,
	// in percent of the usual time.
	Load string
	// RateLimit carries the number of requests per second that the endpoint accepts from
	// all instances together. A response without it states that there is no such limit.
	RateLimit string
	// RetryAfter is present on a response with status 503 by which an endpoint requests a
	// back-off from the sender: a decimal number of seconds.
	RetryAfter string
	// Draining is present, with value 1, on every response of an endpoint that is about to
	// stop.
	Draining string
	// Brittle is present on every response of an endpoint that fails if it has to reject many
	// requests: how many it can reject in a second, for want of room.
	Brittle string
	// Weights carries the weights version that produced a response.
	Weights string
	// Model, TokenCounts ("prompt,max output") and PromptParts ("part:tokens,...")
	// describe a generation. They must reach the endpoint unchanged.
	Model       string
	TokenCounts string
	PromptParts string
	// CacheSalt separates the cached prompts of different organisations. CacheSource
	// carries the address from which the endpoint fetches missing parts, and CacheStore
	// that to which it copies the parts that it computes.
	CacheSalt   string
	CacheSource string
	CacheStore  string
	// CacheBackup carries the address of the endpoint to which the memory of the running
	// request is copied, and ResumeFrom the address and the request ID of a copy from which
	// the request continues.
	CacheBackup string
	ResumeFrom  string
	// Priority is the priority class at the endpoint, from 0 (highest) to 9.
	Priority string
	// LastEventID is the ID of the last event of a stream that the client has received.
	LastEventID string
	// Resumes carries the RequestID of the request that brought the first event of the stream
	// that a client resumes.
	Resumes string
	// Reserved lists further headers that only the system may send to endpoints.
	Reserved []string
	// AuthScheme precedes a client's API key in the Authorization header.
	AuthScheme string
}

// hopByHop lists the headers that apply to a single connection and are not forwarded.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

// EndpointRequestHeaders returns the headers of a client's request that are forwarded to
// an endpoint. It removes hop-by-hop headers, the API key and the headers that only the
// system may set. With the latter a client could name another organisation, or the cache
// entries of another request.
func (h *Headers) EndpointRequestHeaders(from http.Header) http.Header {
	to := from.Clone()
	for _, name := range connectionHeaders(from) {
		to.Del(name)
	}
	for _, name := range hopByHop {
		to.Del(name)
	}
	to.Del("Authorization")
	for _, name := range h.systemHeaders() {
		to.Del(name)
	}
	return to
}

// CopyResponseHeaders copies the headers of an endpoint's response, except hop-by-hop
// headers, to the response to the client. Hop-by-hop headers that are already set there
// stay: a draining instance uses them to make clients close their connections.
func (h *Headers) CopyResponseHeaders(to, from http.Header) {
	passed := from.Clone()
	for _, name := range connectionHeaders(from) {
		passed.Del(name)
	}
	for _, name := range hopByHop {
		passed.Del(name)
	}
	for name, values := range passed {
		to[name] = values
	}
}

// systemHeaders returns the headers that only the system may send to endpoints.
func (h *Headers) systemHeaders() []string {
	own := []string{
		h.Deadline, h.Organisation, h.ExpectEndpoint, h.ExpectWeights,
		h.CacheSalt, h.CacheSource, h.CacheStore, h.Priority, h.LastEventID,
	}
	for _, name := range []string{h.CacheBackup, h.ResumeFrom} {
		if name != "" {
			own = append(own, name)
		}
	}
	return append(own, h.Reserved...)
}
