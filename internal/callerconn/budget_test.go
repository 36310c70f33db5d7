package callerconn

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/bufferbudget"
	"github.com/carawaystile/carawaystile/tables"
)

// budgetBytes has room for a header of some 100 short fields, since a quarter of it is for headers.
const budgetBytes = 4 * 100 * (headerFieldCost + 10*headerByteCost)

// newBudgetServer starts a server whose connections share a small budget.
func newBudgetServer(t *testing.T, limits Limits, handler http.HandlerFunc) (address string, l *Connections) {
	t.Helper()
	l = New(Options{
		Max: 20, Budget: bufferbudget.New(budgetBytes), Limits: func() Limits { return limits },
		Log: zap.NewNop(), Now: func() tables.Instant { return 0 },
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: handler, ConnState: l.Observe, MaxHeaderBytes: 1 << 20}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(l.Listen(listener)) }()
	return listener.Addr().String(), l
}

func done(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }

// unfinished returns the start of a request with short fields of different names.
func unfinished(fields int) string {
	var b strings.Builder
	b.WriteString("GET / HTTP/1.1\r\nHost: h.example\r\n")
	for i := range fields {
		fmt.Fprintf(&b, "a%d:\r\n", i)
	}
	return b.String()
}

// awaitHeld waits until the headers hold more than so many bytes.
func awaitHeld(t *testing.T, l *Connections, bytes int64) {
	t.Helper()
	for l.options.Budget.UsedBy(bufferbudget.Header) <= bytes {
		assert.NilError(t, t.Context().Err())
		time.Sleep(time.Millisecond)
	}
}

// Guards against an ordinary caller that is refused while unfinished headers use up the budget.
func TestLargeUnfinishedHeaderGivesWay(t *testing.T) {
	address, l := newBudgetServer(t, Limits{}, done)
	large := connect(t, address)
	_, err := io.WriteString(large.conn, unfinished(95))
	assert.NilError(t, err)
	awaitHeld(t, l, 90*headerFieldCost)
	small := connect(t, address)
	_, err = io.WriteString(small.conn, unfinished(30)+"\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(small.reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	_ = resp.Body.Close()
	_, err = large.reader.ReadByte()
	assert.Assert(t, err != nil)
}

// Guards against a request that is broken off because its header holds the most, and against a refusal that does not
// say that the request did not run.
func TestHeaderOfRunningRequestIsKept(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	address, l := newBudgetServer(t, Limits{}, func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		<-release
	})
	running, refused := connect(t, address), connect(t, address)
	_, err := io.WriteString(running.conn, unfinished(95)+"\r\n")
	assert.NilError(t, err)
	<-arrived
	_, err = io.WriteString(refused.conn, unfinished(30)+"\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(refused.reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, resp.Header.Get("Retry-After"), "1")
	_ = resp.Body.Close()
	close(release)
	resp, err = http.ReadResponse(running.reader, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	_ = resp.Body.Close()
	for l.options.Budget.UsedBy(bufferbudget.Header) > 0 {
		assert.NilError(t, t.Context().Err())
		time.Sleep(time.Millisecond)
	}
}

// Guards against a header that is read on beyond its limit, against a status that invites to send it again, and against a
// second response after that.
func TestHeaderBeyondTheLimitIsRefusedWhileItIsRead(t *testing.T) {
	address, _ := newBudgetServer(t, Limits{HeaderBytes: 1000}, done)
	for _, start := range []string{"GET /", "GET / HTTP/1.1\r\nHost: h.example\r\nA: "} {
		c := connect(t, address)
		_, err := io.WriteString(c.conn, start+strings.Repeat("x", 1000+MaxReadAhead))
		assert.NilError(t, err)
		responses, err := io.ReadAll(c.reader)
		assert.NilError(t, err)
		assert.Equal(t, string(responses), refusedTooLarge.response)
	}
}

// Guards against a caller that takes too long for the first line and is told that its request is malformed.
func TestHeaderThatTakesTooLongIsClosedWithoutResponse(t *testing.T) {
	address, _ := newBudgetServer(t, Limits{HeaderTimeout: 20 * time.Millisecond}, done)
	c := connect(t, address)
	_, err := io.WriteString(c.conn, "GET / HT")
	assert.NilError(t, err)
	responses, _ := io.ReadAll(c.reader)
	assert.Equal(t, string(responses), "")
}

// Guards against a connection whose next request arrived while the process did not run, and is dropped as idle.
func TestRequestThatArrivedBeforeTheDeadlineIsServed(t *testing.T) {
	server, client := net.Pipe()
	defer server.Close()
	l := New(Options{Max: 1, Log: zap.NewNop(), Now: func() tables.Instant { return 0 }})
	c := &conn{Conn: server, owner: l, inHeader: true, holder: l.newHolder()}
	assert.NilError(t, c.SetReadDeadline(time.Unix(1, 0)))
	go func() { _, _ = io.WriteString(client, "G") }()
	n := 0
	for range 1000 {
		c.lateRead = false
		if n, _ = c.Read(make([]byte, 1)); n > 0 {
			break
		}
	}
	assert.Equal(t, n, 1)
}

// Guards against a client that sends a header byte by byte, and so has more time than the operators grant.
func TestTimeForHeaderBeginsWithItsFirstByte(t *testing.T) {
	server, client := net.Pipe()
	defer server.Close()
	defer client.Close()
	l := New(Options{
		Max: 1, Log: zap.NewNop(), Now: func() tables.Instant { return 0 },
		Limits: func() Limits { return Limits{HeaderTimeout: time.Second, IdleTimeout: time.Minute} },
	})
	c := &conn{Conn: server, owner: l, inHeader: true, holder: l.newHolder()}
	c.awaitRequest()
	idleUntil := c.waitingSince.Add(time.Minute)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Hour)))
	assert.Assert(t, c.deadline.Equal(idleUntil))
	go func() { _, _ = io.WriteString(client, "G") }()
	_, err := c.Read(make([]byte, 1))
	assert.NilError(t, err)
	headerUntil := c.waitingSince.Add(time.Second)
	assert.Assert(t, c.deadline.Equal(headerUntil))
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(time.Hour)))
	assert.Assert(t, c.deadline.Equal(headerUntil))
	c.endHeader()
	assert.NilError(t, c.SetReadDeadline(time.Time{}))
	assert.Assert(t, c.deadline.IsZero())
}

