package membership

import (
	"fmt"
	"net/netip"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// maxRelays bounds the pings made for others at one time.
const maxRelays = 256

// DatagramError means that a datagram was dropped.
type DatagramError struct {
	From   netip.AddrPort
	Reason string
	Cause  error
}

// Error says whose it was and why.
func (e *DatagramError) Error() string {
	return fmt.Sprintf("datagram from %s dropped: %s", e.From, e.Reason)
}

// Unwrap gives the cause.
func (e *DatagramError) Unwrap() error { return e.Cause }

// Receive takes in a datagram. Datagrams may be lost, late, repeated and out of
// order.
func (m *Membership) Receive(now tables.Instant, from netip.AddrPort, payload []byte) (Output, error) {
	in := &rpc.Datagram{}
	if err := proto.Unmarshal(payload, in); err != nil {
		return Output{}, trace.Wrap(&DatagramError{From: from, Reason: "it cannot be read", Cause: err})
	}
	if in.GetSender().GetInstance() == "" {
		return Output{}, trace.Wrap(&DatagramError{From: from, Reason: "it has no sender"})
	}
	if in.GetSender().GetInstance() == string(m.self.Instance) {
		return Output{}, nil
	}
	m.now = now
	if in.GetKind() == datagramHints {
		// Hints come often and say nothing else of their sender.
		m.takeHints(in)
		return m.take(), nil
	}
	sender := Sender{Instance: tables.InstanceID(in.GetSender().GetInstance()), Address: from}
	switch in.GetKind() {
	case datagramSchedule:
		return Output{ScheduleMessage: in.GetSchedule(), From: sender}, nil
	case datagramUsage:
		return Output{UsageMessage: in.GetUsage(), From: sender}, nil
	}
	m.takeSender(now, from, in)
	m.answer(now, from, in)
	return m.take(), nil
}

// takeSender merges the sender's row and the rows that it passes on. What a
// dead member says of others counts for nothing: it cannot hear their defence.
// What it says of this instance does, or two that hold each other for dead would
// never find out.
func (m *Membership) takeSender(now tables.Instant, from netip.AddrPort, in *rpc.Datagram) {
	sender := decodeRow(in.GetSender())
	if !sender.Address.IsValid() {
		sender.Address = from
	}
	m.merge(now, sender)
	known := m.roster.byID[sender.Instance]
	dead := known == nil || known.State == Dead
	for _, encoded := range in.GetRows() {
		row := decodeRow(encoded)
		if row.Address.IsValid() && row.Instance != "" && (!dead || row.Instance == m.self.Instance) {
			m.merge(now, row)
		}
	}
	if dead {
		return
	}
	if sender.Revision > m.self.Revision && sender.Control.IsValid() {
		m.out.NewerRevisionAt = sender.Control
	}
}

func (m *Membership) answer(now tables.Instant, from netip.AddrPort, in *rpc.Datagram) {
	switch in.GetKind() {
	case datagramPing:
		m.send(from, datagramAck, in.GetSequence())
		if in.GetJoining() {
			m.sync(from)
		}
		m.tellIfDead(from, in)
	case datagramAck:
		m.acked(in.GetSequence())
		m.tellIfDead(from, in)
	case datagramPingRequest:
		m.pingFor(now, from, in)
	}
}

// tellIfDead lets a sender that is held for dead know, so that it can refute.
func (m *Membership) tellIfDead(from netip.AddrPort, in *rpc.Datagram) {
	if row := m.roster.byID[tables.InstanceID(in.GetSender().GetInstance())]; row != nil && row.State != Alive {
		d := m.datagram(datagramRows, 0)
		d.Rows = []*rpc.InstanceRow{encodeRow(row)}
		m.finish(from, d, []*member{})
	}
}

func (m *Membership) acked(sequence uint64) {
	p := &m.probes
	if p.target != nil && sequence == p.probe {
		p.acked = true
		return
	}
	if r, found := p.relays[sequence]; found {
		delete(p.relays, sequence)
		m.send(r.to, datagramAck, r.sequence)
	}
}

func (m *Membership) pingFor(now tables.Instant, from netip.AddrPort, in *rpc.Datagram) {
	var target netip.AddrPort
	if err := target.UnmarshalBinary(in.GetTarget()); err != nil || len(m.probes.relays) >= maxRelays {
		return
	}
	m.probes.sequence++
	m.probes.relays[m.probes.sequence] = relay{to: from, sequence: in.GetSequence(), at: now}
	m.send(target, datagramPing, m.probes.sequence)
}

// merge takes a row if it is newer than the one here: a later boot, or a later
// incarnation of it, or a worse state of the same incarnation.
func (m *Membership) merge(now tables.Instant, row Member) {
	if row.Instance == m.self.Instance {
		m.refute(row)
		return
	}
	known := m.roster.byID[row.Instance]
	if known == nil && row.State >= Dead {
		// Taken in, the row of one long dead would pass from instance to instance
		// for ever, each one keeping it for a while from when it heard.
		return
	}
	if known == nil {
		known = &member{Member: row, hash: hashOf(row.Instance)}
		m.roster.add(known)
		m.insert(row.Instance)
		m.setState(now, known, row.State)
		return
	}
	if row.Boot == known.Boot && row.Revision > known.Revision {
		known.Revision, known.Since = row.Revision, row.Since
	}
	if !newer(row, known.Member) {
		return
	}
	changed := row.State != known.State || row.Boot != known.Boot
	known.Member = row
	m.roster.counted = false
	if changed {
		m.setState(now, known, row.State)
	}
}

// insert puts a new member at a random place of the probe order.
func (m *Membership) insert(id tables.InstanceID) {
	order := m.probes.order
	at := m.random.IntN(len(order) + 1)
	order = append(order, id)
	copy(order[at+1:], order[at:])
	order[at] = id
	m.probes.order = order
}

func newer(row, known Member) bool {
	if row.Boot != known.Boot {
		return row.Boot > known.Boot
	}
	if row.Incarnation != known.Incarnation {
		return row.Incarnation > known.Incarnation
	}
	return row.State > known.State
}

// refute answers a belief that this instance is not alive with a later
// incarnation, which wins everywhere.
func (m *Membership) refute(row Member) {
	if row.Boot > m.self.Boot {
		// The wall clock went back since the last start, and so did the boot
		// number. Everyone would take this process for the older one.
		m.self.Boot = row.Boot + 1
		m.self.unsent = m.spread()
		return
	}
	if row.Boot != m.self.Boot || row.State == Alive || m.self.State == Left || row.Incarnation < m.self.Incarnation {
		return
	}
	m.self.Incarnation = row.Incarnation + 1
	m.self.unsent = m.spread()
}
