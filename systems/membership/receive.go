package membership

import (
	"fmt"
	"net/netip"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// maxIndirectProbes is the maximum number of concurrent pings on behalf of others.
const maxIndirectProbes = 256

// DatagramError reports a datagram that was dropped.
type DatagramError struct {
	From   netip.AddrPort
	Reason string
	Cause  error
}

// Error returns the sender of the datagram and the reason for dropping it.
func (e *DatagramError) Error() string {
	return fmt.Sprintf("datagram from %s dropped: %s", e.From, e.Reason)
}

// Unwrap returns the cause.
func (e *DatagramError) Unwrap() error { return e.Cause }

// Receive processes a datagram. Datagrams may be lost, delayed, duplicated and
// reordered.
func (m *Membership) Receive(now tables.Instant, from netip.AddrPort, payload []byte) (Output, error) {
	in := &rpc.Datagram{}
	if err := proto.Unmarshal(payload, in); err != nil {
		return Output{}, trace.Wrap(&DatagramError{From: from, Reason: "payload cannot be decoded", Cause: err})
	}
	if in.GetSender().GetInstance() == "" {
		return Output{}, trace.Wrap(&DatagramError{From: from, Reason: "no sender"})
	}
	if in.GetSender().GetInstance() == string(m.self.Instance) {
		return Output{}, nil
	}
	m.now = now
	if in.GetKind() == datagramHints {
		// Hints are frequent and carry nothing else about their sender.
		m.receiveHints(in)
		return m.takeOutput(), nil
	}
	sender := Sender{Instance: tables.InstanceID(in.GetSender().GetInstance()), Address: from}
	switch in.GetKind() {
	case datagramSchedule:
		return Output{ScheduleMessage: in.GetSchedule(), From: sender}, nil
	case datagramUsage:
		return Output{UsageMessage: in.GetUsage(), From: sender}, nil
	case datagramStreams:
		return Output{StreamOrigins: in.GetStreams(), From: sender}, nil
	}
	m.mergeSender(now, from, in)
	m.respond(now, from, in)
	return m.takeOutput(), nil
}

// mergeSender merges the sender's row and the rows that it passes on. Rows from a
// dead sender are ignored, since it cannot receive refutations. Its rows about this
// instance are the exception: without them, two instances that consider each other
// dead would never find out.
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

// respond sends the response to a ping, an acknowledgement or a ping request.
func (m *Membership) respond(now tables.Instant, from netip.AddrPort, in *rpc.Datagram) {
	switch in.GetKind() {
	case datagramPing:
		if in.GetJoining() && m.discoversFast(now) {
			m.answerQuery(now, from, in)
		} else {
			m.send(from, datagramAck, in.GetSequence())
			if in.GetJoining() {
				m.sendFullState(from)
			}
		}
		m.notifyIfNotAlive(from, in)
	case datagramAck:
		m.handleAck(in.GetSequence())
		m.notifyIfNotAlive(from, in)
	case datagramPingRequest:
		m.handlePingRequest(now, from, in)
	}
}

// notifyIfNotAlive tells a sender that it is suspected or considered dead, so that
// it can refute this.
func (m *Membership) notifyIfNotAlive(from netip.AddrPort, in *rpc.Datagram) {
	if row := m.members.byID[tables.InstanceID(in.GetSender().GetInstance())]; row != nil && row.State != Alive {
		d := m.newDatagram(datagramRows, 0)
		d.Rows = []*rpc.InstanceRow{encodeRow(row)}
		m.fillAndSend(from, d, []*member{})
	}
}

// handleAck completes the current probe, or forwards the acknowledgement to the
// requester of an indirect probe.
func (m *Membership) handleAck(sequence uint64) {
	d := &m.detector
	if d.target != nil && sequence == d.targetSequence {
		d.acked = true
		return
	}
	if r, found := d.indirectProbes[sequence]; found {
		delete(d.indirectProbes, sequence)
		m.send(r.requester, datagramAck, r.sequence)
	}
}

// handlePingRequest pings the target on behalf of the sender.
func (m *Membership) handlePingRequest(now tables.Instant, from netip.AddrPort, in *rpc.Datagram) {
	var target netip.AddrPort
	if err := target.UnmarshalBinary(in.GetTarget()); err != nil || len(m.detector.indirectProbes) >= maxIndirectProbes {
		return
	}
	m.detector.sequence++
	m.detector.indirectProbes[m.detector.sequence] = indirectProbe{requester: from, sequence: in.GetSequence(), sentAt: now}
	m.send(target, datagramPing, m.detector.sequence)
}

// merge applies a row if it supersedes the known one: a later boot, or a later
// incarnation of the same boot, or a later state of the same incarnation.
func (m *Membership) merge(now tables.Instant, row Member) {
	if row.Instance == m.self.Instance {
		m.refute(row)
		return
	}
	known := m.members.byID[row.Instance]
	if known == nil && row.State >= Dead {
		// If unknown dead members were added, their rows would circulate for ever: each
		// instance would keep them for a while from the time it learned of them.
		return
	}
	if known == nil {
		known = &member{Member: row, hash: hashOf(row.Instance)}
		m.members.add(known)
		m.lastDiscovered = now
		m.fast.learned++
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
	loadChanged := row.Loaded != known.Loaded
	known.Member = row
	m.members.derivedValid = false
	if loadChanged {
		known.sendsLeft = m.retransmitLimit()
	}
	if changed {
		m.setState(now, known, row.State)
	}
}

// insertProbeTarget adds a new member at a random position of the probe order.
func (m *Membership) insertProbeTarget(id tables.InstanceID) {
	order := m.detector.probeOrder
	at := m.random.IntN(len(order) + 1)
	order = append(order, id)
	copy(order[at+1:], order[at:])
	order[at] = id
	m.detector.probeOrder = order
}

// supersedes reports whether a row takes precedence over the known one.
func supersedes(row, known Member) bool {
	if row.Boot != known.Boot {
		return row.Boot > known.Boot
	}
	if row.Incarnation != known.Incarnation {
		return row.Incarnation > known.Incarnation
	}
	return row.State > known.State
}

// refute answers a report that this instance is not alive with a later incarnation,
// which takes precedence everywhere.
func (m *Membership) refute(row Member) {
	if row.Boot > m.self.Boot {
		// The wall clock was set back between two starts, and the boot number went
		// back with it. Without a higher boot number, every other instance would
		// take this process for the earlier one.
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
