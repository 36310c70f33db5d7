package engine

import (
	"errors"
	"net/netip"
	"sync"

	"github.com/carawaystile/carawaystile/internal/httpresponse"
)

// unresponsiveEndpoints is the set of endpoints whose last attempt timed out. Attempts at
// them use a new connection instead of a pooled one. When a zone is cut off without TCP
// resets, every pooled connection into it looks healthy: an attempt on one waits for the
// whole ResponseTimeout and may have run. Opening a connection fails sooner, and provably
// before anything ran. The number of endpoints bounds the size of the set.
type unresponsiveEndpoints struct{ endpoints sync.Map }

// recordFailure adds an endpoint if its attempt failed by a timeout or because it was
// unreachable.
func (d *unresponsiveEndpoints) recordFailure(at netip.AddrPort, cause error) {
	var timeout *ReadTimeoutError
	if errors.As(cause, &timeout) || isUnreachable(cause) {
		d.endpoints.Store(at, struct{}{})
	}
}

// recordResponse removes an endpoint, because it responded.
func (d *unresponsiveEndpoints) recordResponse(at netip.AddrPort) {
	if d.contains(at) {
		d.endpoints.Delete(at)
	}
}

func (d *unresponsiveEndpoints) contains(at netip.AddrPort) bool {
	_, ok := d.endpoints.Load(at)
	return ok
}

// transportFor returns the transport with the connection pool, or the one without for an
// unresponsive endpoint.
func (c *HTTPClient) transportFor(at netip.AddrPort) httpresponse.Transport {
	if c.unresponsive.contains(at) {
		return c.unpooled
	}
	return c.pooled
}
