package forward

import (
	"bytes"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/schedule"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// respondWithLoad returns a handler that responds with a success and the load header that load
// returns.
func respondWithLoad(load func() string) http.HandlerFunc {
	ok := respond(200, "ok")
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Load", load())
		ok(w, r)
	}
}

// Guards against a log line for each response of an endpoint whose slowdown is unusable, against
// a load that is dropped because of it, and against a metric that misses slowed endpoints.
func TestUnusableSlowdownIsLoggedOnceASecond(t *testing.T) {
	load, now := "8,4,8,", 5*time.Second
	h := newHarnessWith(t, func() tables.Instant { return now }, newFakeEndpoints(t, respondWithLoad(func() string { return load })))
	core, logged := observer.New(zapcore.DebugLevel)
	h.server.log = zap.New(core)
	registry := metrics.NewRegistry()
	h.server.metrics = newRequestMetrics(registry)
	h.server.registerSlowdownGauge(registry)
	send := func(n int) {
		for range n {
			assert.Equal(t, h.send(t, "GET", "/read/x", "").StatusCode, 200)
		}
	}
	unusable := func() int {
		return logged.FilterField(zap.Uint16("event", uint16(events.SlowdownUnusable.Number))).Len()
	}
	exported := func(line string) bool {
		var out bytes.Buffer
		assert.NilError(t, registry.WriteText(&out))
		return strings.Contains(out.String(), line+"\n")
	}
	send(5)
	assert.Equal(t, unusable(), 1)
	now += unusableSlowdownInterval
	send(5)
	assert.Equal(t, unusable(), 2)
	assert.Assert(t, exported(`carawaystile_endpoint_slowdown_unusable_total{service="desk"} 10`))
	assert.Assert(t, exported(`carawaystile_endpoints_slowed 0`))
	load = "8,4,8,250"
	send(1)
	assert.Equal(t, unusable(), 2)
	assert.Assert(t, exported(`carawaystile_endpoints_slowed 1`))
	now += time.Second
	assert.Assert(t, exported(`carawaystile_endpoints_slowed 0`))
}

// Guards against an instance that keeps the slowdown of an endpoint to itself, so that the
// scheduler, which gets no responses, places on without it.
func TestSchedulerLearnsTheSlowdownOfAResponse(t *testing.T) {
	now := func() tables.Instant { return 5 * time.Second }
	stream := streamEvents(2, 2)
	endpoints := newFakeEndpoints(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Load", "1,0,8,250")
		stream(w, r)
	})
	asker, scheduler := newHarnessWith(t, now, endpoints), newHarnessWith(t, now, endpoints)
	server := schedule.NewServer(scheduler.server, now)
	var client *schedule.Client
	client = schedule.NewClient(schedule.ClientOptions{
		Self: "asker", Now: now, Log: zap.NewNop(),
		Schedulers: func() []membership.EntryInstance { return []membership.EntryInstance{{Instance: "scheduler"}} },
		Send: func(to netip.AddrPort, m *rpc.ScheduleMessage) {
			if q := m.GetQuestion(); q != nil {
				client.HandleAnswer(to, m.GetNumber(), server.Choose("asker", m.GetNumber(), q))
				return
			}
			server.HandleProgress("asker", m.GetNumber(), m.GetProgress())
		},
	})
	asker.server.options.Scheduler = client
	resp := asker.send(t, "GET", "/stream/x", "", "X-Model", "m", "X-Tokens", "1000,10")
	assert.Equal(t, resp.StatusCode, 200)
	readBody(t, resp)
	_, reports := scheduler.server.TakeUpdates()
	assert.Equal(t, len(reports), 1)
	assert.Equal(t, reports[0].SlowdownPercent, 250)
}
