// Package loopback chooses loopback addresses for instances that run within one
// process, for tests and the demo.
package loopback

import (
	"net"
	"net/netip"
	"sync"
)

// Ports holds the listeners of an instance from the choice of its addresses
// until its first start, so that nobody else takes them. The zero value is
// ready to use.
type Ports struct {
	mu   sync.Mutex
	held map[netip.AddrPort]net.Listener
}

// Reserve listens on a free port.
func (p *Ports) Reserve() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	at := listener.Addr().(*net.TCPAddr).AddrPort()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held == nil {
		p.held = make(map[netip.AddrPort]net.Listener)
	}
	p.held[at] = listener
	return at, nil
}

// Listen gives up the listener that is held at an address, or opens one.
func (p *Ports) Listen(at netip.AddrPort) (net.Listener, error) {
	p.mu.Lock()
	listener := p.held[at]
	delete(p.held, at)
	p.mu.Unlock()
	if listener != nil {
		return listener, nil
	}
	return net.Listen("tcp", at.String())
}

// Close closes the listeners that are still held.
func (p *Ports) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, listener := range p.held {
		_ = listener.Close()
	}
}
