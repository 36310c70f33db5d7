// Package gossip runs the failure detection of package systems/membership over
// UDP.
package gossip

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/keys"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	tickInterval = 100 * time.Millisecond
	// readBuffer is above the largest datagram.
	readBuffer = 2048
)

// Options sets a Gossip up. The functions are called by one goroutine at a time
// and must not call the Gossip's Close; nil ones are not called.
type Options struct {
	// Membership says who this instance is and whom to join through.
	Membership membership.Options
	// ListenAddress is where datagrams are taken; invalid means at the address of
	// Membership's Self.
	ListenAddress netip.AddrPort
	// Ring holds the key that datagrams are sealed with.
	Ring *keys.Ring
	Log  *zap.Logger
	// OnMembersChanged is called when an instance came, went or changed its state.
	OnMembersChanged func([]membership.Member)
	// OnNewerRevision is called with the control address of an instance that has a newer
	// revision in force.
	OnNewerRevision func(netip.AddrPort)
	// OnPlacement hands out placements of other instances.
	OnPlacement func(membership.Placement)
	// OnRelay takes placements of another zone that are to be told in this one.
	OnRelay func([]membership.Placement)
	// OnLoad hands out what other instances have at endpoints.
	OnLoad func(membership.Load)
	// OnSchedule takes a message between an entry instance and a scheduler. It must not
	// block for long.
	OnSchedule func(from membership.Sender, message *rpc.ScheduleMessage)
	// OnUsage takes a message about organisations' usage. It must not block.
	OnUsage func(from membership.Sender, message *rpc.UsageMessage)
	// IsReachable says whether datagrams to an address arrive; nil means that all
	// do. Tests cut availability zones off here.
	IsReachable func(to netip.AddrPort) bool
}

// Traffic counts what was sent and received.
type Traffic struct {
	SentBytes, SentDatagrams         uint64
	ReceivedBytes, ReceivedDatagrams uint64
	Dropped                          uint64
}

// Gossip is a running detection. It is safe for concurrent use.
type Gossip struct {
	options Options
	conn    *net.UDPConn
	started time.Time
	stop    chan struct{}
	running sync.WaitGroup

	mu         sync.Mutex
	membership *membership.Membership
	version    uint64

	// calls is held while the functions of the options are called.
	calls sync.Mutex

	sentBytes, sent         atomic.Uint64
	receivedBytes, received atomic.Uint64
	dropped                 atomic.Uint64
}

// Start listens and joins.
func Start(options Options) (*Gossip, error) {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	advertised := options.ListenAddress.IsValid()
	if !advertised {
		options.ListenAddress = options.Membership.Self.Address
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(options.ListenAddress))
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if !advertised {
		// Tests listen on any port; the others must learn the real one.
		options.Membership.Self.Address = conn.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	g := &Gossip{
		options:    options,
		conn:       conn,
		started:    time.Now(),
		stop:       make(chan struct{}),
		membership: membership.New(options.Membership),
	}
	g.running.Go(g.read)
	g.running.Go(g.tick)
	return g, nil
}

// Address is where datagrams are taken.
func (g *Gossip) Address() netip.AddrPort { return g.options.Membership.Self.Address }

// Close tells the others that this instance leaves, and stops.
func (g *Gossip) Close() {
	g.run((*membership.Membership).Leave)
	close(g.stop)
	_ = g.conn.Close()
	g.running.Wait()
}

// Members returns all known instances, by name.
func (g *Gossip) Members() []membership.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.membership.Members()
}

// LoadShare returns this instance's part of the load, above 0 and at most 1.
func (g *Gossip) LoadShare() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.membership.LoadShare()
}

// SetRevision tells the others which revision is in force here.
func (g *Gossip) SetRevision(revision tables.Revision, since time.Time) {
	g.run(func(m *membership.Membership, now tables.Instant) membership.Output {
		return m.SetRevision(now, revision, since)
	})
}

// SendHints lets the others know of this instance's requests.
func (g *Gossip) SendHints(hints membership.Hints) {
	g.run(func(m *membership.Membership, now tables.Instant) membership.Output {
		return m.SendHints(now, hints)
	})
}

// SendPlacementsToOtherZones lets zones that SendHints leaves out know of placements.
func (g *Gossip) SendPlacementsToOtherZones(placements []membership.Placement) {
	g.run(func(m *membership.Membership, now tables.Instant) membership.Output {
		return m.SendPlacementsToOtherZones(now, placements)
	})
}

// SendLoadsToOtherZones lets the schedulers of other zones know of loads.
func (g *Gossip) SendLoadsToOtherZones(loads []membership.Load) {
	g.run(func(m *membership.Membership, now tables.Instant) membership.Output {
		return m.SendLoadsToOtherZones(now, loads)
	})
}

// RemoteSchedulerCount counts the schedulers of other zones.
func (g *Gossip) RemoteSchedulerCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.membership.RemoteSchedulerCount()
}

// Schedulers lists the schedulers of the own zone, the best first.
func (g *Gossip) Schedulers() []membership.EntryInstance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.membership.Schedulers()
}

// AllSchedulers lists the schedulers of all zones.
func (g *Gossip) AllSchedulers() []membership.EntryInstance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.membership.AllSchedulers()
}

