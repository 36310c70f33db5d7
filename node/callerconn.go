package node

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// tcpConn has the methods of *net.TCPConn that the server and forward use.
type tcpConn interface {
	net.Conn
	SyscallConn() (syscall.RawConn, error)
	CloseWrite() error
}

// callerConn is a connection of a caller that can be evicted. An eviction is a read deadline in the
// past, which ends a read of the next request only if nothing of it has arrived. The server sets the
// deadline of a connection after it has reported it as idle; while the connection is evicted that
// has no effect. It is safe for concurrent use.
type callerConn struct {
	tcpConn

	mu       sync.Mutex
	evicted  bool
	deadline time.Time
}

// SetReadDeadline sets the read deadline, or the one after the eviction if the connection is evicted.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	if c.evicted {
		return nil
	}
	return c.tcpConn.SetReadDeadline(deadline)
}

// evict ends the wait for the next request. Setting a deadline fails only if the connection is
// closed.
func (c *callerConn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	_ = c.tcpConn.SetReadDeadline(time.Unix(1, 0))
}

// endEviction keeps a connection whose next request had arrived before it was evicted.
func (c *callerConn) endEviction() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		c.evicted = false
		_ = c.tcpConn.SetReadDeadline(c.deadline)
	}
}

// callerListener accepts connections that can be evicted.
type callerListener struct{ net.Listener }

func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(tcpConn); ok {
		return &callerConn{tcpConn: tcp}, nil
	}
	return conn, nil
}
