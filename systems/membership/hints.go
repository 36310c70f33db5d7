package membership

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// Placement says that a prefix was placed at an endpoint.
type Placement struct {
	Endpoint tables.EndpointID
	Boot     tables.BootID
	Block    tables.BlockHash
	// Evicted is set for a prefix that the endpoint has no longer.
	Evicted bool
	// Reported is set for the endpoint's own word, which is about prefixes that no
	// request shares too.
	Reported bool
}

// Load is what one instance has at an endpoint.
type Load struct {
	// Instance is who told of it; it is not set in what this instance tells.
	Instance tables.InstanceID
	Endpoint tables.EndpointID
	// Running counts requests that have not ended, CacheTokens their memory, and
	// PrefillTokens the prompt tokens of those without a first event.
	Running, CacheTokens, PrefillTokens int
	// LinkBusy is for how long the endpoint's link is busy with transfers that the
	// instance knows of.
	LinkBusy time.Duration
	// AbsentFor is for how long the instance counts the endpoint as absent from its address.
	AbsentFor time.Duration
	// Limit is what the instance knows of the endpoint's rate limit; nil for nothing.
	Limit *RateLimit
}

// RateLimit is how many requests a second an endpoint takes from all instances together, by
// an answer of Age ago. Limited is false if the answer named no limit.
type RateLimit struct {
	Limited   bool
	PerSecond float64
	Age       time.Duration
}

// Hints are what an instance lets the others know of its requests. What is lost
// costs some reuse or a queue and nothing else.
type Hints struct {
	Placements []Placement
	Loads      []Load
	// Relay is set in what an instance of another zone tells: the placements are
	// to be told in the own zone.
	Relay bool
}

// FullMeshLimit is how many living entry instances are told of hints wherever they
// are. With more, only those of the own availability zone are, or its schedulers: what
// is told grows with the square of the group otherwise, and prefixes have their homes
// in each zone.
const FullMeshLimit = 24

// relayCursorRange spreads which instance of another zone is told first.
const relayCursorRange = 1 << 16

// SendHints sends hints to other living entry instances, directly and once.
// Prefixes are hot for seconds and queues last for less, so that hints which ride
// on the pings of a second each would come too late to save anything. The caller
// keeps the budget.
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

// SendPlacementsToOtherZones sends placements to one instance of each zone that SendHints leaves
// out; it is to pass them on there. A prompt that one zone has read is
// fetched by the others then and not read once more in each, and little crosses
// zones.
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

// SendLoadsToOtherZones sends the schedulers of other zones what this instance has at
// endpoints. They too choose endpoints of this zone, and of any third.
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

// RemoteSchedulerCount counts the schedulers of other zones.
func (m *Membership) RemoteSchedulerCount() int { return len(m.remoteSchedulerAddresses()) }

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

// nextRelays picks an instance of each zone that SendHints leaves out, another one each
// time.
func (m *Membership) nextRelays() []netip.AddrPort {
	m.refreshDerived()
	m.relayCursor++
	var picked []netip.AddrPort
	for _, entries := range m.members.remoteGroups {
		picked = append(picked, entries[m.relayCursor%len(entries)].Address)
	}
	return picked
}

func (m *Membership) newHintDatagram() *rpc.Datagram {
	return &rpc.Datagram{Kind: datagramHints, Sender: &rpc.InstanceRow{Instance: string(m.self.Instance)}}
}

// sendHints sends one datagram to several, and says whether it could.
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

// HintReceiverCount is how many instances hints are told to.
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
			Limit: encodeRateLimit(l.Limit),
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

// receiveHints hands out the hints of a datagram.
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
		})
	}
}

func encodeRateLimit(l *RateLimit) *rpc.EndpointRateLimit {
	if l == nil {
		return nil
	}
	return &rpc.EndpointRateLimit{Limited: l.Limited, PerSecond: l.PerSecond, AgeMs: uint32(l.Age.Milliseconds())}
}

func decodeRateLimit(l *rpc.EndpointRateLimit) *RateLimit {
	if l == nil {
		return nil
	}
	return &RateLimit{Limited: l.GetLimited(), PerSecond: l.GetPerSecond(), Age: time.Duration(l.GetAgeMs()) * time.Millisecond}
}
