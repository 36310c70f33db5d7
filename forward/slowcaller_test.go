package forward

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/bufferbudget"
	"github.com/carawaystile/carawaystile/engine/exchange"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/routes"
)

// Guards against an event that is lost when the attempt ends while the event waits for room: the
// request counts it as its last one, so that a resumption would skip it.
func TestAttemptThatEndsWhileAnEventWaitsForRoom(t *testing.T) {
	h := newSlowHarness(t, 1<<20, longStream(400, 1000))
	h.configure(t, initialRevision+2, func(c *routes.Configuration) {
		for i := range c.Routes {
			c.Routes[i].Timeout = time.Second
		}
	})
	conn := h.call(t, "/stream/x", "key")
	eventually(t, time.Second, "the stream is not in backpressure", func() bool { return h.server.buffers.waitingStreams.Load() == 1 })
	eventually(t, 2*time.Second, "the end of the attempt was not recorded", func() bool {
		return h.logs.FilterMessage(events.AttemptEnded.Text).Len() == 1
	})
	ids, err := readStream(conn)
	assert.Assert(t, err != nil)
	assert.DeepEqual(t, ids, sequence(len(ids)))
	aborted := func() int { return h.logs.FilterMessage(events.StreamAborted.Text).Len() }
	eventually(t, time.Second, "the stream was not aborted", func() bool { return aborted() == 1 })
	last := h.logs.FilterMessage(events.StreamAborted.Text).All()[0].ContextMap()["last_event"]
	assert.Equal(t, strconv.Itoa(len(ids)), last)
}

// Guards against a retry that waits until the deadline for the bytes of its own request's fallback
// response.
func TestRetryAfterServerErrorBeyondTheBudget(t *testing.T) {
	first := atomic.Bool{}
	handler := func(w http.ResponseWriter, r *http.Request) {
		status := 200
		if first.CompareAndSwap(false, true) {
			status = 500
		}
		respond(status, strings.Repeat("b", 100<<10))(w, r)
	}
	h := newSlowHarness(t, 10<<10, handler, handler)
	h.url = "http://" + h.address
	started := time.Now()
	resp := h.send(t, "GET", "/read/x", "")
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, len(readBody(t, resp)), 100<<10)
	assert.Assert(t, time.Since(started) < 5*time.Second)
	eventually(t, time.Second, "bytes were not given back", func() bool { return h.used() == 0 })
}

// Guards against a body that counts as unanswered until a slow caller has read the response, so
// that its endpoint gets no long bodies although it holds none.
func TestBodyIsAnsweredBeforeASlowCallerHasReadTheResponse(t *testing.T) {
	received := make(chan struct{})
	proceed := make(chan struct{})
	h := newSlowHarness(t, 1<<20, func(w http.ResponseWriter, r *http.Request) {
		received <- struct{}{}
		<-proceed
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			sendLongEvents(w, r, 100, 1000)
			return
		}
		respond(200, strings.Repeat("b", 100<<10))(w, r)
	})
	unanswered := func() int {
		h.server.unanswered.mu.Lock()
		defer h.server.unanswered.mu.Unlock()
		return len(h.server.unanswered.bytes)
	}
	for _, path := range []string{"/once/x", "/stream/x"} {
		conn := h.callWithBody(t, path, "key", "body")
		<-received
		assert.Equal(t, unanswered(), 1)
		proceed <- struct{}{}
		eventually(t, 2*time.Second, "the body counts as unanswered", func() bool { return unanswered() == 0 })
		assert.Assert(t, h.used() > 0)
		_ = conn.Close()
		eventually(t, 2*time.Second, "bytes were not given back", func() bool { return h.used() == 0 })
		assert.Equal(t, unanswered(), 0)
	}
}

// Guards against a caller that is disconnected although it accepts data, because it takes longer
// than the write timeout for a piece of a buffered response, and against one that accepts nothing
// and is not disconnected.
func TestCallerThatReadsABufferedResponseSlowly(t *testing.T) {
	const bytes = 44 << 10
	h := newSlowHarness(t, 1<<20, respond(200, strings.Repeat("b", bytes)))
	// Rate and timeout are those of a caller of 1 KB/s in ten times the time.
	h.server.buffers.writeTimeout = eventWriteTimeout / 10
	stalled, conn := h.call(t, "/read/x", "key"), h.call(t, "/read/x", "key")
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 512), nil)
	assert.NilError(t, err)
	read, part := 0, make([]byte, 512)
	for err == nil {
		var n int
		n, err = resp.Body.Read(part)
		read += n
		time.Sleep(time.Duration(n) * time.Second / (10 << 10))
	}
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, read, bytes)
	assert.Equal(t, h.logs.FilterMessage(events.ClientDisconnected.Text).Len(), 1)
	_, err = readStream(stalled)
	assert.Assert(t, err != nil)
	eventually(t, time.Second, "bytes were not given back", func() bool { return h.used() == 0 })
}

