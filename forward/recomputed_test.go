package forward

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/parts"
)

// Guards against repeated computation that is missing in event 1010 or in the metrics, by which
// its causes are found.
func TestRepeatedComputationIsReported(t *testing.T) {
	h := newHarness(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signature", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: t\n\n")
	})
	registry := metrics.NewRegistry()
	core, logged := observer.New(zapcore.InfoLevel)
	h.server.metrics, h.server.log = newRequestMetrics(registry), zap.New(core)
	send := func() {
		readBody(t, h.send(t, "POST", "/stream/x", "", "X-Model", "m", "X-Tokens", "100,10", "X-Prefix", "a:40,b:20,own:5"))
	}
	send()
	var held []parts.Key
	for _, one := range h.server.EndpointCaches() {
		held = append(held, one.Keys...)
		for _, key := range one.Keys {
			h.server.ApplyCacheUpdate(dispatch.CacheUpdate{Endpoint: one.Endpoint, Key: key, Evicted: true})
		}
	}
	assert.Equal(t, len(held), 2)
	send()
	assert.NilError(t, h.server.Drain(t.Context()), "the requests end after their responses")

	answered := logged.FilterField(zap.Uint16("event", uint16(events.RequestAnswered.Number))).All()
	assert.Equal(t, len(answered), 2)
	first, second := answered[0].ContextMap(), answered[1].ContextMap()
	assert.Equal(t, first["shared"], int64(60))
	assert.Equal(t, first["again"], int64(0))
	assert.Equal(t, second["again"], int64(60))
	assert.Equal(t, second["again_reason"], "evicted")
	var text strings.Builder
	assert.NilError(t, registry.WriteText(&text))
	for _, reason := range []string{"first", "evicted"} {
		series := `carawaystile_shared_tokens_computed_total{class="urgent",reason="` + reason + `"} 60`
		assert.Assert(t, strings.Contains(text.String(), series+"\n"), "%s in %s", series, text.String())
	}
}
