package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// testRelay is an instance that relays connections, with the reason for which it does not.
type testRelay struct {
	server *Server
	http   *httptest.Server

	mu       sync.Mutex
	reason   Reason
	observed []int
	asked    int
}

func newTestRelay(t *testing.T, dial engine.DialFunc) *testRelay {
	t.Helper()
	r := &testRelay{}
	r.server = NewServer(ServerOptions{
		Admit: func(*fleet.Endpoint) Reason {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.asked++
			return r.reason
		},
		Dial: dial, MaxConnections: 2,
		ObserveResponse: func(_ tables.EndpointID, status int, _ http.Header) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.observed = append(r.observed, status)
		},
	})
	mux := http.NewServeMux()
	mux.Handle(Path, r.server)
	r.http = httptest.NewServer(mux)
	t.Cleanup(func() {
		r.server.Close()
		r.http.Close()
	})
	return r
}

func (r *testRelay) reject(reason Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reason = reason
}

// awaitNoConnections waits until the relay has released the connections that were closed.
func (r *testRelay) awaitNoConnections(t *testing.T) {
	t.Helper()
	open := func() int {
		r.server.mu.Lock()
		defer r.server.mu.Unlock()
		return r.server.count
	}
	for deadline := time.Now().Add(20 * time.Second); open() > 0; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Now().Before(deadline))
	}
}

func (r *testRelay) timesAsked() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asked
}

func (r *testRelay) observedStatuses() []int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]int(nil), r.observed...)
}

func (r *testRelay) address() netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(r.http.URL, "http://"))
}

// testDialer is a Dialer of zone "a" with an adjustable clock.
type testDialer struct {
	*Dialer
	now tables.Instant
}

func newTestDialer(instances ...Instance) *testDialer {
	d := &testDialer{now: time.Hour}
	d.Dialer = NewDialer(DialerOptions{
		Zone: "a", Instances: func() []Instance { return append([]Instance(nil), instances...) }, Dial: engine.DialTCP,
		Now: func() tables.Instant { return d.now },
	})
	return d
}

// startEndpoint starts an endpoint that serves each connection with a function.
func startEndpoint(t *testing.T, serve func(net.Conn)) *fleet.Endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return &fleet.Endpoint{ID: "e", Zone: "b", Address: netip.MustParseAddrPort(listener.Addr().String())}
}

const okHeader = "HTTP/1.1 200 OK\r\n\r\n"

// readRequest reads one request without a body.
func readRequest(conn net.Conn) { _, _ = http.ReadRequest(bufio.NewReader(conn)) }

// exchange sends a request over a connection and returns all that follows.
func exchange(t *testing.T, conn net.Conn) (string, error) {
	t.Helper()
	defer conn.Close()
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	answer, err := io.ReadAll(conn)
	return string(answer), err
}

func refuse(context.Context, netip.AddrPort) (net.Conn, error) {
	return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
}

// Guards against a response without a length that looks complete though the endpoint has reset its
// connection, or though the relay was stopped.
func TestBrokenResponseDoesNotLookComplete(t *testing.T) {
	finish := make(chan func(*net.TCPConn))
	e := startEndpoint(t, func(conn net.Conn) {
		readRequest(conn)
		_, _ = io.WriteString(conn, okHeader+"part")
		(<-finish)(conn.(*net.TCPConn))
	})
	for name, test := range map[string]struct {
		end      func(*testRelay)
		complete bool
	}{
		"closed": {func(*testRelay) { finish <- func(c *net.TCPConn) { _ = c.Close() } }, true},
		"reset": {func(*testRelay) {
			finish <- func(c *net.TCPConn) {
				_ = c.SetLinger(0)
				_ = c.Close()
			}
		}, false},
		"relay stopped": {func(r *testRelay) {
			r.server.Close()
			finish <- func(c *net.TCPConn) { _ = c.Close() }
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRelay(t, engine.DialTCP)
			conn, via, err := newTestDialer(Instance{ID: "r", Zone: "a", Address: r.address()}).Dial(t.Context(), e)
			assert.NilError(t, err)
			assert.Equal(t, via, tables.InstanceID("r"))
			_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			assert.NilError(t, err)
			got := make([]byte, len(okHeader)+len("part"))
			_, err = io.ReadFull(conn, got)
			assert.NilError(t, err)
			test.end(r)
			_, err = conn.Read(got)
			assert.Equal(t, errors.Is(err, io.EOF), test.complete, "%v", err)
		})
	}
}

