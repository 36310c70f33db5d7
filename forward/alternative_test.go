package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/routes"
)

// Guards against a resumable stream that is cut because its endpoint is slow, although no other
// endpoint can take it: the client would lose a response that still comes.
func TestSlowStreamIsNotCutWithoutAnAlternative(t *testing.T) {
	const gap = 10 * time.Millisecond
	h := newHarness(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signature", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= 4; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: t%d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(3 * gapTimeoutFactor * gap)
		}
	})
	h.configure(t, initialRevision+1, func(c *routes.Configuration) {
		for i := range c.Routes {
			c.Routes[i].TargetEventGap, c.Routes[i].MaxAttempts = gap, 3
		}
	})
	resp := h.send(t, "POST", "/resume/x", "", "X-Model", "m", "X-Tokens", "10,6")
	assert.Equal(t, readBody(t, resp), "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\ndata: t3\n\nid: 4\ndata: t4\n\n")
}

// Guards against a response that is cut because its timer expires while it is stopped: with no
// other endpoint at hand the timer restarts itself.
func TestStoppedResponseTimerDoesNotCancelTheAttempt(t *testing.T) {
	h := newHarness(t, respond(200, "ok"))
	service := h.server.Service("desk")
	c := &clientRequest{server: h.server, service: service, route: &routes.Route{Kind: routes.Idempotent, MaxAttempts: 3}}
	c.dispatchRequest = dispatch.Request{Service: service, Route: c.route}
	for range 500 {
		a := &attempt{request: c, placement: &dispatch.Attempt{}, mayRepeat: true, cancel: func() {}}
		a.armResponseTimer(time.Microsecond)
		time.Sleep(5 * time.Microsecond)
		wasTimedOut := a.stopResponseTimer()
		time.Sleep(20 * time.Microsecond)
		assert.Equal(t, a.timedOut.Load(), wasTimedOut)
	}
}
