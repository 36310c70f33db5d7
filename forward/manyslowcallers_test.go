package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/events"
)

// queued returns the bytes of the events that are queued for callers, counted apart from the
// budget.
func (h *slowHarness) queued() int64 {
	blocked := &h.server.blockedWrites
	blocked.mu.Lock()
	defer blocked.mu.Unlock()
	bytes := int64(0)
	for r := range blocked.streams {
		r.mu.Lock()
		for _, event := range r.queue {
			bytes += int64(cap(event.raw)) + queuedEventBytes
		}
		r.mu.Unlock()
	}
	return bytes
}

// Guards against instances of 112 MB and of 244 MB that exceed their budget, reject requests or
// disconnect many callers while 1,000 callers read one byte a second. Budgets are scaled down by
// four, and the streams together are about twice as long as the larger one.
func TestThousandCallersThatReadOneByteASecond(t *testing.T) {
	for _, megabytes := range []int64{112, 244} {
		t.Run(fmt.Sprintf("%d MB", megabytes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testThousandSlowCallers(t, megabytes<<20/4/4) })
		})
	}
}

func testThousandSlowCallers(t *testing.T, budget int64) {
	const callers = 1000
	h := newSlowHarnessOn(t, newMemoryNetwork(), budget, func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, "/once/") {
			respond(200, "ok")(w, r)
			return
		}
		sendLongEvents(w, r, 100, 300)
	})
	h.url = "http://" + h.address
	peak := int64(0)
	observe := func() { peak = max(peak, h.used(), h.queued()) }
	var conns []net.Conn
	for len(conns) < callers {
		// Callers arrive in groups: a slow machine rejects a thousand at once for lack of an
		// endpoint that answers.
		for range 50 {
			conns = append(conns, h.call(t, "/stream/x", "key"))
		}
		eventually(t, 5*time.Second, "requests have not reached the endpoint", func() bool {
			observe()
			return h.deliveredCount() == len(conns)
		})
	}
	one := make([]byte, 1)
	for range 2 {
		for until := time.Now().Add(time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
			observe()
		}
		for _, conn := range conns {
			_, err := io.ReadFull(conn, one)
			assert.NilError(t, err)
		}
	}
	assert.Assert(t, peak > budget/2 && peak <= budget, "peak of %d bytes in a budget of %d", peak, budget)
	assert.Assert(t, h.server.buffers.waitingStreams.Load() > 0)
	assert.Equal(t, h.send(t, "POST", "/once/x", "body", "Authorization", "Bearer secret").StatusCode, 200)
	assert.Equal(t, h.logs.FilterMessage(events.RequestFailed.Text).Len(), 0)
	evicted := h.logs.FilterMessage(events.ReaderEvicted.Text).Len()
	assert.Assert(t, evicted < callers/10, "%d callers were evicted", evicted)
	for _, conn := range conns {
		_ = conn.Close()
	}
	eventually(t, 5*time.Second, "bytes were not given back", func() bool { return h.used() == 0 && h.queued() == 0 })
}

// Guards against an instance of 112 MB that stops reading its engines or drops streams
// while 1,000 callers read one byte a second and what they have not read fits the budget.
func TestStreamsOfThousandSlowCallersThatFitTheBudget(t *testing.T) {
	const callers, budget = 1000, 112 << 20 / 4
	h := newSlowHarness(t, budget, longStream(60, 300))
	var conns []net.Conn
	peak := int64(0)
	for len(conns) < callers {
		// Callers arrive in groups: a slow machine rejects a thousand at once for lack of an
		// endpoint that answers.
		for range 50 {
			conns = append(conns, h.call(t, "/stream/x", "key"))
		}
		eventually(t, 5*time.Second, "the engines' streams were not read to the end", func() bool {
			peak = max(peak, h.used())
			return h.completed() == int64(len(conns))
		})
	}
	one := make([]byte, 1)
	for range 2 {
		time.Sleep(time.Second)
		for _, conn := range conns {
			_, err := io.ReadFull(conn, one)
			assert.NilError(t, err)
		}
		assert.Assert(t, h.used() > budget/10)
	}
	assert.Assert(t, peak > budget/10 && peak <= budget, "peak of %d bytes", peak)
	assert.Equal(t, h.logs.FilterMessage(events.ReaderEvicted.Text).Len(), 0)
	assert.Equal(t, h.logs.FilterMessage(events.ClientDisconnected.Text).Len(), 0)
	for _, conn := range conns {
		_ = conn.Close()
	}
	eventually(t, 5*time.Second, "bytes were not given back", func() bool { return h.used() == 0 })
}
