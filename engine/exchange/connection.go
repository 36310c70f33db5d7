package exchange

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/internal/resetconn"
)

// connection is one TCP connection to an endpoint. It carries one request at a time and
// is used by one goroutine.
type connection struct {
	net.Conn
	// dialed is the connection below Conn.
	dialed net.Conn
	to     netip.AddrPort
	reader *bufio.Reader
	source *headerSource
	// reused is set once the connection has carried a request, and unpooled if it carries only
	// one.
	reused, unpooled bool
	// idleUntil is when the endpoint may close the idle connection, and idleSince when it
	// became idle.
	idleUntil time.Time
	idleSince time.Time
}

const (
	// readBufferBytes is enough for the header of a response and for most events.
	readBufferBytes = 4 << 10
	// defaultIdleTimeout is the idle timeout of a connection whose endpoint sends none in
	// its Keep-Alive header. idleTimeoutMargin is subtracted from a timeout that the
	// endpoint sends, so that no request is sent just as the endpoint closes the
	// connection.
	defaultIdleTimeout = 5 * time.Second
	idleTimeoutMargin  = 500 * time.Millisecond
	// maxIdlePerEndpoint limits the idle connections of one instance to one endpoint: the
	// endpoints' connection limits are shared by all instances.
	maxIdlePerEndpoint = 8
)

// pool is a connection pool: it holds the idle connections of each endpoint and reuses
// the newest first. It is safe for concurrent use.
type pool struct {
	dial engine.DialFunc
	mu   sync.Mutex
	idle map[netip.AddrPort][]*connection
}

// get returns an idle connection that can be reused, or nil if there is none. If maxIdle
// is not zero, it closes connections that have been idle for longer.
//
// An endpoint may close an idle connection at any time, or send a second response to an
// earlier request on it. A request on such a connection is lost or gets the wrong
// response, and a request that must run at most once cannot be retried then. So get
// checks each connection just before its use.
func (p *pool) get(to netip.AddrPort, maxIdle time.Duration) *connection {
	for {
		c := p.popNewest(to)
		if c == nil {
			return nil
		}
		now := time.Now()
		idleTooLong := maxIdle > 0 && now.Sub(c.idleSince) > maxIdle
		if !idleTooLong && now.Before(c.idleUntil) && c.isReusable() {
			return c
		}
		_ = c.Close()
	}
}

// popNewest removes and returns the connection that became idle last.
func (p *pool) popNewest(to netip.AddrPort) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[to]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	p.idle[to] = idle[:len(idle)-1]
	return c
}

// put returns a connection to the pool for at most the given idle timeout.
func (p *pool) put(c *connection, timeout time.Duration) {
	now := time.Now()
	c.reused = true
	c.idleSince = now
	c.idleUntil = now.Add(timeout)
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if timeout <= 0 || len(p.idle[c.to]) >= maxIdlePerEndpoint {
		_ = c.Close()
		return
	}
	p.idle[c.to] = append(p.idle[c.to], c)
}

// closeAll closes the idle connections to an endpoint.
func (p *pool) closeAll(to netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[to] {
		_ = c.Close()
	}
	delete(p.idle, to)
}

// closeExpired closes the connections whose idle timeout has passed.
func (p *pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for to, idle := range p.idle {
		unexpired := idle[:0]
		for _, c := range idle {
			if now.Before(c.idleUntil) {
				unexpired = append(unexpired, c)
				continue
			}
			_ = c.Close()
		}
		if len(unexpired) == 0 {
			delete(p.idle, to)
			continue
		}
		p.idle[to] = unexpired
	}
}

func newConnection(conn net.Conn, to netip.AddrPort) *connection {
	kept := resetconn.New(conn)
	source := &headerSource{Conn: kept}
	return &connection{Conn: kept, dialed: conn, to: to, source: source, reader: bufio.NewReaderSize(source, readBufferBytes)}
}

// consumed returns how many of the bytes received on the connection were used for responses.
func (c *connection) consumed() int64 { return c.source.received - int64(c.reader.Buffered()) }

// isReusable reports whether the connection is open and nothing has arrived on it since
// the last response. It peeks into the receive buffer of the socket without blocking.
func (c *connection) isReusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.dialed.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var one [1]byte
	err = control.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// idleTimeout returns how long the connection may stay idle according to the Keep-Alive
// header.
func idleTimeout(header http.Header) time.Duration {
	for _, line := range header["Keep-Alive"] {
		for item := range strings.SplitSeq(line, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
			seconds, err := strconv.Atoi(value)
			if strings.EqualFold(name, "timeout") && err == nil {
				return time.Duration(seconds)*time.Second - idleTimeoutMargin
			}
		}
	}
	return defaultIdleTimeout
}
