package forward

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// One request crashes each endpoint that runs it, and its caller sends it again
// each time. Without a memory of what was running at the crashes, one caller
// takes down the whole fleet, and all others are refused.
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
		// The look at the endpoint whose connection broke takes a moment, and a
		// conviction waits for what other instances know of the crash.
		time.Sleep(100 * time.Millisecond)
	}
	assert.Assert(t, crashes.Load() <= 4, "%d of %d endpoints crashed", crashes.Load(), endpoints)
	assert.Assert(t, rejected > 0)
	other := h.send(t, "POST", "/once/harmless", "another one")
	assert.Equal(t, other.StatusCode, 200)
}
