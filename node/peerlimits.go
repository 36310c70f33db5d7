package node

import (
	"net/http"
	"time"

	"github.com/carawaystile/carawaystile/internal/readlimit"
)

const (
	// peerMemoryDivisor is the inverse of the fraction of an instance's memory that the body of one
	// request or response of another instance may occupy, and minPeerBodyBytes the least that it
	// may: a batch of log entries with the largest document must fit.
	peerMemoryDivisor = 8
	minPeerBodyBytes  = 16 << 20
	// bodiesAtOnce is how many request bodies of the largest size a listener reads at once, so that
	// one that does not end leaves room for others.
	bodiesAtOnce = 2
)

// peerBodyBytes returns the bound of a body from another instance.
func (n *Node) peerBodyBytes() int64 {
	return max(int64(n.options.Settings.MemoryMB)<<20/peerMemoryDivisor, minPeerBodyBytes)
}

// bodyTimeout bounds the time to read the body of a request of another instance, an operator or a
// scraper, also of a snapshot of the control group's state.
const bodyTimeout = time.Minute

// operatorBodyBytes exceeds the largest document that the operators' API accepts, so that its own
// limit comes first. emptyBodyBytes is for requests that need no body.
const (
	operatorBodyBytes = 16 << 20
	emptyBodyBytes    = 4 << 10
)

// limitBodies bounds the request bodies of a listener, each and all together.
func (n *Node) limitBodies(handler http.Handler, bytes int64) http.Handler {
	bodies := &readlimit.Bodies{
		Bytes: bytes, TotalBytes: bodiesAtOnce * bytes, Timeout: bodyTimeout, Exceeded: readlimit.ReportExceeded(n.log, n.registry),
	}
	return bodies.Handler(handler)
}

// newPeerClient returns the client that calls other instances.
func (n *Node) newPeerClient() *http.Client {
	transport := &http.Transport{DialContext: n.dialInstance, IdleConnTimeout: idleConnTimeout}
	return &http.Client{Transport: readlimit.NewTransport(transport, "response body of an instance", n.peerBodyBytes())}
}
