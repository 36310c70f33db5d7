package forward

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/bufferbudget"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/routes"
)

// socketBytes is the size of the socket buffers between the proxy and slow callers. It is small,
// so that the proxy notices a slow caller after a few events.
const socketBytes = 4 << 10

// slowHarness is a harness with a budget and with callers whose sockets hold little.
type slowHarness struct {
	*harness
	address  string
	registry *metrics.Registry
	logs     *observer.ObservedLogs
}

func newSlowHarness(t *testing.T, budget int64, handlers ...http.HandlerFunc) *slowHarness {
	t.Helper()
	return newSlowHarnessOn(t, nil, budget, handlers...)
}

func newSlowHarnessOn(t *testing.T, memory *memoryNetwork, budget int64, handlers ...http.HandlerFunc) *slowHarness {
	t.Helper()
	h := &slowHarness{harness: newHarnessOn(t, memory, handlers...), registry: metrics.NewRegistry()}
	core, logs := observer.New(zap.InfoLevel)
	h.logs, h.server.log = logs, zap.New(core)
	h.server.metrics = newRequestMetrics(h.registry)
	h.server.buffers.budget = bufferbudget.New(budget)
	h.configure(t, initialRevision+1, func(c *routes.Configuration) {
		for i := range c.Routes {
			c.Routes[i].Timeout = 20 * time.Second
		}
		c.Services[1].Slots, c.Services[1].KVCapacityTokens = 10_000, 100_000_000
		c.Limits.BodyBytes = 1 << 20
	})
	if memory != nil {
		h.address = strings.TrimPrefix(h.url, "http://")
		return h
	}
	server := httptest.NewUnstartedServer(h.server)
	server.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		_ = conn.(*net.TCPConn).SetWriteBuffer(socketBytes)
		return ctx
	}
	server.Start()
	t.Cleanup(server.Close)
	h.address = strings.TrimPrefix(server.URL, "http://")
	return h
}

// call sends a request and returns its connection, from which nothing was read.
func (h *slowHarness) call(t *testing.T, path, key string) net.Conn {
	t.Helper()
	return h.callWithBody(t, path, key, "")
}

// callWithBody is call with a request body.
func (h *slowHarness) callWithBody(t *testing.T, path, key, body string) net.Conn {
	t.Helper()
	conn, err := h.dial(t)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h.example\r\nX-Request: r\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", path, key, len(body), body)
	assert.NilError(t, err)
	return conn
}

func (h *slowHarness) dial(t *testing.T) (net.Conn, error) {
	if h.memory != nil {
		return h.memory.dialAddress(t.Context(), h.address)
	}
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBytes)
		})
	}}
	return dialer.DialContext(t.Context(), "tcp", h.address)
}

// readStream reads a response to its end and returns the IDs of its events.
func readStream(conn net.Conn) ([]int, error) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(resp.Body)
	var ids []int
	for _, line := range strings.Split(string(body), "\n") {
		if number, found := strings.CutPrefix(line, "id: "); found {
			id, _ := strconv.Atoi(number)
			ids = append(ids, id)
		}
	}
	return ids, err
}

// sequence returns the numbers from 1 to last.
func sequence(last int) []int {
	var all []int
	for i := range last {
		all = append(all, i+1)
	}
	return all
}

// sendLongEvents sends events with so many bytes of data, from the one after the client's last
// to the last one.
func sendLongEvents(w http.ResponseWriter, r *http.Request, last, bytes int) {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if from == 0 {
		w.Header().Set("X-Signature", "s")
		w.Header().Set("Content-Type", "text/event-stream")
	}
	for i := from + 1; i <= last; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("t", bytes))
	}
	_ = http.NewResponseController(w).Flush()
}

// longStream returns a handler that sends a whole stream.
func longStream(last, bytes int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) { sendLongEvents(w, r, last, bytes) }
}

func (h *slowHarness) used() int64 { return h.server.buffers.budget.Used() }

// completed returns how many responses of endpoints were read to their end.
func (h *slowHarness) completed() int64 {
	return h.registry.Counter("carawaystile_attempts_total", "", metrics.Label{Name: "service", Value: "models"}, metrics.Label{Name: "end", Value: "completed"}).Count()
}

