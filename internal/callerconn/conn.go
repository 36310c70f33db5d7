// Package callerconn bounds what the connections of a listener hold: their number, the time and the memory
// that the headers of requests take, and the time for which they are idle. It closes connections without
// dropping a request that has begun to arrive in time.
//
// net/http reads a header whole before a handler runs, so the connections of a Listener see its bytes first.
// The states that http.Server reports tell when a header may begin, and the first empty line where it ends:
// no length of a body is interpreted here, and net/http alone decides where a request ends.
package callerconn

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/carawaystile/carawaystile/bufferbudget"
)

// lastReadTimeout is the time to read what has arrived while the process did not run, after a deadline.
const lastReadTimeout = 5 * time.Millisecond

// conn is a connection that can be evicted. An eviction is a read deadline in the past, which ends the
// wait for the next request or the read of its header. The server sets the deadline of a connection after it
// has reported it as idle; while the connection is evicted that has no effect. It is safe for concurrent use.
type conn struct {
	net.Conn
	owner *Connections
	// holder accounts for the header until the response to its request has ended.
	holder *bufferbudget.Holder
	// silenced is set once nothing more is written: net/http takes a part of a first line for a malformed request, and
	// would answer it with 400, which callers do not send again.
	silenced atomic.Bool

	mu sync.Mutex
	// inHeader is set while the server waits for a request or reads its header, receiving once something was
	// read since then, and first until the first request was read.
	inHeader, receiving, first bool
	// evicted is set while the wait for a request is to end, and aborted once no header is read on.
	evicted, aborted bool
	// lateRead is set once the deadline of the current header was extended for what had arrived.
	lateRead bool
	deadline time.Time
	// waitingSince is when the server began to wait for the request, or its first byte was read.
	waitingSince time.Time
	header       headerScan
	// pipelined is set once bytes after a header were read, which may be those of the next one.
	pipelined bool
}

// Read reads from the connection, and keeps it if it is being evicted and something has arrived.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.allowLateRead() {
		n, err = c.Conn.Read(p)
	}
	if n == 0 {
		if errors.Is(err, os.ErrDeadlineExceeded) && c.isInHeader() {
			c.silenced.Store(true)
		}
		return 0, err
	}
	if c.endEviction() {
		c.owner.beginHeader(c)
	}
	if r := c.admit(p[:n]); r != nil {
		c.silenced.Store(true)
		c.owner.refuse(c, r, p)
		return 0, &refusedError{reason: r.reason}
	}
	return n, err
}

// Write writes to the connection, unless its header was refused or has not come in time.
func (c *conn) Write(p []byte) (int, error) {
	if c.silenced.Load() {
		return 0, &silencedError{}
	}
	return c.Conn.Write(p)
}

// silencedError means that a connection is closed without a response of net/http.
type silencedError struct{}

func (*silencedError) Error() string { return "the connection is closed without a response" }

// isInHeader reports whether the server waits for a request or reads its header.
func (c *conn) isInHeader() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.inHeader
}

// allowLateRead gives a header whose deadline has passed a moment for what arrived while the process did not run.
func (c *conn) allowLateRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHeader || c.evicted || c.aborted || c.lateRead {
		return false
	}
	c.lateRead = true
	return c.Conn.SetReadDeadline(time.Now().Add(lastReadTimeout)) == nil
}

// admit reserves the memory of bytes that were read. It returns why they are refused, or nil.
func (c *conn) admit(p []byte) *refusal {
	cost, r := c.scan(p)
	if r == nil && cost > 0 && !c.owner.reserve(c, cost) {
		r = refusedNoRoom
	}
	return r
}

// scan follows a header, and returns the memory of its next bytes.
func (c *conn) scan(p []byte) (cost int64, r *refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHeader || c.header.ended {
		c.pipelined = true
		return 0, nil
	}
	if c.aborted {
		return 0, refusedNoRoom
	}
	before := c.header.bytes
	cost = c.header.add(p)
	c.pipelined = c.pipelined || c.header.bytes-before < len(p)
	if limit := c.owner.options.limits().HeaderBytes; limit > 0 && c.header.bytes > limit+MaxReadAhead {
		return 0, refusedTooLarge
	}
	return cost, nil
}

// HeaderBytes returns the size of the header of the current request as it was sent; false if that is not known,
// since a part of it may have been read with the request before.
func (c *conn) HeaderBytes() (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.header.bytes, c.header.ended && (c.first || !c.pipelined)
}

// SetReadDeadline sets the read deadline, or the one after the eviction if the connection is evicted. While a
// request is awaited or its header read, the limits of the listener apply if they are earlier.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = c.boundDeadline(deadline)
	if c.evicted || c.aborted {
		return nil
	}
	return c.Conn.SetReadDeadline(c.deadline)
}

// boundDeadline returns the earlier of a deadline and that of the listener's limits. The caller holds the mutex.
func (c *conn) boundDeadline(deadline time.Time) time.Time {
	if !c.inHeader {
		return deadline
	}
	limits := c.owner.options.limits()
	timeout := limits.IdleTimeout
	if c.receiving || c.first {
		timeout = limits.HeaderTimeout
	}
	if end := c.waitingSince.Add(timeout); timeout > 0 && (deadline.IsZero() || end.Before(deadline)) {
		return end
	}
	return deadline
}

// evict ends the wait for the next request, unless a part of that has been read. Setting a deadline
// fails only if the connection is closed.
func (c *conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receiving {
		return
	}
	c.evicted = true
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// abort ends the read of a header and gives back what it holds.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inHeader {
		return
	}
	c.aborted = true
	c.holder.Close()
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// isAborted reports whether no header is read on.
func (c *conn) isAborted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.aborted
}

// awaitRequest records that the next request has not begun to arrive.
func (c *conn) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHeader, c.receiving, c.first, c.lateRead = true, false, false, false
	c.header = headerScan{}
	c.waitingSince = time.Now()
	c.holder.Release(c.holder.Bytes())
}

// endHeader records that a header was read. It keeps a connection that was aborted just before.
func (c *conn) endHeader() {
	c.endEviction()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inHeader = false
	if c.aborted {
		c.aborted = false
		c.holder = c.owner.newHolder()
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
}

// endEviction keeps a connection on which a request has begun to arrive. It reports whether this is the first
// part of a request on a connection that was idle.
func (c *conn) endEviction() (wasIdle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasIdle = c.inHeader && !c.receiving && !c.first
	c.receiving = true
	if wasIdle {
		c.waitingSince = time.Now()
		c.deadline = c.boundDeadline(c.deadline)
	}
	if (c.evicted || wasIdle) && !c.aborted {
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
	c.evicted = false
	return wasIdle
}

// waitsSince returns when the server began to wait for the request, or its first byte was read.
func (c *conn) waitsSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waitingSince
}

// SyscallConn returns the raw connection, for which the kernel knows the bytes that are not sent yet.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, &UnsupportedError{Operation: "SyscallConn"}
}

// CloseWrite ends what is sent, while the peer's bytes can still be read.
func (c *conn) CloseWrite() error {
	c.owner.endWrites(c)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return &UnsupportedError{Operation: "CloseWrite"}
}

// UnsupportedError means that the connection of a listener does not have an operation.
type UnsupportedError struct{ Operation string }

// Error returns the operation.
func (e *UnsupportedError) Error() string { return e.Operation + " is not supported by the connection" }
