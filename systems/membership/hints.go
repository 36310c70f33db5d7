package membership

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// Placement is a cache hint: it says that a prompt prefix was placed at an
// endpoint.
type Placement struct {
	Endpoint tables.EndpointID
	Boot     tables.BootID
	Block    tables.BlockHash
	// Evicted is set if the endpoint no longer holds the prefix.
	Evicted bool
	// Reported is set if the endpoint itself reports the prefix. Such hints also
	// concern prefixes that no requests share.
	Reported bool
}

// Load is the load of one instance on an endpoint.
type Load struct {
	// Instance is the sender. It is empty in the loads that this instance sends.
	Instance tables.InstanceID
	Endpoint tables.EndpointID
	// Running counts requests that have not ended, CacheTokens their memory in
	// tokens, and PrefillTokens the prompt tokens of those without a first event.
	Running, CacheTokens, PrefillTokens int
	// LinkBusy is how long the endpoint's link is busy with the transfers that the
	// instance knows of.
	LinkBusy time.Duration
	// AbsentFor is how long the instance considers the endpoint absent from its
	// address.
	AbsentFor time.Duration
	// Limit is the endpoint's rate limit as known to the instance; nil if it is
	// unknown.
	Limit *RateLimit
	// Notice is what the endpoint has announced to the instance; nil for nothing.
	Notice *EndpointNotice
	// SlowdownPercent is how long work took on the endpoint's machine SlowdownAge ago, 100
	// as usual; zero if the instance does not know.
	SlowdownPercent int
	SlowdownAge     time.Duration
	// Streams counts the instance's streams at the endpoint that have sent an event and
	// have not ended.
	Streams int
}

// EndpointNotice is what an endpoint has announced to an instance in a response.
type EndpointNotice struct {
	// StartUnixMilli identifies the endpoint's process; zero if its start is not known.
	StartUnixMilli int64
	// Draining is set if the process is about to stop.
	Draining bool
	// PushbackFor is the remaining back-off of the instance.
	PushbackFor time.Duration
	// Brittleness is nil if the instance knows nothing of it.
	Brittleness *EndpointBrittleness
}

// EndpointBrittleness is whether an endpoint fails if it has to reject more than Rejections
// requests in a second, according to an answer received Age ago.
type EndpointBrittleness struct {
	Brittle    bool
	Rejections int
	Age        time.Duration
}

// RateLimit is how many requests per second an endpoint accepts from all instances
// together, according to an answer received Age ago. Limited is false if the answer
// named no limit.
type RateLimit struct {
	Limited   bool
	PerSecond float64
	Age       time.Duration
}

// Hints are what an instance tells the others about its requests. Delivery is best
// effort: a lost hint costs some cache reuse or some queueing and nothing else.
type Hints struct {
	Placements []Placement
	Loads      []Load
	// Relay is set in hints from another zone: the receiver forwards the placements
	// within its own zone.
	Relay bool
}

// FullMeshLimit is the maximum number of living entry instances that all send hints
// to each other, whatever their zones. In larger groups hints go only to the entry
// instances of the same availability zone, or to its schedulers: the traffic of a
// full mesh grows with the square of the group size, and every zone has home
// endpoints of its own for the prefixes.
const FullMeshLimit = 24

// relayCursorRange is the range of the initial relay cursors. It spreads which
// instance of another zone relays first.
const relayCursorRange = 1 << 16

// SendHints sends hints to other living entry instances, directly and once.
// Prefixes are hot for seconds and queues last for less, so that hints piggybacked
// on one ping per second would arrive too late to save anything. The caller
// enforces the rate limit.
func (m *Membership) SendHints(now tables.Instant, hints Hints) Output {
	m.now = now
	m.refreshDerived()
	peers := m.members.hintReceivers
	for len(peers) > 0 && len(hints.Placements)+len(hints.Loads) > 0 {
		d := m.newHintDatagram()
		room := m.config.MaxDatagramBytes - proto.Size(d)
		loads := addLoads(d, hints.Loads, &room)
		placements := addPlacements(d, hints.Placements, &room)
		if loads+placements == 0 || !m.sendHints(d, peers) {
			break
		}
		hints.Loads, hints.Placements = hints.Loads[loads:], hints.Placements[placements:]
	}
	return m.takeOutput()
}

