package engine

import (
	"errors"
	"net/http"
	"net/netip"
	"sync"
)

// doubts holds the endpoints that were silent when last tried. When a zone is
// cut off without resets, every pooled connection into it looks healthy, and
// each attempt on one waits for the whole AcceptTimeout and may have run. An
// endpoint in doubt gets a fresh connection instead: that fails sooner, and
// provably before anything ran. The number of doubts is bounded by that of the
// endpoints.
type doubts struct{ endpoints sync.Map }

// failed notes a failed attempt, if it failed by silence.
func (d *doubts) failed(at netip.AddrPort, cause error) {
	var silent *ReadTimeoutError
	if errors.As(cause, &silent) || isUnreachable(cause) {
		d.endpoints.Store(at, struct{}{})
	}
}

// answered notes that an endpoint answered.
func (d *doubts) answered(at netip.AddrPort) {
	if d.has(at) {
		d.endpoints.Delete(at)
	}
}

func (d *doubts) has(at netip.AddrPort) bool {
	_, ok := d.endpoints.Load(at)
	return ok
}

// transportTo returns the pooled connections, or fresh ones to an endpoint in
// doubt.
func (c *HTTPClient) transportTo(at netip.AddrPort) *http.Transport {
	if c.doubts.has(at) {
		return c.single
	}
	return c.pooled
}
