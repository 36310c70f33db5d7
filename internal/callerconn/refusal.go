package callerconn

import (
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/metrics"
)

const (
	// refusalTimeout bounds the time to write the response of a refusal.
	refusalTimeout = 50 * time.Millisecond
	// lingerTimeout and lingerBytes bound what is read after a refusal: a connection that is closed with unread
	// bytes is reset, which may discard the response. maxLingering is how many connections of a listener do
	// that at once.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 32 << 10
	maxLingering  = 32
)

// refusal is why a header is not read on, and the response to it.
type refusal struct{ reason, response string }

var (
	refusedTooLarge = &refusal{
		reason:   "too_large",
		response: "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	}
	refusedNoRoom = &refusal{
		reason:   "no_room",
		response: "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
	}
)

// Reasons for which connections are closed without a response.
const (
	reasonSlow        = "slow"
	reasonConnections = "connections"
)

// refusedError means that a header was refused. It is a timeout for net/http, which then closes the
// connection without a response of its own.
type refusedError struct{ reason string }

var _ net.Error = (*refusedError)(nil)

// Error returns the reason.
func (e *refusedError) Error() string { return "the request header was refused: " + e.reason }

// Timeout implements net.Error.
func (e *refusedError) Timeout() bool { return true }

// Temporary implements net.Error.
func (e *refusedError) Temporary() bool { return false }

// refuse answers a request whose header is not read on, and waits for the peer to read that. buffer is
// overwritten.
func (l *Connections) refuse(c *conn, r *refusal, buffer []byte) {
	l.count(r.reason)
	if err := c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout)); err != nil {
		return // the connection is closed
	}
	if _, err := c.Conn.Write([]byte(r.response)); err != nil {
		return
	}
	if l.lingering.Add(1) <= maxLingering {
		linger(c, buffer)
	}
	l.lingering.Add(-1)
}

// linger reads until the peer closes the connection.
func linger(c *conn, buffer []byte) {
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	for read := 0; read < lingerBytes; {
		n, err := c.Conn.Read(buffer)
		if err != nil {
			return
		}
		read += n
	}
}

// count counts a refused header or a closed connection. It logs them at most once in logInterval.
func (l *Connections) count(reason string) {
	if l.options.Registry != nil {
		l.options.Registry.Counter("carawaystile_connections_refused_total", "Connections that were closed to bound what clients hold, by listener and reason.",
			metrics.Label{Name: "listener", Value: l.options.Name}, metrics.Label{Name: "reason", Value: reason}).Inc(1)
	}
	l.logMu.Lock()
	defer l.logMu.Unlock()
	l.refused[reason]++
	now := l.options.Now()
	if now-l.refusalsLoggedAt < logInterval {
		return
	}
	l.refusalsLoggedAt = now
	events.HeadersRefused.Log(l.options.Log, zap.String("listener", l.options.Name), zap.Any("refused", l.refused))
	clear(l.refused)
}