// Guards against a part of a response that looks complete through a relay, since the reset of its connection has ended the upload first.
func TestResponseResetDuringItsUploadDoesNotLookComplete(t *testing.T) {
	e := startEndpoint(t, func(conn net.Conn) {
		_, _ = io.ReadFull(conn, make([]byte, 1<<10))
		_, _ = io.WriteString(conn, okHeader+"part")
		_, _ = io.ReadFull(conn, make([]byte, 256<<10))
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
	r := newTestRelay(t, engine.DialTCP)
	for range 50 {
		conn, _, err := newTestDialer(Instance{ID: "r", Zone: "a", Address: r.address()}).Dial(t.Context(), e)
		assert.NilError(t, err)
		uploaded := make(chan struct{})
		go func() {
			defer close(uploaded)
			_, _ = conn.Write(make([]byte, 32<<20))
		}()
		_, err = io.Copy(io.Discard, conn)
		assert.Assert(t, err != nil, "the response looks complete")
		_ = conn.Close()
		<-uploaded
		r.awaitNoConnections(t)
	}
}

// Guards against an endpoint that continues a request after its client has disconnected.
func TestEndOfTheRequestReachesTheEndpoint(t *testing.T) {
	ended := make(chan struct{})
	e := startEndpoint(t, func(conn net.Conn) {
		readRequest(conn)
		_, _ = io.WriteString(conn, okHeader)
		_, _ = io.Copy(io.Discard, conn)
		close(ended)
	})
	r := newTestRelay(t, engine.DialTCP)
	conn, _, err := newTestDialer(Instance{ID: "r", Address: r.address()}).Dial(t.Context(), e)
	assert.NilError(t, err)
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	assert.NilError(t, conn.Close())
	<-ended
}

// Guards against a back-off or an announced end that the endpoint addresses to the relay and the
// relay does not learn of.
func TestRelayObservesTheFinalResponse(t *testing.T) {
	e := startEndpoint(t, func(conn net.Conn) {
		readRequest(conn)
		for _, part := range []string{"HTTP/1.1 103 Early Hints\r\n\r", "\nHTTP/1.1 503 Service Unavailable\r\nRetry-After: 3\r", "\n\r\nHTTP/1.1 200 OK\r\n\r\n"} {
			_, _ = io.WriteString(conn, part)
			time.Sleep(time.Millisecond)
		}
		_ = conn.Close()
	})
	r := newTestRelay(t, engine.DialTCP)
	conn, _, err := newTestDialer(Instance{ID: "r", Address: r.address()}).Dial(t.Context(), e)
	assert.NilError(t, err)
	_, err = exchange(t, conn)
	assert.NilError(t, err)
	assert.DeepEqual(t, r.observedStatuses(), []int{503})
}

// Guards against a relay that learns of a back-off or a load from bytes that are not a response.
func TestRelayObservesNoMalformedResponse(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 999 A\r\n", "HTTP/2.0 503 A\r\n", "HTTP/1.1 503 A\r\nA b: c\r\n"} {
		e := startEndpoint(t, func(conn net.Conn) {
			readRequest(conn)
			_, _ = io.WriteString(conn, head+"Retry-After: 3\r\nContent-Length: 0\r\n\r\n")
			_ = conn.Close()
		})
		r := newTestRelay(t, engine.DialTCP)
		conn, _, err := newTestDialer(Instance{ID: "r", Address: r.address()}).Dial(t.Context(), e)
		assert.NilError(t, err)
		_, err = exchange(t, conn)
		assert.NilError(t, err)
		assert.Equal(t, len(r.observedStatuses()), 0, "%q", head)
	}
}

// Guards against a relay that its own clients or its operator need serving other instances.
func TestBusyAndDrainingRelaysRejectConnections(t *testing.T) {
	release := make(chan struct{})
	e := startEndpoint(t, func(conn net.Conn) {
		readRequest(conn)
		<-release
		_, _ = io.WriteString(conn, okHeader)
		_ = conn.Close()
	})
	r := newTestRelay(t, engine.DialTCP)
	at := Instance{ID: "r", Zone: "a", Address: r.address()}
	var open []net.Conn
	for range 2 {
		conn, _, err := newTestDialer(at).Dial(t.Context(), e)
		assert.NilError(t, err)
		open = append(open, conn)
	}
	expectRejected := func(reason Reason) {
		t.Helper()
		_, _, err := newTestDialer(at).Dial(t.Context(), e)
		var none *NoRelayError
		assert.Assert(t, errors.As(err, &none), "%v", err)
		assert.Equal(t, none.Last.Reason, reason)
	}
	expectRejected(Busy)
	drained := make(chan error, 1)
	go func() { drained <- r.server.Drain(t.Context()) }()
	for !isDraining(r.server) {
		time.Sleep(time.Millisecond)
	}
	expectRejected(Draining)
	close(release)
	for _, conn := range open {
		answer, err := exchange(t, conn)
		assert.NilError(t, err)
		assert.Equal(t, answer, okHeader)
	}
	assert.NilError(t, <-drained)
}

// Guards against an endpoint counting as gone because one relay has lost its link to it.
func TestSecondRelayMayReachWhatTheFirstDoesNot(t *testing.T) {
	e := startEndpoint(t, func(conn net.Conn) {
		readRequest(conn)
		_, _ = io.WriteString(conn, okHeader)
		_ = conn.Close()
	})
	near, far := newTestRelay(t, refuse), newTestRelay(t, engine.DialTCP)
	d := newTestDialer(Instance{ID: "near", Zone: "a", Address: near.address()}, Instance{ID: "far", Zone: "c", Address: far.address()})
	conn, via, err := d.Dial(t.Context(), e)
	assert.NilError(t, err)
	assert.Equal(t, via, tables.InstanceID("far"))
	_ = conn.Close()
	assert.Equal(t, near.timesAsked(), 1, "the own zone comes first")

	_, _, err = newTestDialer(Instance{ID: "near", Address: near.address()}, Instance{ID: "other", Address: near.address()}).Dial(t.Context(), e)
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
}

// Guards against a zone whose instances are all partitioned being asked again for each request.
func TestPartitionedRelaysAreBackedOff(t *testing.T) {
	e := startEndpoint(t, func(conn net.Conn) { _ = conn.Close() })
	relays := make([]*testRelay, 4)
	var instances []Instance
	for i := range relays {
		relays[i] = newTestRelay(t, engine.DialTCP)
		relays[i].reject(Partitioned)
		instances = append(instances, Instance{ID: tables.InstanceID(rune('a' + i)), Zone: "a", Address: relays[i].address()})
	}
	far := newTestRelay(t, engine.DialTCP)
	d := newTestDialer(append(instances, Instance{ID: "far", Zone: "c", Address: far.address()})...)
	asked := func() int {
		count := 0
		for _, r := range relays {
			count += r.timesAsked()
		}
		return count
	}
	for range 10 {
		conn, via, err := d.Dial(t.Context(), e)
		assert.NilError(t, err)
		assert.Equal(t, via, tables.InstanceID("far"))
		_ = conn.Close()
		far.awaitNoConnections(t)
	}
	assert.Equal(t, asked(), len(relays))
	relays[0].reject("")
	d.now += maxBackoff
	_, via, err := d.Dial(t.Context(), e)
	assert.NilError(t, err)
	assert.Assert(t, via == "a" || via == "far")
	d.Forget(func(tables.InstanceID) bool { return true })
	assert.Equal(t, len(d.backoffs), 0)
}

// Guards against two instances of a zone that has lost its links deciding that an endpoint is down.
func TestOneZoneDoesNotDecideThatAnEndpointIsDown(t *testing.T) {
	e := startEndpoint(t, func(conn net.Conn) { _ = conn.Close() })
	partitioned, connected := newTestRelay(t, refuse), newTestRelay(t, engine.DialTCP)
	d := newTestDialer(
		Instance{ID: "a1", Zone: "a", Address: partitioned.address()}, Instance{ID: "a2", Zone: "a", Address: partitioned.address()},
		Instance{ID: "b1", Zone: "b", Address: connected.address()},
	)
	conn, via, err := d.Dial(t.Context(), e)
	assert.NilError(t, err)
	assert.Equal(t, via, tables.InstanceID("b1"))
	assert.Equal(t, partitioned.timesAsked(), 1, "a verdict of another zone comes first")
	_ = conn.Close()
}

// Guards against giving up after a few partitioned instances where most are partitioned.
func TestRelayIsFoundAmongManyPartitionedInstances(t *testing.T) {
	e := startEndpoint(t, func(conn net.Conn) { _ = conn.Close() })
	partitioned, connected := newTestRelay(t, engine.DialTCP), newTestRelay(t, engine.DialTCP)
	partitioned.reject(Partitioned)
	instances := []Instance{{ID: "connected", Zone: "c", Address: connected.address()}}
	for i := range maxRejections - 1 {
		instances = append(instances, Instance{ID: tables.InstanceID(rune('a' + i)), Zone: "c", Address: partitioned.address()})
	}
	conn, via, err := newTestDialer(instances...).Dial(t.Context(), e)
	assert.NilError(t, err)
	assert.Equal(t, via, tables.InstanceID("connected"))
	_ = conn.Close()
}

// Guards against an instance of an older version, which does not relay, taking the request for
// something else, and against waiting for one that does not respond.
func TestInstanceThatDoesNotRelayIsNotUsed(t *testing.T) {
	old := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(old.Close)
	blackhole, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = blackhole.Close() })
	for _, at := range []string{strings.TrimPrefix(old.URL, "http://"), blackhole.Addr().String()} {
		d := newTestDialer(Instance{ID: "r", Zone: "a", Address: netip.MustParseAddrPort(at)})
		_, _, err := d.Dial(t.Context(), &fleet.Endpoint{ID: "e", Address: netip.MustParseAddrPort("127.0.0.1:1")})
		var none *NoRelayError
		assert.Assert(t, errors.As(err, &none), "%v", err)
		assert.Equal(t, none.Last.Reason, Unresponsive)
	}
}

func isDraining(s *Server) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}
