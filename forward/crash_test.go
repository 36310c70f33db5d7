package forward

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A request crashes every endpoint that runs it, and its client retries it each time.
// Without a record of the requests that were running at each crash, one client would take
// down all endpoints.
func TestQuarantineStopsRequestThatCrashesEndpoints(t *testing.T) {
	const endpoints = 8
	var h *harness
	var crashes atomic.Int32
	handlers := make([]http.HandlerFunc, endpoints)
	for i := range handlers {
		handlers[i] = func(w http.ResponseWriter, request *http.Request) {
			if request.URL.Path != "/once/poison" {
				respond(200, "done")(w, request)
				return
			}
			crashes.Add(1)
			_ = h.endpointServers[i].Listener.Close()
			panic(http.ErrAbortHandler)
		}
	}
	h = newHarness(t, handlers...)
	rejected := 0
	for i := range 3 * endpoints {
		resp := h.send(t, "POST", "/once/poison", "the same each time", "X-Request", "r-"+strconv.Itoa(i))
		if resp.StatusCode == http.StatusServiceUnavailable {
			rejected++
		}
		// Waits for the probe of the crashed endpoint, and for the delay in which the crash
		// detector collects other instances' reports before it convicts a request.
		time.Sleep(100 * time.Millisecond)
	}
	assert.Assert(t, crashes.Load() <= 4, "%d of %d endpoints crashed", crashes.Load(), endpoints)
	assert.Assert(t, rejected > 0)
	other := h.send(t, "POST", "/once/harmless", "another one")
	assert.Equal(t, other.StatusCode, 200)
}
