// Package partition cuts availability zones off from each other within one
// process, for tests and the demo.
package partition

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/carawaystile/carawaystile/tables"
)

// Network knows which zone each address is in and which zones are cut off. A
// cut is silent: what is sent into it is lost and nobody is told, as in a
// partition without resets.
type Network struct {
	mu    sync.Mutex
	zones map[string]tables.Zone
	// isolated is the zone that is cut off, empty if none.
	isolated tables.Zone
	// healed is closed when the cut ends.
	healed chan struct{}
}

// New returns a network in which every zone reaches every other.
func New() *Network {
	return &Network{zones: make(map[string]tables.Zone)}
}

// SetZone notes the zone of an address.
func (n *Network) SetZone(address string, zone tables.Zone) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[address] = zone
}

// Isolate isolates a zone from all others.
func (n *Network) Isolate(zone tables.Zone) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = zone
	n.healed = make(chan struct{})
}

// Heal ends the cut.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolated != "" {
		n.isolated = ""
		close(n.healed)
	}
}

// blocked returns nil if two zones reach each other, or a channel that is
// closed when they may do so again.
func (n *Network) blocked(a, b tables.Zone) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolated == "" || a == b || a != n.isolated && b != n.isolated {
		return nil
	}
	return n.healed
}

// Reaches says whether datagrams sent from a zone arrive at an address.
func (n *Network) Reaches(from tables.Zone) func(to netip.AddrPort) bool {
	return func(to netip.AddrPort) bool {
		n.mu.Lock()
		zone := n.zones[to.String()]
		n.mu.Unlock()
		return n.blocked(from, zone) == nil
	}
}

// Dialer opens connections from a zone.
func (n *Network) Dialer(from tables.Zone) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, protocol, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.zones[address]
		n.mu.Unlock()
		if healed := n.blocked(from, to); healed != nil {
			select {
			case <-healed:
			case <-ctx.Done():
				return nil, &net.OpError{Op: "dial", Net: protocol, Err: ctx.Err()}
			}
		}
		inner, err := new(net.Dialer).DialContext(ctx, protocol, address)
		if err != nil {
			return nil, err
		}
		return &cuttable{Conn: inner, network: n, from: from, to: to, closed: make(chan struct{})}, nil
	}
}

// cuttable is a connection that a cut can silence. After a cut that lost bytes
// it is reset.
type cuttable struct {
	net.Conn
	network  *Network
	from, to tables.Zone
	closing  sync.Once
	closed   chan struct{}
	losing   sync.Once
	// lost is set once something was sent into a cut.
	lost atomic.Bool
}

// Read gives nothing while the zones are cut off from each other.
func (c *cuttable) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	healed := c.network.blocked(c.from, c.to)
	if err != nil || healed == nil {
		return n, err
	}
	select {
	case <-healed:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
	case <-c.closed:
		return 0, net.ErrClosed
	}
}

// Write loses what is sent into a cut. A connection never goes on with a hole
// in it, which TCP would not allow either.
func (c *cuttable) Write(p []byte) (int, error) {
	if healed := c.network.blocked(c.from, c.to); healed != nil {
		c.losing.Do(func() {
			c.lost.Store(true)
			go c.resetAfter(healed)
		})
		return len(p), nil
	}
	if c.lost.Load() {
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: net.ErrClosed}
	}
	return c.Conn.Write(p)
}

// resetAfter ends the connection when the cut is over, so that its reader does
// not wait for an answer to what was lost.
func (c *cuttable) resetAfter(healed <-chan struct{}) {
	select {
	case <-healed:
		_ = c.Conn.Close()
	case <-c.closed:
	}
}

// Close ends the connection.
func (c *cuttable) Close() error {
	c.closing.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
