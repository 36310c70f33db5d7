package callerconn

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// callerTimeout ends a test in which a connection is neither served nor closed.
const callerTimeout = 30 * time.Second

// caller is a connection with one request at a time.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

// newLimitedServer starts a server with a limit. observed is called after the limit has observed a
// state of a connection; it may be nil.
func newLimitedServer(t *testing.T, limit int, handler http.HandlerFunc, observed func(http.ConnState)) (address string, l *Connections) {
	t.Helper()
	l = New(Options{Max: limit, Log: zap.NewNop(), Now: func() tables.Instant { return 0 }})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ConnState: func(conn net.Conn, state http.ConnState) {
		l.Observe(conn, state)
		if observed != nil {
			observed(state)
		}
	}}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(l.Listen(listener)) }()
	return listener.Addr().String(), l
}

func connect(t *testing.T, address string) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(callerTimeout)))
	return &caller{conn: conn, reader: bufio.NewReader(conn)}
}

// request sends a request and returns the status, 0 if there is no response.
func (c *caller) request() int {
	if _, err := fmt.Fprint(c.conn, "GET / HTTP/1.1\r\nHost: h.example\r\n\r\n"); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Guards against an instance whose memory or descriptors are used up by idle connections when most new connections go to it, and against new ones that it does not serve.
func TestNewConnectionsTakeThePlaceOfIdleOnes(t *testing.T) {
	const limit = 20
	idle := make(chan struct{}, 5*limit+1)
	address, l := newLimitedServer(t, limit, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }, func(state http.ConnState) {
		if state == http.StateIdle {
			idle <- struct{}{}
		}
	})
	var callers []*caller
	for range 5 * limit {
		c := connect(t, address)
		assert.Equal(t, c.request(), http.StatusOK)
		<-idle
		callers = append(callers, c)
	}
	for _, evicted := range callers[:4*limit] {
		_, err := evicted.reader.ReadByte()
		assert.Equal(t, err, io.EOF)
	}
	assert.Equal(t, callers[len(callers)-1].request(), http.StatusOK)
	l.mu.Lock()
	defer l.mu.Unlock()
	assert.Assert(t, len(l.open) <= limit+1, "%d connections", len(l.open))
}

// Guards against a request that is broken off to make room for a new connection.
func TestBusyConnectionsAreNotEvicted(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	address, _ := newLimitedServer(t, 2, func(http.ResponseWriter, *http.Request) {
		arrived <- struct{}{}
		<-release
	}, nil)
	statuses := make(chan int, 2)
	for range 2 {
		c := connect(t, address)
		go func() { statuses <- c.request() }()
		<-arrived
	}
	assert.Equal(t, connect(t, address).request(), 0)
	close(release)
	assert.Equal(t, <-statuses, http.StatusOK)
	assert.Equal(t, <-statuses, http.StatusOK)
}

// Guards against an evicted connection that stays open because the server sets the deadline of idle connections after the eviction.
func TestConnectionEvictedAsItBecomesIdleIsClosed(t *testing.T) {
	idle, evicted := make(chan struct{}), make(chan struct{})
	connections := 0
	address, _ := newLimitedServer(t, 1, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }, func(state http.ConnState) {
		switch state {
		case http.StateNew:
			if connections++; connections == 2 {
				close(evicted)
			}
		case http.StateIdle:
			close(idle)
			<-evicted
		}
	})
	first := connect(t, address)
	assert.Equal(t, first.request(), http.StatusOK)
	<-idle
	connect(t, address)
	_, err := first.reader.ReadByte()
	assert.Equal(t, err, io.EOF)
}
