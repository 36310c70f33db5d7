package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/tables"
)

// testBound bounds what a test waits for. It is longer than a stall of a busy machine.
const testBound = time.Minute

// startingServer is a Server with Options.StartupWait that has no configuration yet.
type startingServer struct {
	*harness
	registry *metrics.Registry
	clock    atomic.Int64
	// all are the endpoints of the harness, which the server does not know yet.
	all map[tables.EndpointID]fleet.Endpoint
}

func newStartingServer(t *testing.T) *startingServer {
	t.Helper()
	s := &startingServer{registry: metrics.NewRegistry()}
	s.harness = newHarness(t, respond(http.StatusOK, "done"))
	s.all = s.server.Endpoints()
	options := s.server.options
	options.Now = func() tables.Instant { return tables.Instant(s.clock.Load()) }
	options.Registry, options.StartupWait = s.registry, true
	s.server = New(options)
	s.server.startupTimeout = testBound
	server := httptest.NewUnstartedServer(s.server)
	server.Config.ConnContext = WithConn
	server.Start()
	t.Cleanup(server.Close)
	s.url = server.URL
	return s
}

// open sends the header of a request whose body follows later.
func (s *startingServer) open(t *testing.T, headers string) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", strings.TrimPrefix(s.url, "http://"))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\nContent-Length: 4\r\n"+headers+"\r\n")
	assert.NilError(t, err)
	return conn
}

// awaitWaits waits until at least n requests wait.
func (s *startingServer) awaitWaits(t *testing.T, n int64) {
	t.Helper()
	await(t, func() bool { return s.server.startupWaits.Load() >= n })
}

// await waits until the condition holds, for at most testBound.
func await(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testBound); !condition(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "the condition does not hold after %v", testBound)
	}
}

// statusOf sends the body, which net/http reads before it responds, and returns the response's status.
func statusOf(t *testing.T, conn net.Conn) int {
	t.Helper()
	_, err := io.WriteString(conn, "body")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (s *startingServer) ended(t *testing.T, end startupWaitEnd) bool {
	t.Helper()
	var text strings.Builder
	assert.NilError(t, s.registry.WriteText(&text))
	return strings.Contains(text.String(), `carawaystile_startup_waits_total{end="`+string(end)+`"}`)
}

// Guards against rejections between the opening of the listener and the first configuration, and
// against a request whose deadline counts from the end of its wait.
func TestRequestWaitsForFirstConfiguration(t *testing.T) {
	for name, waited := range map[string]time.Duration{"served": 0, "late": 6 * time.Second} {
		t.Run(name, func(t *testing.T) {
			s := newStartingServer(t)
			conn := s.open(t, "X-Deadline: 5000\r\n")
			s.awaitWaits(t, 1)
			s.clock.Store(int64(waited))
			s.server.SetEndpoints(s.all)
			s.configure(t, initialRevision, nil)
			assert.Equal(t, statusOf(t, conn) == http.StatusOK, waited == 0)
			assert.Assert(t, s.ended(t, startupWaitInitialized))
		})
	}
}

// Load: 64 requests while no control instance answers. Guards against a further request that
// waits too.
func TestStartupWaitsAreBounded(t *testing.T) {
	s := newStartingServer(t)
	for range maxStartupWaits {
		s.open(t, "")
	}
	s.awaitWaits(t, maxStartupWaits)
	assert.Equal(t, statusOf(t, s.open(t, "")), http.StatusServiceUnavailable)
	assert.Assert(t, s.ended(t, startupWaitFull))
}

// Load: 64 requests while no control instance answers. Guards against requests that wait for ever.
func TestStartupWaitExpires(t *testing.T) {
	s := newStartingServer(t)
	s.server.startupTimeout = startupTimeout
	var waiting []net.Conn
	for range maxStartupWaits {
		waiting = append(waiting, s.open(t, ""))
	}
	for _, conn := range waiting {
		assert.Equal(t, statusOf(t, conn), http.StatusServiceUnavailable)
	}
	assert.Assert(t, s.ended(t, startupWaitTimeout))
	assert.Assert(t, !s.ended(t, startupWaitFull))
}

// Guards against requests that occupy a place after their client has left, with an unread body, or
// while the instance stops.
func TestStartupWaitEndsEarly(t *testing.T) {
	s := newStartingServer(t)
	assert.NilError(t, s.open(t, "").Close())
	await(t, func() bool { return s.ended(t, startupWaitDisconnected) })
	assert.Assert(t, !s.ended(t, startupWaitTimeout))
	conn := s.open(t, "")
	s.awaitWaits(t, 1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_ = s.server.Drain(ctx)
	assert.Equal(t, statusOf(t, conn), http.StatusServiceUnavailable)
	assert.Assert(t, s.ended(t, startupWaitStopping))
}
