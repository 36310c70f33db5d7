// Package dialect holds the names that a forwarding deployment's callers and
// endpoints use on the wire. The product decides by what the fields below mean;
// which words stand for them is the platform's, and package platform fills them
// in.
package dialect

import "net/http"

// Headers names the headers of requests and answers.
type Headers struct {
	// RequestID carries the caller's identity of one request. Endpoints echo it.
	RequestID string
	// Deadline carries how many milliseconds the sender will still wait.
	Deadline string
	// Organisation tells endpoints on whose behalf a request runs.
	Organisation string
	// ExpectEndpoint names the only endpoint process that may run the request,
	// and ExpectWeights the only weights version.
	ExpectEndpoint string
	ExpectWeights  string
	// Signature is on every answer that an endpoint's work produced.
	Signature string
	// NotExecuted is on answers that say the request did not run and will not.
	NotExecuted string
	// Load carries "running,waiting,slots" of the endpoint that answers.
	Load string
	// RateLimit carries the requests a second that the endpoint takes from all instances
	// together. An answer without it says that there is no such limit.
	RateLimit string
	// Weights carries the version that produced an answer.
	Weights string
	// Model, Tokens ("prompt,most output") and Prefix ("part:tokens,...")
	// describe a generation. The endpoint must get them as the caller sent them.
	Model       string
	TokenCounts string
	PromptParts string
	// CacheSalt keeps cached prompts apart, and CacheSource names the address
	// from which missing parts are fetched.
	CacheSalt   string
	CacheSource string
	CacheStore  string
	// Priority is the urgency at the endpoint, from 0 (first) to 9.
	Priority string
	// LastEventID names the last event that the caller has of a stream.
	LastEventID string
	// Reserved are further headers that only the system may send to endpoints.
	Reserved []string
	// AuthScheme precedes a caller's key in Authorization.
	AuthScheme string
}

// hopByHop headers concern one connection only.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect",
}

// EndpointRequestHeaders returns the caller's headers without those that concern only the
// caller's connection, the key, and those that only the system may set. Were
// one of the latter passed on, a caller could name another organisation or the
// memory of another request.
func (h *Headers) EndpointRequestHeaders(from http.Header) http.Header {
	to := from.Clone()
	for _, name := range connectionNames(from) {
		to.Del(name)
	}
	for _, name := range hopByHop {
		to.Del(name)
	}
	to.Del("Authorization")
	for _, name := range h.systemOnly() {
		to.Del(name)
	}
	return to
}

// CopyResponseHeaders copies an answer's headers without those of the endpoint's
// connection. Headers that concern the caller's own connection are in place
// already and stay: without them a draining instance could not tell callers to
// leave their connections.
func (h *Headers) CopyResponseHeaders(to, from http.Header) {
	passed := from.Clone()
	for _, name := range connectionNames(from) {
		passed.Del(name)
	}
	for _, name := range hopByHop {
		passed.Del(name)
	}
	for name, values := range passed {
		to[name] = values
	}
}

func (h *Headers) systemOnly() []string {
	own := []string{
		h.Deadline, h.Organisation, h.ExpectEndpoint, h.ExpectWeights,
		h.CacheSalt, h.CacheSource, h.CacheStore, h.Priority, h.LastEventID,
	}
	return append(own, h.Reserved...)
}
