package trail

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const waitLog = `{"level":"info","ts":"2026-01-02T10:00:00Z","msg":"A request got an endpoint's response.","instance":"edge-1","request":"r-1","took":"150ms","queue_wait":"40ms","predicted_wait":"55.5004ms","status":200,"endpoint":"i-1","event":1010}
{"level":"info","ts":"2026-01-02T10:00:00Z","msg":"A request got no complete response.","instance":"edge-1","request":"r-2","took":"1ms","queue_wait":"0s","predicted_wait":"1.9s","wait_ended":"arrival","status":503,"code":4290,"outcome":"not_run","retry_after":"1.933","event":1005}
{"level":"info","ts":"2026-01-02T10:00:00Z","msg":"A request got no complete response.","instance":"edge-1","request":"r-3","took":"200ms","queue_wait":"180ms","predicted_wait":"0s","wait_ended":"waiting","status":503,"code":4290,"outcome":"not_run","retry_after":"0.2","event":1005}
`

// Guards against a trace that leaves open whether a late or rejected request waited for capacity.
func TestTraceNamesTheWaitForCapacity(t *testing.T) {
	for request, text := range map[string]string{
		"r-1": "after 150ms, of which it waited 40ms for capacity (predicted: 55.5ms)",
		"r-2": "after 1ms, rejected on arrival since its wait for capacity would have been 1.9s",
		"r-3": "after 200ms, of which it waited 180ms for capacity",
	} {
		r := NewReader(request)
		assert.NilError(t, r.Read("entry.log", strings.NewReader(waitLog)))
		found, err := r.Trace()
		assert.NilError(t, err)
		var b strings.Builder
		found.Write(&b)
		assert.Assert(t, strings.Contains(b.String(), text), "%q is not in\n%s", text, b.String())
	}
}
