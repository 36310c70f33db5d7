package scenario

import (
	"bytes"
	"context"
	"net"
	"sync"
)

type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// pause stops an instance just before its calls of services leave: the claim is
// made and its dispatch is recorded, but no byte has been sent.
type pause struct {
	inner dialer

	mu sync.Mutex
	// woken is closed when the calls may leave; nil means that none is held.
	woken chan struct{}
	// holds is closed once a call is held.
	holds   chan struct{}
	holding bool
}

func newPause(inner dialer) *pause {
	return &pause{inner: inner, holds: make(chan struct{})}
}

func (p *pause) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.woken, p.holds, p.holding = make(chan struct{}), make(chan struct{}), false
}

func (p *pause) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.woken != nil {
		close(p.woken)
		p.woken = nil
	}
}

// hold notes that a call waits, and returns nil if it need not.
func (p *pause) hold() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.woken != nil && !p.holding {
		p.holding = true
		close(p.holds)
	}
	return p.woken
}

func (p *pause) held() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holds
}

func (p *pause) dial(ctx context.Context, network, address string) (net.Conn, error) {
	inner, err := p.inner(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &pausable{Conn: inner, pause: p, closed: make(chan struct{})}, nil
}

// callStart begins every call of a plain service, and nothing else that an
// instance sends.
var callStart = []byte("POST /v1/call/")

// pausable is a connection on which calls can be held back.
type pausable struct {
	net.Conn
	pause   *pause
	closing sync.Once
	closed  chan struct{}
}

// Write waits while the instance is paused if a call begins here.
func (c *pausable) Write(b []byte) (int, error) {
	if bytes.HasPrefix(b, callStart) {
		if woken := c.pause.hold(); woken != nil {
			select {
			case <-woken:
			case <-c.closed:
				return 0, net.ErrClosed
			}
		}
	}
	return c.Conn.Write(b)
}

// Close ends the connection.
func (c *pausable) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
