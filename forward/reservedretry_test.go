package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/tables"
)

// newRetryingRequest returns a request whose attempt may have been delivered, at an instance that may send
// so many retries, all of them to endpoints that are not confirmed.
func newRetryingRequest(t *testing.T, retries float64) (*harness, *clientRequest) {
	t.Helper()
	now := time.Minute
	h := newHarnessWith(t, func() tables.Instant { return now }, newFakeEndpoints(t, respond(200, "ok")), func(o *Options) {
		o.Dispatch.RetryBudget = dispatch.RetryBudget{Extra: retries / 0.8, Window: 10 * time.Second}
	})
	h.server.dispatch.SetInstanceCount(1)
	service := h.server.Service("desk")
	c := &clientRequest{server: h.server, r: newRequest(t), service: service, route: &routes.Route{Kind: routes.Idempotent, MaxAttempts: 2}}
	c.ctx, c.deadline = t.Context(), time.Hour
	c.dispatchRequest = dispatch.Request{Service: service, Route: c.route, Deadline: time.Hour, DeliveredAttempts: 1}
	return h, c
}

func (h *harness) attemptsAtDesk() int {
	h.server.mu.Lock()
	defer h.server.mu.Unlock()
	_, attempts, _ := h.server.dispatch.EndpointOccupancy("e0desk")
	return attempts
}

// Guards against a place that is held for ever by a retry that is never sent, since choosing it used up the
// retry budget.
func TestRefusedRetryHoldsNoPlace(t *testing.T) {
	for _, retries := range []float64{1.5, 2.5, 3.5} {
		h, c := newRetryingRequest(t, retries)
		reserved := 0
		for range 8 {
			if c.reserveRetry(&c.dispatchRequest, true) {
				reserved++
				assert.Equal(t, h.attemptsAtDesk(), 1)
				c.returnRetry()
			}
			assert.Equal(t, h.attemptsAtDesk(), 0, "%v retries", retries)
		}
		assert.Equal(t, reserved > 0, retries > 2, "%v retries", retries)
	}
}