// SendSchedule sends a message between an entry instance and a scheduler.
func (g *Gossip) SendSchedule(to netip.AddrPort, message *rpc.ScheduleMessage) {
	g.mu.Lock()
	out := g.membership.EncodeSchedule(to, message)
	g.mu.Unlock()
	g.sendAll(out.Datagrams)
}

// SendUsage sends a message about organisations' usage.
func (g *Gossip) SendUsage(to netip.AddrPort, message *rpc.UsageMessage) {
	g.mu.Lock()
	out := g.membership.EncodeUsage(to, message)
	g.mu.Unlock()
	g.sendAll(out.Datagrams)
}

// EntriesByZone lists the living entry instances of each zone. It is not to be changed.
func (g *Gossip) EntriesByZone() map[tables.Zone][]membership.EntryInstance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.membership.EntriesByZone()
}

// HintReceiverCount is how many instances hints are told to.
func (g *Gossip) HintReceiverCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.membership.HintReceiverCount()
}

// SetPlatformList takes the platform's list as a hint.
func (g *Gossip) SetPlatformList(list []membership.PlatformInstance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.membership.SetPlatformList(list)
}

// Traffic returns the counts since the start.
func (g *Gossip) Traffic() Traffic {
	return Traffic{
		SentBytes:         g.sentBytes.Load(),
		SentDatagrams:     g.sent.Load(),
		ReceivedBytes:     g.receivedBytes.Load(),
		ReceivedDatagrams: g.received.Load(),
		Dropped:           g.dropped.Load(),
	}
}

func (g *Gossip) now() tables.Instant { return time.Since(g.started) }

// run lets the detection do something and carries out what comes of it.
func (g *Gossip) run(f func(*membership.Membership, tables.Instant) membership.Output) {
	g.mu.Lock()
	out := f(g.membership, g.now())
	var changed []membership.Member
	if version := g.membership.Version(); version != g.version && g.options.OnMembersChanged != nil {
		g.version = version
		changed = g.membership.Members()
	}
	g.mu.Unlock()
	g.sendAll(out.Datagrams)
	g.tell(out, changed)
}

// sendAll sends datagrams. Hints go to many with one payload, which is sealed
// once.
func (g *Gossip) sendAll(datagrams []membership.Datagram) {
	var payload, sealed []byte
	for _, d := range datagrams {
		if len(payload) == 0 || len(d.Payload) == 0 || &payload[0] != &d.Payload[0] {
			payload, sealed = d.Payload, g.options.Ring.Seal(d.Payload)
		}
		g.send(d, sealed)
	}
}

func (g *Gossip) send(d membership.Datagram, sealed []byte) {
	if g.options.IsReachable != nil && !g.options.IsReachable(d.To) {
		return
	}
	if _, err := g.conn.WriteToUDPAddrPort(sealed, d.To); err != nil {
		g.dropped.Add(1)
		return
	}
	g.sent.Add(1)
	g.sentBytes.Add(uint64(len(sealed)))
}

func (g *Gossip) tell(out membership.Output, changed []membership.Member) {
	if out.UsageMessage != nil {
		if g.options.OnUsage != nil {
			g.options.OnUsage(out.From, out.UsageMessage)
		}
		return
	}
	if out.ScheduleMessage != nil {
		if g.options.OnSchedule != nil {
			g.options.OnSchedule(out.From, out.ScheduleMessage)
		}
		return
	}
	g.calls.Lock()
	defer g.calls.Unlock()
	if changed != nil {
		g.options.OnMembersChanged(changed)
	}
	if out.NewerRevisionAt.IsValid() && g.options.OnNewerRevision != nil {
		g.options.OnNewerRevision(out.NewerRevisionAt)
	}
	if g.options.OnPlacement != nil {
		for _, p := range out.Hints.Placements {
			g.options.OnPlacement(p)
		}
	}
	if g.options.OnRelay != nil && out.Hints.Relay {
		g.options.OnRelay(out.Hints.Placements)
	}
	if g.options.OnLoad != nil {
		for _, l := range out.Hints.Loads {
			g.options.OnLoad(l)
		}
	}
}

func (g *Gossip) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.run((*membership.Membership).Tick)
		case <-g.stop:
			return
		}
	}
}

func (g *Gossip) read() {
	buffer := make([]byte, readBuffer)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buffer)
		select {
		case <-g.stop:
			return
		default:
		}
		if err != nil {
			// An ICMP answer to an earlier datagram ends up here; the socket
			// goes on working.
			continue
		}
		g.receive(buffer[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

func (g *Gossip) receive(sealed []byte, from netip.AddrPort) {
	g.received.Add(1)
	g.receivedBytes.Add(uint64(len(sealed)))
	payload, ok := g.options.Ring.Open(sealed)
	if !ok {
		g.dropped.Add(1)
		return
	}
	g.run(func(m *membership.Membership, now tables.Instant) membership.Output {
		out, err := m.Receive(now, from, payload)
		if err != nil {
			g.dropped.Add(1)
			events.DatagramDropped.Log(g.options.Log, zap.Error(err))
		}
		return out
	})
}
