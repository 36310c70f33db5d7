package forward

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// schedulerFailures are the ways in which a scheduler fails.
var schedulerFailures = map[string]int32{"killed": killed, "frozen": frozen, "cut off": cutOff}

// Guards against streams without a backup, runs at two engines and copies that stay counted
// because the scheduler that chooses backups is killed, frozen or cut off.
func TestStreamHasABackupWithoutItsScheduler(t *testing.T) {
	for name, mode := range schedulerFailures {
		t.Run(name, func(t *testing.T) {
			engines := newBackupEngines(t, 3)
			h, other := newBackupHarness(t, engines, withBackups), newBackupHarness(t, engines, withBackups)
			scheduler := attachScheduler(h, other)
			scheduler.mode.Store(mode)
			received, complete := h.streamOf(t)
			assert.DeepEqual(t, received, wantEvents(6))
			assert.Assert(t, complete)
			runs, handles, refused := engines.counts(streamRequest)
			assert.Equal(t, runs, 1)
			assert.Equal(t, handles, 1)
			assert.Equal(t, refused, 0)
			awaitCondition(t, func() bool { return mode != frozen || scheduler.questions.Load() > 0 })
			at := h.server.options.Now()
			awaitCondition(t, func() bool {
				at += 2 * time.Second // unchanged loads are reported again
				return nothingReported(at, h, other)
			})
		})
	}
}

// nothingReported reports whether the load reports that instances make at a later time contain no
// attempt and no memory.
func nothingReported(at tables.Instant, instances ...*harness) bool {
	for _, h := range instances {
		h.server.mu.Lock()
		reports := h.server.dispatch.TakeLoadReports(at)
		h.server.mu.Unlock()
		for _, r := range reports {
			if r.Running > 0 || r.MemoryTokens > 0 {
				return false
			}
		}
	}
	return true
}

// awaitCondition waits until a condition holds.
func awaitCondition(t *testing.T, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !holds(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline), "the condition does not hold")
	}
}

// Guards against requests at an endpoint that has just said that it is slowed down, lost requests
// and requests sent twice, because the scheduler that knows of the slowdown is killed, frozen or
// cut off.
func TestSlowdownIsKnownWithoutTheScheduler(t *testing.T) {
	const later = 4
	for name, mode := range schedulerFailures {
		t.Run(name, func(t *testing.T) {
			now := func() tables.Instant { return 5 * time.Second } // a value ages by real time otherwise
			var slowed atomic.Int32
			handler := func(n int32) http.HandlerFunc {
				stream := streamEvents(2, 2)
				return func(w http.ResponseWriter, r *http.Request) {
					slowed.CompareAndSwap(0, n)
					w.Header().Set("X-Load", map[bool]string{true: "1,0,8,400", false: "1,0,8,100"}[slowed.Load() == n])
					stream(w, r)
				}
			}
			endpoints := newFakeEndpoints(t, handler(1), handler(2))
			h, other := newHarnessWith(t, now, endpoints), newHarnessWith(t, now, endpoints)
			scheduler := attachScheduler(h, other)
			send := func() {
				resp := h.send(t, "GET", "/stream/x", "", "X-Model", "m", "X-Tokens", "5000,10")
				assert.Equal(t, resp.StatusCode, 200)
				readBody(t, resp)
			}
			send()
			assert.Equal(t, scheduler.questions.Load(), int32(1))
			scheduler.mode.Store(mode)
			for range later {
				send()
			}
			assert.Equal(t, len(endpoints.all[slowed.Load()-1].requests()), 1)
			assert.Equal(t, h.deliveredCount(), 1+later)
		})
	}
}
