package forward

import (
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// Guards against a second send of work that may run once of which a killed process leaves no trace.
func TestSecondSendIsInTheLogBeforeItReachesAnEndpoint(t *testing.T) {
	core, logged := observer.New(zapcore.InfoLevel)
	count := func(event events.Event) int { return logged.FilterMessage(event.Text).Len() }
	var arrivals, lines atomic.Int32
	handler := func(w http.ResponseWriter, r *http.Request) {
		if arrivals.Add(1) == 1 {
			decline(w, r)
			return
		}
		lines.Store(int32(count(events.RequestResent)))
		respond(http.StatusOK, "")(w, r)
	}
	started := time.Now()
	h := newHarnessWith(t, func() tables.Instant { return time.Since(started) }, newFakeEndpoints(t, handler, handler),
		func(o *Options) { o.Log = zap.New(core) })
	assert.Equal(t, h.send(t, http.MethodPost, "/once/x", "").StatusCode, http.StatusOK)
	assert.Equal(t, lines.Load(), int32(1))
	fields := logged.FilterMessage(events.RequestResent.Text).All()[0].ContextMap()
	assert.Equal(t, fields["echoed"], "r-/once/x")
	assert.Equal(t, fields["status"], int64(http.StatusServiceUnavailable))
	assert.Equal(t, h.send(t, http.MethodPost, "/read/x", "").StatusCode, http.StatusOK)
	assert.Equal(t, count(events.RequestIDRepeated), 0)
	assert.Equal(t, h.send(t, http.MethodPost, "/once/x", "").StatusCode, http.StatusOK)
	assert.Equal(t, count(events.RequestIDRepeated), 1)
}

// Guards against a copy of the first rejection that is taken for that of the retry, at an endpoint
// that is listed again at the same address.
func TestRetryAtTheSameAddressIsNotRejectedByACopy(t *testing.T) {
	var runs atomic.Int32
	first := make(chan string, 1)
	h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case first <- r.RemoteAddr:
			decline(w, r)
			return
		default:
		}
		runs.Add(1)
		if r.RemoteAddr == <-first {
			decline(w, r)
			return
		}
		respond(http.StatusOK, "own")(w, r)
	})
	address := netip.MustParseAddrPort(strings.TrimPrefix(h.endpointServers[0].URL, "http://"))
	listed := map[tables.EndpointID]fleet.Endpoint{}
	for _, id := range []tables.EndpointID{"old", "new"} {
		listed[id] = fleet.Endpoint{ID: id, Service: "desk", Address: address, Zone: "a", Slots: 8}
	}
	h.server.SetEndpoints(listed)
	resp := h.send(t, http.MethodPost, "/once/x", "")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, readBody(t, resp), "own")
	assert.Equal(t, runs.Load(), int32(1))
}
