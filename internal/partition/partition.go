// Package partition simulates network partitions between availability zones within one
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

// Network maps addresses to zones and knows which zone is partitioned from the others. A
// partition is silent: packets sent across it are dropped without an error, as in a real
// partition without TCP resets. It is safe for concurrent use.
type Network struct {
	mu    sync.Mutex
	zones map[string]tables.Zone
	// isolated is the zone that is partitioned from all others, empty if none.
	isolated tables.Zone
	// healed is closed when the partition ends.
	healed chan struct{}
}

// New returns a network without a partition.
func New() *Network {
	return &Network{zones: make(map[string]tables.Zone)}
}

// SetZone records the zone of an address.
func (n *Network) SetZone(address string, zone tables.Zone) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[address] = zone
}

// Isolate partitions a zone from all others.
func (n *Network) Isolate(zone tables.Zone) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated = zone
	n.healed = make(chan struct{})
}

// Heal ends the partition.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolated != "" {
		n.isolated = ""
		close(n.healed)
	}
}

// healedSignal returns nil if two zones can reach each other, or a channel that is
// closed when the partition between them ends.
func (n *Network) healedSignal(a, b tables.Zone) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.isolated == "" || a == b || a != n.isolated && b != n.isolated {
		return nil
	}
	return n.healed
}

// Reaches returns a function that reports whether datagrams sent from a zone arrive at
// an address.
func (n *Network) Reaches(from tables.Zone) func(to netip.AddrPort) bool {
	return func(to netip.AddrPort) bool {
		n.mu.Lock()
		zone := n.zones[to.String()]
		n.mu.Unlock()
		return n.healedSignal(from, zone) == nil
	}
}

// Dialer returns a dial function for clients in a zone. Dialing across a partition blocks
// until the partition heals or the context ends.
func (n *Network) Dialer(from tables.Zone) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, protocol, address string) (net.Conn, error) {
		n.mu.Lock()
		to := n.zones[address]
		n.mu.Unlock()
		if healed := n.healedSignal(from, to); healed != nil {
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
		return &partitionedConn{Conn: inner, network: n, from: from, to: to, closed: make(chan struct{})}, nil
	}
}

// partitionedConn is a connection subject to partitions. It is reset once a partition
// that dropped bytes of it has ended.
type partitionedConn struct {
	net.Conn
	network   *Network
	from, to  tables.Zone
	closeOnce sync.Once
	closed    chan struct{}
	dropOnce  sync.Once
	// dropped is set once a write fell into a partition.
	dropped atomic.Bool
}

// Read blocks while the zones are partitioned, then fails because the connection is reset.
func (c *partitionedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	healed := c.network.healedSignal(c.from, c.to)
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

// Write drops data sent across a partition. Later writes fail: a TCP stream never
// continues with bytes missing.
func (c *partitionedConn) Write(p []byte) (int, error) {
	if healed := c.network.healedSignal(c.from, c.to); healed != nil {
		c.dropOnce.Do(func() {
			c.dropped.Store(true)
			go c.resetAfter(healed)
		})
		return len(p), nil
	}
	if c.dropped.Load() {
		return 0, &net.OpError{Op: "write", Net: "tcp", Err: net.ErrClosed}
	}
	return c.Conn.Write(p)
}

// resetAfter closes the connection when the partition ends, so that its reader does not
// wait for a response to dropped data.
func (c *partitionedConn) resetAfter(healed <-chan struct{}) {
	select {
	case <-healed:
		_ = c.Conn.Close()
	case <-c.closed:
	}
}

// Close closes the connection and releases blocked reads.
func (c *partitionedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
