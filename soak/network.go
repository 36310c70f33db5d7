package soak

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/platform/platformtest"
)

// Condition is what happens to the bytes from one address to another.
type Condition struct {
	// Silent holds bytes back until it ends, as a cut does that resets nothing.
	Silent bool
	Delay  time.Duration
	// Loss is the part of datagrams that is lost.
	Loss float64
}

// Network carries connections and datagrams to every process through loopback
// proxies. A process is reached at its advertised address, where its proxy
// listens, and starts its own connections from its own IP number, so that both
// ends of a connection are known. It is safe for concurrent use.
type Network struct {
	mu    sync.Mutex
	rng   *rand.Rand
	rules map[int]rule
	next  int
	// changed is closed when a rule comes or goes.
	changed chan struct{}
	// between holds the connections that are open.
	between map[*carried]bool
	ports   map[netip.Addr]*port
	closers []io.Closer
}

// rule sets a condition for the pairs of addresses that it matches.
type rule struct {
	matches   func(from, to netip.Addr) bool
	condition Condition
}

// port is where datagrams for one process are taken.
type port struct {
	conn *net.UDPConn
	real netip.AddrPort
}

// carried is one connection with its two sockets.
type carried struct {
	from, to       netip.Addr
	caller, target net.Conn
	// muted connections carry nothing any more and are not closed.
	muted chan struct{}
	once  sync.Once
}

// NewNetwork returns a network in which everything arrives.
func NewNetwork(seed uint64) *Network {
	return &Network{
		rng:     rand.New(rand.NewPCG(seed, 1)),
		rules:   map[int]rule{},
		changed: make(chan struct{}),
		between: map[*carried]bool{},
		ports:   map[netip.Addr]*port{},
	}
}

// Impose sets a condition until the returned function is called.
func (n *Network) Impose(c Condition, matches func(from, to netip.Addr) bool) (lift func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := n.next
	n.next++
	n.rules[id] = rule{matches: matches, condition: c}
	n.notify()
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.rules, id)
		n.notify()
	}
}

func (n *Network) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// condition merges all rules for a pair, and returns what is closed when they
// change.
func (n *Network) condition(from, to netip.Addr) (Condition, <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var c Condition
	for _, r := range n.rules {
		if r.matches(from, to) {
			c.Silent = c.Silent || r.condition.Silent
			c.Delay = max(c.Delay, r.condition.Delay)
			c.Loss = max(c.Loss, r.condition.Loss)
		}
	}
	return c, n.changed
}

// each calls do for the open connections of the pairs that match.
func (n *Network) each(matches func(from, to netip.Addr) bool, do func(*carried)) {
	n.mu.Lock()
	var found []*carried
	for c := range n.between {
		if matches(c.from, c.to) || matches(c.to, c.from) {
			found = append(found, c)
		}
	}
	n.mu.Unlock()
	for _, c := range found {
		do(c)
	}
}

// Reset breaks the open connections of the pairs that match.
func (n *Network) Reset(matches func(from, to netip.Addr) bool) {
	n.each(matches, func(c *carried) {
		reset(c.caller)
		reset(c.target)
	})
}

// Mute has the open connections of the pairs that match carry nothing from now
// on; nobody is told, and new connections work.
func (n *Network) Mute(matches func(from, to netip.Addr) bool) {
	n.each(matches, func(c *carried) { c.once.Do(func() { close(c.muted) }) })
}

// ResetCallers breaks the open connections of the pairs that match for those who opened them only.
// The other ends go on as if everything arrived.
func (n *Network) ResetCallers(matches func(from, to netip.Addr) bool) {
	n.Mute(matches)
	n.each(matches, func(c *carried) { reset(c.caller) })
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// Carry takes connections at an advertised address and opens one to the real
// address for each.
func (n *Network) Carry(advertised, real netip.AddrPort) error {
	_, err := n.CarryUntil(advertised, real)
	return err
}

// CarryUntil does the same until the returned function is called. From then on connections to
// the advertised address are refused.
func (n *Network) CarryUntil(advertised, real netip.AddrPort) (refuse func(), err error) {
	listener, err := platformtest.Listen(advertised)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	n.closers = append(n.closers, listener)
	n.mu.Unlock()
	go func() {
		for {
			caller, err := listener.Accept()
			if err != nil {
				return // closed
			}
			go n.carry(caller, advertised.Addr(), real)
		}
	}()
	return func() { _ = listener.Close() }, nil
}

func (n *Network) carry(caller net.Conn, to netip.Addr, real netip.AddrPort) {
	from := caller.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
	// The target learns who calls: its side of the proxy starts at the caller's
	// own IP number.
	dialer := net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.AddrPortFrom(from, 0))}
	target, err := dialer.Dial("tcp", real.String())
	if err != nil {
		reset(caller)
		return
	}
	c := &carried{from: from, to: to, caller: caller, target: target, muted: make(chan struct{})}
	n.mu.Lock()
	n.between[c] = true
	n.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { n.copy(c, caller, target, from, to) })
	both.Go(func() { n.copy(c, target, caller, to, from) })
	both.Wait()
	_ = caller.Close()
	_ = target.Close()
	n.mu.Lock()
	delete(n.between, c)
	n.mu.Unlock()
}

// copy carries one direction of a connection until it ends.
func (n *Network) copy(c *carried, source, sink net.Conn, from, to netip.Addr) {
	buffer := make([]byte, 32<<10)
	for {
		got, err := source.Read(buffer)
		if !n.pass(c, from, to) {
			<-c.muted // its end is not told either
			_, _ = io.Copy(io.Discard, source)
			return
		}
		if got > 0 {
			if _, failed := sink.Write(buffer[:got]); failed != nil {
				reset(source)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			if tcp, ok := sink.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(sink)
			return
		}
	}
}

// pass waits until bytes may go on, and says whether they may at all.
func (n *Network) pass(c *carried, from, to netip.Addr) bool {
	for {
		select {
		case <-c.muted:
			return false
		default:
		}
		condition, changed := n.condition(from, to)
		if !condition.Silent {
			time.Sleep(condition.Delay)
			return true
		}
		select {
		case <-changed:
		case <-c.muted:
		}
	}
}

// CarryDatagrams takes datagrams at an advertised address and passes them on to
// the real one, from the advertised address of their sender.
func (n *Network) CarryDatagrams(advertised, real netip.AddrPort) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(advertised))
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.ports[advertised.Addr()] = &port{conn: conn, real: real}
	n.closers = append(n.closers, conn)
	n.mu.Unlock()
	go n.carryDatagrams(conn, advertised.Addr(), real)
	return nil
}

func (n *Network) carryDatagrams(conn *net.UDPConn, to netip.Addr, real netip.AddrPort) {
	buffer := make([]byte, 64<<10)
	for {
		got, sender, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return // closed
		}
		condition, _ := n.condition(sender.Addr(), to)
		n.mu.Lock()
		from := n.ports[sender.Addr()]
		lost := from == nil || condition.Silent || n.rng.Float64() < condition.Loss
		n.mu.Unlock()
		if lost {
			continue
		}
		packet := append([]byte(nil), buffer[:got]...)
		time.AfterFunc(condition.Delay, func() {
			_, _ = from.conn.WriteToUDPAddrPort(packet, real)
		})
	}
}

// Close ends all proxies and what they carry.
func (n *Network) Close() {
	n.mu.Lock()
	closers := n.closers
	n.mu.Unlock()
	for _, c := range closers {
		_ = c.Close()
	}
	n.Mute(func(netip.Addr, netip.Addr) bool { return true })
	n.Reset(func(netip.Addr, netip.Addr) bool { return true })
}
