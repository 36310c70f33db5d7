package callerconn

import (
	"net"
	"time"

	"github.com/carawaystile/carawaystile/bufferbudget"
)

const (
	// leavingDivisor is the inverse of how many connections beyond the limit, as a fraction of it, there may be while
	// some are being closed.
	leavingDivisor = 8
	// acceptPause is the pause after which a listener that waits for connections to close looks again, and
	// acceptTimeout how long it does so at most. net/http closes one half a second after its last response.
	acceptPause   = 5 * time.Millisecond
	acceptTimeout = time.Second
)

// Listener accepts connections that Connections observes.
type Listener struct {
	net.Listener
	connections *Connections
}

// Listen returns a listener whose connections are those of l.
func (l *Connections) Listen(listener net.Listener) Listener {
	return Listener{Listener: listener, connections: l}
}

// Accept returns the next connection. While too many are being closed, it leaves new ones to the kernel.
func (l Listener) Accept() (net.Conn, error) {
	for end := time.Now().Add(acceptTimeout); l.connections.awaitsClosing() && time.Now().Before(end); {
		time.Sleep(acceptPause)
	}
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{
		Conn: accepted, owner: l.connections, inHeader: true, first: true, waitingSince: time.Now(),
		holder: l.connections.newHolder(),
	}
	_ = c.SetReadDeadline(time.Time{}) // fails only if the connection is closed
	return c, nil
}

// newHolder returns a holder for the headers of a connection.
func (l *Connections) newHolder() *bufferbudget.Holder {
	return l.options.Budget.Open("", bufferbudget.Header)
}

// awaitsClosing reports whether there are too many connections, of which some are being closed.
func (l *Connections) awaitsClosing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.leaving) > 0 && len(l.open) >= l.options.Max+l.options.Max/leavingDivisor
}
