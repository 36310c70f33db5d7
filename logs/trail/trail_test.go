package trail

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const entryLog = `{"level":"info","ts":"2026-01-02T10:00:00Z","msg":"The daemon has started.","instance":"edge-1","address":"10.0.0.1:7340","event":6000}
{"level":"warn","ts":"2026-01-02T10:00:07.9Z","msg":"A control instance does not answer or is cut off; another one is followed.","instance":"edge-1","source":"10.0.0.9:7340","event":3019}
{"level":"info","ts":"2026-01-02T10:00:08Z","msg":"An attempt ended without an answer for the caller.","instance":"edge-1","request":"r-1","endpoint":"i-1","took":"120.123456ms","end":"broken","rule":"held here","event":1011}
{"level":"warn","ts":"2026-01-02T10:00:08.01Z","msg":"An endpoint broke its connections off and takes none any more.","instance":"edge-1","endpoint":"i-1","suspects":2,"event":1014}
{"level":"info","ts":"2026-01-02T10:00:08.02Z","msg":"A request got no whole answer.","instance":"edge-1","request":"r-1","took":"140ms","status":502,"code":5041,"outcome":"unknown","event":1005}
{"level":"info","ts":"2026-01-02T10:00:08.03Z","msg":"A request got an endpoint's answer.","instance":"edge-1","request":"r-2","took":"50ms","status":200,"endpoint":"i-1","event":1010}
{"level":"warn","ts":"2026-01-02T10:05:00Z","msg":"An endpoint broke its connections off and takes none any more.","instance":"edge-1","endpoint":"i-1","suspects":0,"event":1014}
not a line of ours
`

const controlLog = `{"level":"info","ts":"2026-01-02T10:00:00Z","msg":"The daemon has started.","instance":"core-1","address":"10.0.0.8:7340","event":6000}
{"level":"info","ts":"2026-01-02T10:00:07.5Z","msg":"An endpoint was ordered to load weights.","instance":"core-1","endpoint":"i-1","event":3022}
{"level":"info","ts":"2026-01-02T10:00:07.5Z","msg":"An endpoint was ordered to load weights.","instance":"core-1","endpoint":"i-2","event":3022}
`

func read(t *testing.T, request string) (*Trace, error) {
	t.Helper()
	r := NewReader(request)
	assert.NilError(t, r.Read("control.log", strings.NewReader(controlLog)))
	assert.NilError(t, r.Read("entry.log", strings.NewReader(entryLog)))
	return r.Trace()
}

// Guards against a trace that does not show why a request failed: a caller got 502 for work
// that must run once, and the trace has to show that the endpoint crashed at that time.
func TestTraceLinksFailureToEndpointCrash(t *testing.T) {
	trail, err := read(t, "r-1")
	assert.NilError(t, err)
	assert.Equal(t, len(trail.Lines), 2)
	var around []string
	for _, line := range trail.Context {
		around = append(around, line.Field("endpoint")+line.Field("source"))
	}
	assert.DeepEqual(t, around, []string{"i-1", "10.0.0.9:7340", "i-1"})
	assert.DeepEqual(t, trail.Instances, []string{"core-1", "edge-1"})
	assert.DeepEqual(t, trail.Missing, []string{"10.0.0.9:7340"})

	var b strings.Builder
	trail.Write(&b)
	for _, text := range []string{
		"request r-1: answered with 502 after 140ms: an endpoint failed that may have run it, and it must not run again; whether it has run is not known",
		"endpoint=i-1  end=broken  rule=held here  took=120.12ms",
		"logs missing of the control instances at: 10.0.0.9:7340",
	} {
		assert.Assert(t, strings.Contains(b.String(), text), "%q is not in\n%s", text, b.String())
	}
}

const pushbackLog = `{"level":"info","ts":"2026-01-02T10:00:01Z","msg":"An endpoint requested a back-off from this instance.","instance":"edge-1","endpoint":"i-7","by_request":"r-0","retry_after":"30s","event":1019}
{"level":"info","ts":"2026-01-02T10:00:02Z","msg":"An endpoint requested a back-off from this instance.","instance":"edge-1","endpoint":"i-7","by_request":"r-1","retry_after":"60s","event":1019}
{"level":"info","ts":"2026-01-02T10:00:03Z","msg":"An endpoint requested a back-off from this instance.","instance":"edge-2","endpoint":"i-7","by_request":"r-2","retry_after":"90s","event":1019}
{"level":"info","ts":"2026-01-02T10:00:40Z","msg":"A request got an endpoint's response.","instance":"edge-1","request":"r-3","took":"50ms","status":200,"endpoint":"i-1","pushing_back":["i-7"],"draining":["i-8"],"event":1010}
{"level":"info","ts":"2026-01-02T10:00:05Z","msg":"An endpoint announced in a response that it is draining.","instance":"edge-1","endpoint":"i-8","by_request":"r-2","event":1020}
`

// Guards against a trace that does not show why an endpoint was left out: it had requested
// a back-off from the instance, or announced that it stops, long before the request.
func TestTraceTellsWhyEndpointsWereLeftOut(t *testing.T) {
	r := NewReader("r-3")
	assert.NilError(t, r.Read("entry.log", strings.NewReader(pushbackLog)))
	trail, err := r.Trace()
	assert.NilError(t, err)
	assert.Equal(t, len(trail.Context), 2)
	var b strings.Builder
	trail.Write(&b)
	for _, text := range []string{`pushing_back=["i-7"]`, "retry_after=1m0s", "by_request=r-1", `draining=["i-8"]`, "1020 An endpoint announced"} {
		assert.Assert(t, strings.Contains(b.String(), text), "%q is not in\n%s", text, b.String())
	}
}

const relayLog = `{"level":"warn","ts":"2026-01-02T10:00:01Z","msg":"This instance reaches no endpoint; its requests go through other instances.","instance":"edge-1","event":1022}
{"level":"info","ts":"2026-01-02T10:01:00Z","msg":"A request got an endpoint's response.","instance":"edge-1","request":"r-3","took":"50ms","status":200,"endpoint":"i-1","via":"edge-2","event":1010}
`

// Guards against a trace that does not show through which instance a request went, and since when
// the links of its own were lost.
func TestTraceTellsTheWayOfARelayedRequest(t *testing.T) {
	r := NewReader("r-3")
	assert.NilError(t, r.Read("entry.log", strings.NewReader(relayLog)))
	trail, err := r.Trace()
	assert.NilError(t, err)
	var b strings.Builder
	trail.Write(&b)
	assert.Assert(t, strings.Contains(b.String(), "answered with 200 by i-1 through edge-2 after 50ms"), b.String())
	assert.Assert(t, strings.Contains(b.String(), "10:00:01.000 edge-1     1022"), b.String())
}

func TestUnknownRequestIsNotFound(t *testing.T) {
	_, err := read(t, "r-9")
	var missing *NotFoundError
	assert.Assert(t, errors.As(err, &missing))
}

// FuzzParse checks that no malformed line aborts the reading of a log.
func FuzzParse(f *testing.F) {
	for line := range strings.Lines(entryLog) {
		f.Add([]byte(line))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if line, ok := parse("f", text); ok {
			_ = line.Field("took")
		}
	})
}
