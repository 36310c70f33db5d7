package forward

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// maxUnsentBytes bounds what the kernel takes of a buffered response beyond what the client's
// receive window admits. Without a bound the kernel reports room only once a third of its send
// buffer is free, for which a client of 1 KB/s takes longer than eventWriteTimeout.
const maxUnsentBytes = 4 << 10

// connKey is the context key of a client's connection.
type connKey struct{}

// WithConn returns a context with the client's connection. It is the ConnContext of the
// http.Server that serves clients.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// limitUnsent bounds the unsent bytes in the send buffer of the client's connection until reset is
// called. It does nothing if the connection is unknown.
func (c *clientRequest) limitUnsent() (reset func()) {
	conn, ok := c.r.Context().Value(connKey{}).(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return func() {}
	}
	set := func(bytes int) {
		// A connection that cannot be changed is closed, or has no such option.
		_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, bytes) })
	}
	set(maxUnsentBytes)
	return func() { set(0) } // 0 stands for the default of the system
}