// eventually waits until the condition holds.
func eventually(t *testing.T, limit time.Duration, what string, condition func() bool) {
	t.Helper()
	for start := time.Now(); !condition(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Since(start) < limit, what)
	}
}

// Guards against a flood of slow callers of one organisation that stops the streams of others:
// its longest stalled reader must be evicted first, and the others must go on.
func TestBudgetUsedUpEvictsLongestStalledReaderOfLargestAccount(t *testing.T) {
	h := newSlowHarness(t, 280<<10, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Organisation") == "org" {
			sendLongEvents(w, r, 60, 1000)
			return
		}
		sendLongEvents(w, r, 100, 1000)
	})
	first := h.call(t, "/stream/x", "secret")
	time.Sleep(200 * time.Millisecond)
	other := h.call(t, "/stream/x", "key")
	time.Sleep(200 * time.Millisecond)
	second := h.call(t, "/stream/x", "secret")
	evicted := func() int { return h.logs.FilterMessage(events.ReaderEvicted.Text).Len() }
	eventually(t, 5*time.Second, "no reader was evicted", func() bool { return evicted() > 0 && h.completed() == 3 })
	assert.Assert(t, h.used() <= 280<<10)
	ids, err := readStream(h.call(t, "/stream/x", "key"))
	assert.NilError(t, err)
	assert.DeepEqual(t, ids, sequence(60))
	ids, err = readStream(other)
	assert.NilError(t, err)
	assert.DeepEqual(t, ids, sequence(60))
	ids, err = readStream(second)
	assert.NilError(t, err)
	assert.DeepEqual(t, ids, sequence(100))
	_, err = readStream(first)
	assert.Assert(t, err != nil)
	assert.Equal(t, evicted(), 1)
	assert.Equal(t, h.logs.FilterMessage(events.ReaderEvicted.Text).All()[0].ContextMap()["organisation"], "walled")
	eventually(t, 2*time.Second, "bytes were not given back", func() bool { return h.used() == 0 })
}

// Guards against an engine that goes on with a run whose caller has disconnected while events
// were queued, and against bytes that such a stream keeps.
func TestCallerThatDisconnectsWhileEventsAreQueued(t *testing.T) {
	var cancelled atomic.Bool
	h := newSlowHarness(t, 1<<20, func(w http.ResponseWriter, r *http.Request) {
		sendLongEvents(w, r, 100, 1000)
		select {
		case <-r.Context().Done():
			cancelled.Store(true)
		case <-time.After(5 * time.Second):
		}
	})
	conn := h.call(t, "/stream/x", "key")
	eventually(t, 2*time.Second, "no events were queued", func() bool { return h.used() > 50<<10 })
	_ = conn.Close()
	eventually(t, 2*time.Second, "the run was not cancelled", cancelled.Load)
	eventually(t, 2*time.Second, "bytes were not given back", func() bool { return h.used() == 0 })
	assert.Equal(t, h.logs.FilterMessage(events.ClientDisconnected.Text).Len(), 1)
}

// Guards against events that are lost or repeated when an engine stops while events are queued.
func TestEngineThatStopsWhileEventsAreQueued(t *testing.T) {
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") != "" {
			streamEvents(120, 120)(w, r)
			return
		}
		sendLongEvents(w, r, 100, 1000)
		_, _ = io.WriteString(w, "id: 101\ndata: cu")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	h := newSlowHarness(t, 1<<20, handler, handler)
	resumed, aborted := h.call(t, "/resume/x", "key"), h.call(t, "/stream/x", "key")
	eventually(t, 2*time.Second, "no events were queued", func() bool { return h.used() > 150<<10 })
	// The endpoints' ends are known although the callers have not read.
	eventually(t, 2*time.Second, "the ends of the attempts were not recorded", func() bool {
		return h.logs.FilterMessage(events.AttemptEnded.Text).Len() == 2
	})
	ids, err := readStream(resumed)
	assert.NilError(t, err)
	assert.DeepEqual(t, ids, sequence(120))
	ids, err = readStream(aborted)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), err)
	assert.DeepEqual(t, ids, sequence(100))
	eventually(t, 2*time.Second, "bytes were not given back", func() bool { return h.used() == 0 })
}

