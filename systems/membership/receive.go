package membership

import (
	"fmt"
	"net/netip"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// maxIndirectProbes bounds the pings made for others at one time.
const maxIndirectProbes = 256

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
		m.receiveHints(in)
		return m.takeOutput(), nil
	}
	sender := Sender{Instance: tables.InstanceID(in.GetSender().GetInstance()), Address: from}
	switch in.GetKind() {
	case datagramSchedule:
		return Output{ScheduleMessage: in.GetSchedule(), From: sender}, nil
	case datagramUsage:
		return Output{UsageMessage: in.GetUsage(), From: sender}, nil
	}
	m.mergeSender(now, from, in)
	m.respond(now, from, in)
	return m.takeOutput(), nil
}

// mergeSender merges the sender's row and the rows that it passes on. What a
// dead member says of others counts for nothing: it cannot hear their defence.
// What it says of this instance does, or two that hold each other for dead would
// never find out.
func (m *Membership) mergeSender(now tables.Instant, from netip.AddrPort, in *rpc.Datagram) {
	sender := decodeRow(in.GetSender())
	if !sender.Address.IsValid() {
		sender.Address = from
	}
	m.merge(now, sender)
	known := m.members.byID[sender.Instance]
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
		m.output.NewerRevisionAt = sender.Control
	}
}

func (m *Membership) respond(now tables.Instant, from netip.AddrPort, in *rpc.Datagram) {
	switch in.GetKind() {
	case datagramPing:
		m.send(from, datagramAck, in.GetSequence())
		if in.GetJoining() {
			m.sendFullState(from)
		}
		m.notifyIfNotAlive(from, in)
	case datagramAck:
		m.handleAck(in.GetSequence())
		m.notifyIfNotAlive(from, in)
	case datagramPingRequest:
		m.handlePingRequest(now, from, in)
	}
}

// notifyIfNotAlive lets a sender that is held for dead know, so that it can refute.
func (m *Membership) notifyIfNotAlive(from netip.AddrPort, in *rpc.Datagram) {
	if row := m.members.byID[tables.InstanceID(in.GetSender().GetInstance())]; row != nil && row.State != Alive {
		d := m.newDatagram(datagramRows, 0)
		d.Rows = []*rpc.InstanceRow{encodeRow(row)}
		m.fillAndSend(from, d, []*member{})
	}
}

func (m *Membership) handleAck(sequence uint64) {
	p := &m.detector
	if p.target != nil && sequence == p.targetSequence {
		p.acked = true
		return
	}
	if r, found := p.indirectProbes[sequence]; found {
		delete(p.indirectProbes, sequence)
		m.send(r.requester, datagramAck, r.sequence)
	}
}

func (m *Membership) handlePingRequest(now tables.Instant, from netip.AddrPort, in *rpc.Datagram) {
	var target netip.AddrPort
	if err := target.UnmarshalBinary(in.GetTarget()); err != nil || len(m.detector.indirectProbes) >= maxIndirectProbes {
		return
	}
	m.detector.sequence++
	m.detector.indirectProbes[m.detector.sequence] = indirectProbe{requester: from, sequence: in.GetSequence(), sentAt: now}
	m.send(target, datagramPing, m.detector.sequence)
}

// merge takes a row if it is newer than the one here: a later boot, or a later
// incarnation of it, or a worse state of the same incarnation.
func (m *Membership) merge(now tables.Instant, row Member) {
	if row.Instance == m.self.Instance {
		m.refute(row)
		return
	}
	known := m.members.byID[row.Instance]
	if known == nil && row.State >= Dead {
		// Taken in, the row of one long dead would pass from instance to instance
		// for ever, each one keeping it for a while from when it heard.
		return
	}
	if known == nil {
		known = &member{Member: row, hash: hashOf(row.Instance)}
		m.members.add(known)
		m.insertProbeTarget(row.Instance)
		m.setState(now, known, row.State)
		return
	}
	if row.Boot == known.Boot && row.Revision > known.Revision {
		known.Revision, known.Since = row.Revision, row.Since
	}
	if !supersedes(row, known.Member) {
		return
	}
	changed := row.State != known.State || row.Boot != known.Boot
	known.Member = row
	m.members.derivedValid = false
	if changed {
		m.setState(now, known, row.State)
	}
}

// insertProbeTarget puts a new member at a random place of the probe order.
func (m *Membership) insertProbeTarget(id tables.InstanceID) {
	order := m.detector.probeOrder
	at := m.random.IntN(len(order) + 1)
	order = append(order, id)
	copy(order[at+1:], order[at:])
	order[at] = id
	m.detector.probeOrder = order
}

func supersedes(row, known Member) bool {
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
		m.self.sendsLeft = m.retransmitLimit()
		return
	}
	if row.Boot != m.self.Boot || row.State == Alive || m.self.State == Left || row.Incarnation < m.self.Incarnation {
		return
	}
	m.self.Incarnation = row.Incarnation + 1
	m.self.sendsLeft = m.retransmitLimit()
}
