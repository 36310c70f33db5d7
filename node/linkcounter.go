package node

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync/atomic"

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
		return &countedConn{TCPConn: tcp, counter: c}
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

// countedConn is a TCP connection whose bytes are counted. ReadFrom and WriteTo copy through
// Write and Read, so that the bytes of a long copy are counted while it lasts.
type countedConn struct {
	*net.TCPConn
	counter *linkCounter
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	c.counter.received.Add(uint64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	c.counter.sent.Add(uint64(n))
	return n, err
}

func (c *countedConn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

func (c *countedConn) WriteTo(w io.Writer) (int64, error) {
	return io.Copy(w, struct{ io.Reader }{c})
}
