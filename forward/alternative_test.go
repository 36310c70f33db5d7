package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
