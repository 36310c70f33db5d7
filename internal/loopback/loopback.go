// Package loopback reserves loopback ports for instances that run within one
// process, in tests and in the demo.
package loopback

import (
	"net"
	"net/netip"
	"sync"
)

// Ports keeps a listener open on each reserved port from the choice of an instance's
// addresses until its first start, so that no other process can bind the port. The
// zero value is ready to use. It is safe for concurrent use.
type Ports struct {
	mu       sync.Mutex
	reserved map[netip.AddrPort]net.Listener
}

// Reserve listens on a free loopback port and returns its address.
func (p *Ports) Reserve() (netip.AddrPort, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	at := listener.Addr().(*net.TCPAddr).AddrPort()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reserved == nil {
		p.reserved = make(map[netip.AddrPort]net.Listener)
	}
	p.reserved[at] = listener
	return at, nil
}

// Listen hands over the listener reserved for an address, or opens a new one if the
// reservation was already used.
func (p *Ports) Listen(at netip.AddrPort) (net.Listener, error) {
	p.mu.Lock()
	listener := p.reserved[at]
	delete(p.reserved, at)
	p.mu.Unlock()
	if listener != nil {
		return listener, nil
	}
	return net.Listen("tcp", at.String())
}

// Close closes the listeners of reservations that were not used.
func (p *Ports) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, listener := range p.reserved {
		_ = listener.Close()
	}
}