// SendPlacementsToOtherZones sends placements to one relay in each zone that
// SendHints leaves out; the relay forwards them within its zone. The other zones
// then fetch a prompt prefix that one zone has computed, where each would otherwise
// compute it again, and little traffic crosses zones.
func (m *Membership) SendPlacementsToOtherZones(now tables.Instant, placements []Placement) Output {
	m.now = now
	relays := m.nextRelays()
	for len(relays) > 0 && len(placements) > 0 {
		d := m.newHintDatagram()
		d.Relay = true
		room := m.config.MaxDatagramBytes - proto.Size(d)
		added := addPlacements(d, placements, &room)
		if added == 0 || !m.sendHints(d, relays) {
			break
		}
		placements = placements[added:]
	}
	return m.takeOutput()
}

// SendLoadsToOtherZones sends this instance's loads on endpoints to the schedulers
// of other zones, since they also choose endpoints of this zone and of third zones.
func (m *Membership) SendLoadsToOtherZones(now tables.Instant, loads []Load) Output {
	m.now = now
	receivers := m.remoteSchedulerAddresses()
	for len(receivers) > 0 && len(loads) > 0 {
		d := m.newHintDatagram()
		room := m.config.MaxDatagramBytes - proto.Size(d)
		added := addLoads(d, loads, &room)
		if added == 0 || !m.sendHints(d, receivers) {
			break
		}
		loads = loads[added:]
	}
	return m.takeOutput()
}

// RemoteSchedulerCount returns the number of schedulers in other zones.
func (m *Membership) RemoteSchedulerCount() int { return len(m.remoteSchedulerAddresses()) }

// remoteSchedulerAddresses returns the addresses of the schedulers in other zones.
func (m *Membership) remoteSchedulerAddresses() []netip.AddrPort {
	m.refreshDerived()
	if !m.useSchedulers {
		return nil
	}
	var all []netip.AddrPort
	for _, schedulers := range m.members.remoteGroups {
		for _, row := range schedulers {
			all = append(all, row.Address)
		}
	}
	return all
}

// nextRelays returns one relay in each zone that SendHints leaves out, in
// round-robin order.
func (m *Membership) nextRelays() []netip.AddrPort {
	m.refreshDerived()
	m.relayCursor++
	var picked []netip.AddrPort
	for _, entries := range m.members.remoteGroups {
		picked = append(picked, entries[m.relayCursor%len(entries)].Address)
	}
	return picked
}

// newHintDatagram returns a datagram of kind hints that names only its sender.
func (m *Membership) newHintDatagram() *rpc.Datagram {
	return &rpc.Datagram{Kind: datagramHints, Sender: &rpc.InstanceRow{Instance: string(m.self.Instance)}}
}

// sendHints sends one datagram to several addresses and reports whether it could be
// encoded.
func (m *Membership) sendHints(d *rpc.Datagram, to []netip.AddrPort) bool {
	payload, err := proto.Marshal(d)
	if err != nil {
		return false
	}
	for _, at := range to {
		m.output.Datagrams = append(m.output.Datagrams, Datagram{To: at, Payload: payload})
	}
	return true
}

// HintReceiverCount returns the number of instances that SendHints sends to.
func (m *Membership) HintReceiverCount() int {
	m.refreshDerived()
	return len(m.members.hintReceivers)
}

// addPlacements adds placements while they fit, and returns how many did.
func addPlacements(d *rpc.Datagram, placements []Placement, room *int) int {
	for i, p := range placements {
		encoded := &rpc.CachePlacement{Endpoint: string(p.Endpoint), Boot: string(p.Boot), Block: uint64(p.Block), Dropped: p.Evicted, Reported: p.Reported}
		size := proto.Size(encoded) + fieldOverhead
		if size > *room {
			return i
		}
		*room -= size
		d.Placements = append(d.Placements, encoded)
	}
	return len(placements)
}