// Guards against a caller that is disconnected although it accepts data, because the kernel
// reports no room in a send buffer of the usual size for longer than the write timeout.
func TestCallerThatReadsSlowlyFromASendBufferOfUsualSize(t *testing.T) {
	h := newSlowHarness(t, 4<<20, respond(200, strings.Repeat("b", 1<<20)))
	h.server.buffers.writeTimeout = eventWriteTimeout / 10
	server := httptest.NewUnstartedServer(h.server)
	server.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		_ = conn.(*net.TCPConn).SetWriteBuffer(44 << 10) // the kernel doubles it
		return WithConn(ctx, conn)
	}
	server.Start()
	t.Cleanup(server.Close)
	h.address = strings.TrimPrefix(server.URL, "http://")
	conn := h.call(t, "/read/x", "key")
	part := make([]byte, 512)
	for started := time.Now(); time.Since(started) < 3*h.server.buffers.writeTimeout; time.Sleep(50 * time.Millisecond) {
		_, err := conn.Read(part)
		assert.NilError(t, err)
	}
	assert.Equal(t, h.logs.FilterMessage(events.ClientDisconnected.Text).Len(), 0)
	assert.Equal(t, h.used(), int64(1<<20))
}

// Guards against an evicted client that gets a new write deadline with the next event, and so
// keeps its bytes.
func TestEvictedClientGetsNoFurtherEvent(t *testing.T) {
	h := newHarness(t)
	c := &clientRequest{server: h.server, w: newRecorder(), r: newRequest(t)}
	assert.NilError(t, c.writeEvent(exchange.Event{Raw: []byte("data: 1\n\n")}))
	c.disconnect()
	var evicted *evictedError
	assert.Assert(t, errors.As(c.writeEvent(exchange.Event{Raw: []byte("data: 2\n\n")}), &evicted))
}

// Guards against a request that is held until its deadline because its endpoint stops in the
// middle of a response that has waited for room.
func TestEndpointThatStopsAfterAWaitForRoom(t *testing.T) {
	var first atomic.Bool
	handler := func(w http.ResponseWriter, r *http.Request) {
		if !first.CompareAndSwap(false, true) {
			respond(200, "ok")(w, r)
			return
		}
		respond(200, strings.Repeat("b", 100<<10))(w, r)
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}
	h := newSlowHarness(t, 10<<10, handler, handler)
	h.url = "http://" + h.address
	started := time.Now()
	resp := h.send(t, "GET", "/read/x", "")
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, readBody(t, resp), "ok")
	assert.Assert(t, time.Since(started) < 5*time.Second)
}

// Guards against a buffered response that is logged as a disconnection because its caller hangs
// up, which it was not before responses were written in pieces, and against an evicted caller or
// one that has timed out that is logged as answered.
func TestEndOfABufferedResponseWhoseCallerDoesNotRead(t *testing.T) {
	ends := map[string]struct {
		end      func(*slowHarness, net.Conn)
		answered int
	}{
		"hangs up":  {answered: 1, end: func(_ *slowHarness, conn net.Conn) { _ = conn.Close() }},
		"timed out": {end: func(*slowHarness, net.Conn) {}},
		"evicted": {end: func(h *slowHarness, _ net.Conn) {
			time.Sleep(1100 * time.Millisecond) // a reader counts as stalled after a second
			h.server.evict(bufferbudget.RequestBody, 1<<20)
		}},
	}
	for name, test := range ends {
		t.Run(name, func(t *testing.T) {
			h := newSlowHarness(t, 1<<20, respond(200, strings.Repeat("b", 100<<10)))
			if name == "timed out" {
				h.server.buffers.writeTimeout = 200 * time.Millisecond
			}
			conn := h.call(t, "/read/x", "key")
			eventually(t, time.Second, "the response was not read", func() bool { return h.used() == 100<<10 })
			time.Sleep(50 * time.Millisecond)
			test.end(h, conn)
			eventually(t, 2*time.Second, "bytes were not given back", func() bool { return h.used() == 0 })
			assert.Equal(t, h.logs.FilterMessage(events.RequestAnswered.Text).Len(), test.answered)
			assert.Equal(t, h.logs.FilterMessage(events.ClientDisconnected.Text).Len(), 1-test.answered)
		})
	}
}

// Guards against gauges of unanswered bodies that grow with each endpoint that has ever existed.
func TestEndpointThatIsGoneHasNoGaugeOfUnansweredBodies(t *testing.T) {
	h := newSlowHarness(t, 1<<20, respond(200, "ok"))
	h.server.registerBufferGauges(h.registry)
	gauges := func() int {
		var text strings.Builder
		assert.NilError(t, h.registry.WriteText(&text))
		return strings.Count(text.String(), "carawaystile_unanswered_body_bytes{")
	}
	endKnown := h.server.unanswered.add("e0desk", 1)
	endGone := h.server.unanswered.add("gone", 1)
	assert.Equal(t, gauges(), 2)
	endKnown()
	assert.Equal(t, gauges(), 2)
	endGone()
	assert.Equal(t, gauges(), 1)
	assert.Equal(t, len(h.server.unanswered.reported), 1)
}
