// Package gossip runs the SWIM failure detector of package systems/membership over
// UDP. It also sends the hints that instances exchange: gossip about request
// placements and endpoint load. Datagrams are sealed with the key of the
// deployment.
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
	// tickInterval is the time between two ticks of the failure detector.
	tickInterval = 100 * time.Millisecond
	// readBufferBytes exceeds the largest datagram.
	readBufferBytes = 2048
)

// Options configures a Gossip. Callbacks may be nil. They must not call Close. All
// but OnSchedule, OnUsage and OnStreamOrigins are called one at a time.
type Options struct {
	// Membership identifies this instance and names the seeds that it joins
	// through.
	Membership membership.Options
	// ListenAddress is the local address that the socket is bound to. If it is
	// invalid, the socket is bound to the address of Membership.Self.
	ListenAddress netip.AddrPort
	// Ring holds the keys that seal datagrams.
	Ring *keys.Ring
	Log  *zap.Logger
	// OnMembersChanged is called with all known members when an instance has
	// joined, left or changed its state.
	OnMembersChanged func([]membership.Member)
	// OnNewerRevision is called with the control address of an instance that has a
	// newer configuration revision in force.
	OnNewerRevision func(netip.AddrPort)
	// OnPlacement is called with each placement that another instance announced.
	OnPlacement func(membership.Placement)
	// OnRelay is called with placements of another zone that this instance has to
	// forward within its own zone.
	OnRelay func([]membership.Placement)
	// OnLoad is called with each load that another instance announced.
	OnLoad func(membership.Load)
	// OnSchedule is called with a message between an entry instance and a
	// scheduler. It runs on the goroutine that reads the socket, so it must not
	// block for long.
	OnSchedule func(from membership.Sender, message *rpc.ScheduleMessage)
	// OnUsage is called with a message about the usage of organisations. It runs on
	// the goroutine that reads the socket, so it must not block.
	OnUsage func(from membership.Sender, message *rpc.UsageMessage)
	// OnStreamOrigins is called with origins of streams, on the goroutine that reads
	// the socket, so it must not block.
	OnStreamOrigins func(message *rpc.StreamOrigins)
	// IsReachable returns whether datagrams to an address are sent; nil sends all.
	// Tests use it to partition availability zones.
	IsReachable func(to netip.AddrPort) bool
}

// Traffic holds counters of datagrams and bytes. Dropped counts datagrams that
// could not be sent, opened or decoded.
type Traffic struct {
	SentBytes, SentDatagrams         uint64
	ReceivedBytes, ReceivedDatagrams uint64
	Dropped                          uint64
}

// Gossip is a running member of the SWIM group. It owns the UDP socket, drives the
// timers of the failure detector and runs the callbacks. It is safe for concurrent
// use.
type Gossip struct {
	options    Options
	conn       *net.UDPConn
	started    time.Time
	stop       chan struct{}
	goroutines sync.WaitGroup

	// mu guards membership and notifiedVersion. The latter is the membership
	// version that OnMembersChanged was last called for.
	mu              sync.Mutex
	membership      *membership.Membership
	notifiedVersion uint64

	// callbacks is held while callbacks run, so that they run one at a time.
	callbacks sync.Mutex

	sentBytes, sentDatagrams         atomic.Uint64
	receivedBytes, receivedDatagrams atomic.Uint64
	droppedDatagrams                 atomic.Uint64
}

// Start binds the socket and joins the group through the seeds.
func Start(options Options) (*Gossip, error) {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	hasListenAddress := options.ListenAddress.IsValid()
	if !hasListenAddress {
		options.ListenAddress = options.Membership.Self.Address
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(options.ListenAddress))
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if !hasListenAddress {
		// Tests bind port 0; the other members need the port that was assigned.
		options.Membership.Self.Address = conn.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	g := &Gossip{
		options:    options,
		conn:       conn,
		started:    time.Now(),
		stop:       make(chan struct{}),
		membership: membership.New(options.Membership),
	}
	g.goroutines.Go(g.readLoop)
	g.goroutines.Go(g.tickLoop)
	if options.Membership.FastDiscovery {
		g.goroutines.Go(g.discoverLoop)
	}
	return g, nil
}

// Address returns the address that this instance advertises for datagrams.
func (g *Gossip) Address() netip.AddrPort { return g.options.Membership.Self.Address }

// Close announces that this instance leaves, closes the socket and waits for the
// goroutines.
func (g *Gossip) Close() {
	g.update((*membership.Membership).Leave)
	close(g.stop)
	_ = g.conn.Close()
	g.goroutines.Wait()
}

// Members returns all known members, sorted by name.
func (g *Gossip) Members() []membership.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.membership.Members()
}

// LoadShare returns this instance's fraction of the total load, above 0 and at most
// 1.
func (g *Gossip) LoadShare() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.membership.LoadShare()
}

// SetRevision announces the configuration revision that is in force at this
// instance, and since when.
func (g *Gossip) SetRevision(revision tables.Revision, since time.Time) {
	g.update(func(m *membership.Membership, now tables.Instant) membership.Output {
		return m.SetRevision(now, revision, since)
	})
}

// SendHints sends hints about this instance's requests to the other instances that
// receive them (see HintReceiverCount).
func (g *Gossip) SendHints(hints membership.Hints) {
	g.update(func(m *membership.Membership, now tables.Instant) membership.Output {
		return m.SendHints(now, hints)
	})
}