// Guards against events that are lost or out of order when a caller catches up, after which
// events are written directly again, and falls behind once more.
func TestCallerThatCatchesUp(t *testing.T) {
	next := make(chan struct{})
	h := newSlowHarness(t, 1<<20, func(w http.ResponseWriter, r *http.Request) {
		sendLongEvents(w, r, 100, 1000)
		for i := 101; i <= 300; i++ {
			if i == 105 || i == 110 {
				<-next
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("t", 1000))
			_ = http.NewResponseController(w).Flush()
		}
	})
	conn := h.call(t, "/stream/x", "key")
	eventually(t, 2*time.Second, "no events were queued", func() bool { return h.used() > 50<<10 })
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	var ids []int
	readUntil := func(last int) {
		lines := bufio.NewReaderSize(resp.Body, 16)
		for len(ids) == 0 || ids[len(ids)-1] < last {
			var id int
			line, err := lines.ReadString('\n')
			assert.NilError(t, err)
			if n, _ := fmt.Sscanf(line, "id: %d", &id); n == 1 {
				ids = append(ids, id)
			}
		}
		_, err := lines.ReadString('\n')
		assert.NilError(t, err)
		_, err = lines.ReadString('\n')
		assert.NilError(t, err)
	}
	readUntil(104)
	next <- struct{}{}
	readUntil(109)
	eventually(t, time.Second, "bytes were not given back", func() bool { return h.used() == 0 })
	next <- struct{}{}
	eventually(t, 2*time.Second, "no events were queued again", func() bool { return h.used() > 50<<10 })
	readUntil(300)
	assert.DeepEqual(t, ids, sequence(300))
}

// Guards against responses that are dropped because they do not fit the budget together.
func TestBufferedResponsesBeyondTheBudgetAreDelivered(t *testing.T) {
	h := newSlowHarness(t, 10<<10, respond(200, strings.Repeat("b", 100<<10)))
	results := make(chan int, 4)
	for range cap(results) {
		conn := h.call(t, "/read/x", "key")
		go func() {
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				results <- 0
				return
			}
			body, _ := io.ReadAll(resp.Body)
			results <- len(body)
		}()
	}
	for range cap(results) {
		assert.Equal(t, <-results, 100<<10)
	}
	eventually(t, time.Second, "bytes were not given back", func() bool { return h.used() == 0 })
}

// Guards against request bodies beyond the budget, also of unknown length, and against bytes
// that a rejected request keeps.
func TestRequestBodyBeyondTheBudgetIsRejected(t *testing.T) {
	h := newSlowHarness(t, 10<<10, respond(200, "ok"))
	h.url = "http://" + h.address
	for _, body := range []io.Reader{strings.NewReader(strings.Repeat("b", 11<<10)), io.MultiReader(strings.NewReader(strings.Repeat("b", 11<<10)))} {
		request, err := http.NewRequestWithContext(t.Context(), "POST", h.url+"/once/x", body)
		assert.NilError(t, err)
		request.Host = "h.example"
		request.Header.Set("Authorization", "Bearer key")
		resp, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, resp.Header.Get("Retry-After") != "")
	}
	eventually(t, time.Second, "bytes were not given back", func() bool { return h.used() == 0 })
	assert.Equal(t, h.deliveredCount(), 0)
}

// Guards against long bodies that go to an endpoint which holds too many already, or nowhere
// because all endpoints do.
func TestLongBodiesAvoidEndpointsWithManyUnansweredBytes(t *testing.T) {
	h := newSlowHarness(t, 10<<20, respond(200, "ok"), respond(200, "ok"))
	h.url = "http://" + h.address
	body := strings.Repeat("b", longBodyBytes+1)
	remove := h.server.unanswered.add("e0desk", maxUnansweredBytes+1)
	for range 10 {
		assert.Equal(t, h.send(t, "POST", "/once/x", body).StatusCode, 200)
	}
	assert.Equal(t, len(h.endpoints[0].requests()), 0)
	h.server.registerBufferGauges(h.registry)
	var text strings.Builder
	assert.NilError(t, h.registry.WriteText(&text))
	assert.Assert(t, strings.Contains(text.String(), `carawaystile_unanswered_body_bytes{endpoint="e0desk"} `), text.String())
	defer h.server.unanswered.add("e1desk", maxUnansweredBytes+1)()
	assert.Equal(t, h.send(t, "POST", "/once/x", body).StatusCode, 200)
	remove()
	assert.Equal(t, len(h.server.unanswered.bytes), 1)
}
