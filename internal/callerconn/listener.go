package callerconn

import (
	"net"
	"time"

	"github.com/carawaystile/carawaystile/bufferbudget"
)

const (
	// closingDivisor is the inverse of how many connections, as a fraction of the limit, may exist beyond it until they
	// are closed.
	closingDivisor = 4
	// acceptPause is the pause after which a listener with too many connections looks again, and acceptPauses how often
	// it does before it closes a new one.
	acceptPause  = 5 * time.Millisecond
	acceptPauses = 10
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

// Accept returns the next connection. While too many wait to be closed, it leaves new ones to the kernel for a moment.
func (l Listener) Accept() (net.Conn, error) {
	for {
		for range acceptPauses {
			if !l.connections.isFull() {
				break
			}
			time.Sleep(acceptPause)
		}
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.connections.isFull() {
			l.connections.count(reasonConnections)
			_ = accepted.Close()
			continue
		}
		return &conn{
			Conn: accepted, owner: l.connections, inHeader: true, first: true, waitingSince: time.Now(),
			holder: l.connections.options.Budget.Open("", bufferbudget.Header),
		}, nil
	}
}

// isFull reports whether there are more connections than the limit and those that are being closed.
func (l *Connections) isFull() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open) >= l.options.Max+l.options.Max/closingDivisor+1
}