// Guards against a request that fails since its header was complete when its connection was chosen to give way.
func TestConnectionAbortedAfterItsHeaderIsKept(t *testing.T) {
	server, client := net.Pipe()
	defer server.Close()
	defer client.Close()
	l := New(Options{Max: 1, Log: zap.NewNop(), Now: func() tables.Instant { return 0 }})
	c := &conn{Conn: server, owner: l, inHeader: true, first: true, holder: l.newHolder()}
	c.abort()
	c.endHeader()
	assert.NilError(t, c.SetReadDeadline(time.Time{}))
	go func() { _, _ = io.WriteString(client, "body") }()
	_, err := io.ReadFull(c, make([]byte, len("body")))
	assert.NilError(t, err)
	c.awaitRequest()
	assert.Assert(t, l.reserve(c, 1))
}

// Guards against a connection that was chosen to give way while it reads on, and has all others closed for itself.
func TestAbortedConnectionTakesNoRoomFromOthers(t *testing.T) {
	l := New(Options{Max: 2, Budget: bufferbudget.New(budgetBytes), Log: zap.NewNop(), Now: func() tables.Instant { return 0 }})
	open := func() *conn {
		server, client := net.Pipe()
		t.Cleanup(func() { _, _ = server.Close(), client.Close() })
		c := &conn{Conn: server, owner: l, inHeader: true, first: true, waitingSince: time.Now(), holder: l.newHolder()}
		l.Observe(c, http.StateNew)
		return c
	}
	other, aborted := open(), open()
	assert.Assert(t, l.reserve(other, 1000))
	l.mu.Lock()
	l.abort(aborted, reasonSlow)
	l.mu.Unlock()
	assert.Assert(t, !l.reserve(aborted, 1))
	assert.Assert(t, !other.isAborted())
}