// SendPlacementsToOtherZones sends placements to the zones that SendHints leaves
// out.
func (g *Gossip) SendPlacementsToOtherZones(placements []membership.Placement) {
	g.update(func(m *membership.Membership, now tables.Instant) membership.Output {
		return m.SendPlacementsToOtherZones(now, placements)
	})
}

// SendLoadsToOtherZones sends loads to the schedulers of other zones.
func (g *Gossip) SendLoadsToOtherZones(loads []membership.Load) {
	g.update(func(m *membership.Membership, now tables.Instant) membership.Output {
		return m.SendLoadsToOtherZones(now, loads)
	})
}

// RemoteSchedulerCount returns the number of schedulers in other zones.
func (g *Gossip) RemoteSchedulerCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.membership.RemoteSchedulerCount()
}

// Schedulers returns the schedulers of this instance's zone, the preferred one
// first.
func (g *Gossip) Schedulers() []membership.EntryInstance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.membership.Schedulers()
}

// AllSchedulers returns the schedulers of all zones.
func (g *Gossip) AllSchedulers() []membership.EntryInstance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.membership.AllSchedulers()
}

// EntriesByZone returns the living entry instances of each zone. The caller must
// not modify the result.
func (g *Gossip) EntriesByZone() map[tables.Zone][]membership.EntryInstance {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.membership.EntriesByZone()
}

// HintReceiverCount returns the number of instances that SendHints sends to.
func (g *Gossip) HintReceiverCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.membership.HintReceiverCount()
}

// SetPlatformList passes the platform's list of instances to the failure detector,
// which treats it as a hint.
func (g *Gossip) SetPlatformList(list []membership.PlatformInstance) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.membership.SetPlatformList(list)
}

// Traffic returns the counters since Start.
func (g *Gossip) Traffic() Traffic {
	return Traffic{
		SentBytes:         g.sentBytes.Load(),
		SentDatagrams:     g.sentDatagrams.Load(),
		ReceivedBytes:     g.receivedBytes.Load(),
		ReceivedDatagrams: g.receivedDatagrams.Load(),
		Dropped:           g.droppedDatagrams.Load(),
	}
}

func (g *Gossip) now() tables.Instant { return time.Since(g.started) }

// update calls f on the membership state machine with mu held, then sends the
// resulting datagrams and runs the resulting callbacks.
func (g *Gossip) update(f func(*membership.Membership, tables.Instant) membership.Output) {
	g.mu.Lock()
	out := f(g.membership, g.now())
	var changed []membership.Member
	if version := g.membership.Version(); version != g.notifiedVersion && g.options.OnMembersChanged != nil {
		g.notifiedVersion = version
		changed = g.membership.Members()
	}
	g.mu.Unlock()
	g.sendAll(out.Datagrams)
	g.runCallbacks(out, changed)
}

// sendAll seals and sends datagrams. Hints have the same payload for all receivers,
// so consecutive datagrams that share a payload are sealed once.
func (g *Gossip) sendAll(datagrams []membership.Datagram) {
	var payload, sealed []byte
	for _, d := range datagrams {
		if len(payload) == 0 || len(d.Payload) == 0 || &payload[0] != &d.Payload[0] {
			payload, sealed = d.Payload, g.options.Ring.Sign(d.Payload)
		}
		g.send(d, sealed)
	}
}

func (g *Gossip) send(d membership.Datagram, sealed []byte) {
	if g.options.IsReachable != nil && !g.options.IsReachable(d.To) {
		return
	}
	if _, err := g.conn.WriteToUDPAddrPort(sealed, d.To); err != nil {
		g.droppedDatagrams.Add(1)
		return
	}
	g.sentDatagrams.Add(1)
	g.sentBytes.Add(uint64(len(sealed)))
}

// runCallbacks passes received messages to the callbacks. Schedule and usage
// messages and origins of streams do not wait for the other callbacks.
func (g *Gossip) runCallbacks(out membership.Output, changed []membership.Member) {
	if out.StreamOrigins != nil {
		if g.options.OnStreamOrigins != nil {
			g.options.OnStreamOrigins(out.StreamOrigins)
		}
		return
	}
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
	g.callbacks.Lock()
	defer g.callbacks.Unlock()
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

func (g *Gossip) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.update((*membership.Membership).Tick)
		case <-g.stop:
			return
		}
	}
}

func (g *Gossip) readLoop() {
	buffer := make([]byte, readBufferBytes)
	for {
		n, from, err := g.conn.ReadFromUDPAddrPort(buffer)
		select {
		case <-g.stop:
			return
		default:
		}
		if err != nil {
			// An ICMP error for an earlier datagram is returned here; the socket
			// remains usable.
			continue
		}
		g.receive(buffer[:n], netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
	}
}

func (g *Gossip) receive(sealed []byte, from netip.AddrPort) {
	g.receivedDatagrams.Add(1)
	g.receivedBytes.Add(uint64(len(sealed)))
	payload, ok := g.options.Ring.Verify(sealed)
	if !ok {
		g.droppedDatagrams.Add(1)
		return
	}
	g.update(func(m *membership.Membership, now tables.Instant) membership.Output {
		out, err := m.Receive(now, from, payload)
		if err != nil {
			g.droppedDatagrams.Add(1)
			events.DatagramDropped.Log(g.options.Log, zap.Error(err))
		}
		return out
	})
}
