package forward

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// benchmarkEvents is the number of events of a stream in benchmarks.
const benchmarkEvents = 2000

// BenchmarkStreamToFastCaller measures a stream of 2,000 events whose caller reads at once. The
// endpoint sends all events together, so that the cost is that of the proxy.
func BenchmarkStreamToFastCaller(b *testing.B) {
	var events strings.Builder
	for i := 1; i <= benchmarkEvents; i++ {
		fmt.Fprintf(&events, "id: %d\ndata: %s\n\n", i, strings.Repeat("t", 100))
	}
	h := newHarness(b, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signature", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, events.String())
	})
	buffer := make([]byte, 64<<10)
	b.SetBytes(int64(events.Len()))
	for b.Loop() {
		resp := h.send(b, "POST", "/resume/x", "")
		n, err := io.CopyBuffer(struct{ io.Writer }{io.Discard}, struct{ io.Reader }{resp.Body}, buffer)
		assert.NilError(b, err)
		assert.Equal(b, n, int64(events.Len()))
		_ = resp.Body.Close()
	}
}
