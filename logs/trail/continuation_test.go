package trail

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const continuedLog = `{"level":"info","ts":"2026-01-02T10:00:08Z","msg":"An attempt ended.","instance":"edge-1","request":"r-1","endpoint":"i-1","backup":"i-2","end":"broken","event":1011}
{"level":"info","ts":"2026-01-02T10:00:08.02Z","msg":"A stream continues.","instance":"edge-1","request":"r-1","endpoint":"i-1","backup":"i-2","last_event":"7","since_event":"20ms","event":1034}
{"level":"info","ts":"2026-01-02T10:00:09Z","msg":"A request got an endpoint's response.","instance":"edge-1","request":"r-1","took":"2s","status":200,"endpoint":"i-2","event":1010}
{"level":"info","ts":"2026-01-02T10:00:10Z","msg":"A broken stream was not continued.","instance":"edge-1","request":"r-2","endpoint":"i-1","backup":"i-3","last_event":"4","reason":"endpoint not ended","event":1035}
{"level":"warn","ts":"2026-01-02T10:00:10.1Z","msg":"A stream was aborted.","instance":"edge-1","request":"r-2","last_event":"4","event":1012}
`

// Guards against a trace that shows a stream answered by one endpoint although another one began
// it, or an aborted stream without the reason why its backup did not continue it.
func TestTraceShowsContinuations(t *testing.T) {
	for request, want := range map[string]string{
		"r-1": "request r-1: answered with 200 by i-2 after 2s; i-1 ended after event 7 and i-2 continued\n",
		"r-2": "request r-2: its stream was broken off after event 4; its backup i-3 did not continue it: endpoint not ended\n",
	} {
		r := NewReader(request)
		assert.NilError(t, r.Read("entry.log", strings.NewReader(continuedLog)))
		trace, err := r.Trace()
		assert.NilError(t, err)
		var b strings.Builder
		trace.Write(&b)
		assert.Assert(t, strings.HasPrefix(b.String(), want), b.String())
		assert.Assert(t, strings.Contains(b.String(), "backup=i-"), b.String())
	}
}