// addLoads adds loads while they fit, and returns how many did.
func addLoads(d *rpc.Datagram, loads []Load, room *int) int {
	for i, l := range loads {
		encoded := &rpc.EndpointLoad{
			Endpoint: string(l.Endpoint), Running: uint32(l.Running), Tokens: uint32(l.CacheTokens), Prefill: uint32(l.PrefillTokens),
			LinkMs: uint32(l.LinkBusy.Milliseconds()), AbsentMs: uint32(l.AbsentFor.Milliseconds()),
			Limit: encodeRateLimit(l.Limit), Notice: encodeNotice(l.Notice),
			SlowdownPercent: uint32(l.SlowdownPercent), SlowdownAgeMs: uint32(l.SlowdownAge.Milliseconds()), Streams: uint32(l.Streams),
		}
		size := proto.Size(encoded) + fieldOverhead
		if size > *room {
			return i
		}
		*room -= size
		d.Loads = append(d.Loads, encoded)
	}
	return len(loads)
}

// receiveHints adds the hints of a datagram to the output.
func (m *Membership) receiveHints(in *rpc.Datagram) {
	for _, encoded := range in.GetPlacements() {
		m.output.Hints.Placements = append(m.output.Hints.Placements, Placement{
			Endpoint: tables.EndpointID(encoded.GetEndpoint()),
			Boot:     tables.BootID(encoded.GetBoot()),
			Block:    tables.BlockHash(encoded.GetBlock()),
			Evicted:  encoded.GetDropped(),
			Reported: encoded.GetReported(),
		})
	}
	m.output.Hints.Relay = in.GetRelay()
	for _, encoded := range in.GetLoads() {
		m.output.Hints.Loads = append(m.output.Hints.Loads, Load{
			Instance: tables.InstanceID(in.GetSender().GetInstance()),
			Endpoint: tables.EndpointID(encoded.GetEndpoint()),
			Running:  int(encoded.GetRunning()), CacheTokens: int(encoded.GetTokens()), PrefillTokens: int(encoded.GetPrefill()),
			LinkBusy:  time.Duration(encoded.GetLinkMs()) * time.Millisecond,
			AbsentFor: time.Duration(encoded.GetAbsentMs()) * time.Millisecond,
			Limit:     decodeRateLimit(encoded.GetLimit()),
			Notice:    decodeNotice(encoded.GetNotice()),

			SlowdownPercent: int(encoded.GetSlowdownPercent()),
			SlowdownAge:     time.Duration(encoded.GetSlowdownAgeMs()) * time.Millisecond,
			Streams:         int(encoded.GetStreams()),
		})
	}
}

// encodeRateLimit returns the wire format of a rate limit, nil if it is unknown.
func encodeRateLimit(l *RateLimit) *rpc.EndpointRateLimit {
	if l == nil {
		return nil
	}
	return &rpc.EndpointRateLimit{Limited: l.Limited, PerSecond: l.PerSecond, AgeMs: uint32(l.Age.Milliseconds())}
}

// decodeRateLimit decodes a rate limit, nil if it is unknown.
func decodeRateLimit(l *rpc.EndpointRateLimit) *RateLimit {
	if l == nil {
		return nil
	}
	return &RateLimit{Limited: l.GetLimited(), PerSecond: l.GetPerSecond(), Age: time.Duration(l.GetAgeMs()) * time.Millisecond}
}

// encodeNotice returns the wire format of an endpoint's notice, nil if there is none.
func encodeNotice(n *EndpointNotice) *rpc.EndpointNotice {
	if n == nil {
		return nil
	}
	encoded := &rpc.EndpointNotice{Start: n.StartUnixMilli, Draining: n.Draining, PushbackMs: uint32(n.PushbackFor.Milliseconds())}
	if b := n.Brittleness; b != nil {
		encoded.Brittle = &rpc.EndpointBrittleness{Brittle: b.Brittle, Rejections: uint32(b.Rejections), AgeMs: uint32(b.Age.Milliseconds())}
	}
	return encoded
}

// decodeNotice decodes an endpoint's notice, nil if there is none.
func decodeNotice(n *rpc.EndpointNotice) *EndpointNotice {
	if n == nil {
		return nil
	}
	decoded := &EndpointNotice{StartUnixMilli: n.GetStart(), Draining: n.GetDraining(), PushbackFor: time.Duration(n.GetPushbackMs()) * time.Millisecond}
	if b := n.GetBrittle(); b != nil {
		decoded.Brittleness = &EndpointBrittleness{Brittle: b.GetBrittle(), Rejections: int(b.GetRejections()), Age: time.Duration(b.GetAgeMs()) * time.Millisecond}
	}
	return decoded
}
