package node

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"

	"github.com/carawaystile/carawaystile/engine"
)

// linkCounter counts the bytes that TCP connections have sent and received.
type linkCounter struct{ sent, received atomic.Uint64 }

// dial returns a DialFunc whose connections are counted.
func (c *linkCounter) dial(dial engine.DialFunc) engine.DialFunc {
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		conn, err := dial(ctx, to)
		if err != nil {
			return nil, err
		}
		return c.count(conn), nil
	}
}

// count returns a counted connection. A connection that is not a TCP connection is returned as it
// is.
func (c *linkCounter) count(conn net.Conn) net.Conn {
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &countedConn{Conn: tcp, tcp: tcp, counter: c}
	}
	return conn
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	counter *linkCounter
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counter.count(conn), nil
}

// maxCountedWrite is the size of the pieces in which a long write is made, in bytes. A body that
// takes seconds to send would count as sent at its end otherwise.
const maxCountedWrite = 64 << 10

// countedConn is a TCP connection whose bytes are counted. It embeds an interface, because the
// methods of *net.TCPConn include ways to send and receive past Write and Read, also those that
// net.Buffers uses.
type countedConn struct {
	net.Conn
	tcp     *net.TCPConn
	counter *linkCounter
}

// SyscallConn gives access to the socket.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) { return c.tcp.SyscallConn() }

// CloseWrite ends the sending direction, as http.Server does before it closes a connection.
func (c *countedConn) CloseWrite() error { return c.tcp.CloseWrite() }

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.received.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (written int, err error) {
	for {
		n, err := c.Conn.Write(p[written:min(len(p), written+maxCountedWrite)])
		c.counter.sent.Add(uint64(n))
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}
