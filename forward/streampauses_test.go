package forward

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/routes"
)

// Guards against pauses that are not recorded, that are attributed to the wrong event, or that
// fill the log. A stream pauses for 60 ms and for 200 ms beside a prompt of another instance;
// its target gap is 40 ms.
func TestLongestPauseIsRecorded(t *testing.T) {
	h := newHarness(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Signature", "s")
		w.Header().Set("Content-Type", "text/event-stream")
		for _, sleep := range []time.Duration{0, 0, 60, 0, 200} {
			time.Sleep(sleep * time.Millisecond)
			_, _ = io.WriteString(w, "data: t\n\n")
			_ = http.NewResponseController(w).Flush()
		}
	})
	registry := metrics.NewRegistry()
	core, logged := observer.New(zapcore.InfoLevel)
	h.server.metrics, h.server.log = newRequestMetrics(registry), zap.New(core)
	h.configure(t, initialRevision+1, func(c *routes.Configuration) {
		for i := range c.Routes {
			c.Routes[i].TargetEventGap = 40 * time.Millisecond
		}
	})
	h.server.ApplyLoadReport("other", dispatch.LoadReport{Endpoint: "e0models", Running: 1, PrefillTokens: 14_000})
	resp := h.send(t, "POST", "/stream/x", "", "X-Model", "m", "X-Tokens", "100,10")
	assert.Equal(t, strings.Count(readBody(t, resp), "data"), 5)
	assert.NilError(t, h.server.Drain(t.Context()), "the request ends after its response")

	answered := logged.FilterField(zap.Uint16("event", uint16(events.RequestAnswered.Number))).All()
	assert.Equal(t, len(answered), 1)
	fields := answered[0].ContextMap()
	longest := fields["pause"].(time.Duration)
	assert.Assert(t, longest > 150*time.Millisecond && longest < 2*time.Second, "%v", longest)
	assert.Equal(t, fields["pause_at"], int64(5))
	assert.Equal(t, fields["queued_prefill"], int64(14_000))
	assert.Equal(t, logged.FilterField(zap.Uint16("event", uint16(events.StreamPaused.Number))).Len(), 1, "one line a second")
	var text strings.Builder
	assert.NilError(t, registry.WriteText(&text))
	for _, series := range []string{`stream_longest_pause_seconds_count{class="urgent"} 1`, `organisation_stream_longest_pause_seconds_count{organisation="org"} 1`} {
		assert.Assert(t, strings.Contains(text.String(), "carawaystile_"+series+"\n"), "%s in %s", series, text.String())
	}
}

// Guards against the worst pauses missing in the record: those that no event ends, because the
// engine crashes, the deadline passes or the client leaves.
func TestPauseBeforeAnAbortIsRecorded(t *testing.T) {
	for name, crash := range map[string]bool{"crash": true, "deadline": false, "client": false} {
		h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Signature", "s")
			w.Header().Set("Content-Type", "text/event-stream")
			for range 2 {
				_, _ = io.WriteString(w, "data: t\n\n")
				_ = http.NewResponseController(w).Flush()
			}
			if crash {
				time.Sleep(200 * time.Millisecond)
				panic(http.ErrAbortHandler)
			}
			<-r.Context().Done()
		})
		registry := metrics.NewRegistry()
		core, logged := observer.New(zapcore.InfoLevel)
		h.server.metrics, h.server.log = newRequestMetrics(registry), zap.New(core)
		h.configure(t, initialRevision+1, func(c *routes.Configuration) {
			for i := range c.Routes {
				c.Routes[i].TargetEventGap = 100 * time.Millisecond
			}
		})
		deadline := "5000"
		if name == "deadline" {
			deadline = "300"
		}
		resp := h.send(t, "POST", "/stream/x", "", "X-Model", "m", "X-Tokens", "100,10", "X-Deadline", deadline)
		if name == "client" {
			time.Sleep(200 * time.Millisecond)
			_ = resp.Body.Close()
		} else {
			_, err := io.ReadAll(resp.Body)
			assert.Assert(t, err != nil, name)
		}
		assert.NilError(t, h.server.Drain(t.Context()))
		paused := logged.FilterField(zap.Uint16("event", uint16(events.StreamPaused.Number))).All()
		assert.Equal(t, len(paused), 1, name)
		assert.Equal(t, paused[0].ContextMap()["pause_at"], int64(3), name)
		var text strings.Builder
		assert.NilError(t, registry.WriteText(&text))
		_, after, _ := strings.Cut(text.String(), `carawaystile_stream_longest_pause_seconds_sum{class="urgent"} `)
		value, _, _ := strings.Cut(after, "\n")
		longest, err := strconv.ParseFloat(value, 64)
		assert.Assert(t, err == nil && longest > 0.1, "%s: %s", name, value)
	}
}

// Guards against pauses at one endpoint that hide those at another, and against lost counts of
// the pauses that were not logged.
func TestPausesAreLoggedOnceASecondForEachEndpoint(t *testing.T) {
	var reports pauseReports
	for range 3 {
		reports.admit(time.Hour, "a")
	}
	_, ok := reports.admit(time.Hour, "b")
	assert.Assert(t, ok)
	unlogged, ok := reports.admit(time.Hour+pauseReportInterval, "a")
	assert.Assert(t, ok)
	assert.Equal(t, unlogged, 2)
	reports.admit(2*time.Hour, "c")
	assert.Equal(t, len(reports.byEndpoint), 1, "entries of endpoints that may be gone are removed")
}
