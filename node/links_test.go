package node

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"

	"github.com/carawaystile/carawaystile/engine"
)

// partitionMode is how an instance's links to all endpoints fail.
type partitionMode int

const (
	// connected links work.
	connected partitionMode = iota
	// hanging drops everything silently, on open connections too.
	hanging
	// resetting resets open connections and refuses new ones.
	resetting
	// refusingNew refuses new connections while open ones go on.
	refusingNew
)

func (m partitionMode) String() string {
	return [...]string{"connected", "hanging", "resetting", "refusing new connections"}[m]
}

// endpointLinks are one instance's links to the endpoints. They are safe for concurrent use.
type endpointLinks struct {
	dial        engine.DialFunc
	isEndpoint  func(netip.AddrPort) bool
	mu          sync.Mutex
	mode        partitionMode
	changed     chan struct{}
	connections map[*linkConn]bool
}

func newEndpointLinks(source netip.Addr, isEndpoint func(netip.AddrPort) bool) *endpointLinks {
	return &endpointLinks{dial: engine.DialFrom(source), isEndpoint: isEndpoint, changed: make(chan struct{}), connections: map[*linkConn]bool{}}
}

// setMode changes the state of all links.
func (l *endpointLinks) setMode(mode partitionMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	close(l.changed)
	l.changed = make(chan struct{})
	if mode != resetting {
		return
	}
	for c := range l.connections {
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		_ = c.Conn.Close()
	}
}

func (l *endpointLinks) state() (partitionMode, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.mode, l.changed
}

// Dial opens a connection; those to other instances never fail.
func (l *endpointLinks) Dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	if !l.isEndpoint(to) {
		return l.dial(ctx, to)
	}
	switch mode, _ := l.state(); mode {
	case hanging:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	case resetting, refusingNew:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	conn, err := l.dial(ctx, to)
	if err != nil {
		return nil, err
	}
	c := &linkConn{Conn: conn, links: l, closed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections[c] = true
	return c, nil
}

// linkConn is a connection to an endpoint. While its links hang, it receives nothing and
// drops what is sent.
type linkConn struct {
	net.Conn
	links     *endpointLinks
	closeOnce sync.Once
	closed    chan struct{}
}

func (c *linkConn) Write(p []byte) (int, error) {
	if mode, _ := c.links.state(); mode == hanging {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return n, err
	}
	for {
		mode, changed := c.links.state()
		if mode != hanging {
			return n, err
		}
		select {
		case <-changed:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
}

func (c *linkConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.links.mu.Lock()
		defer c.links.mu.Unlock()
		delete(c.links.connections, c)
	})
	return c.Conn.Close()
}
