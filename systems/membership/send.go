package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	datagramPing        = rpc.DatagramKind_DATAGRAM_PING
	datagramAck         = rpc.DatagramKind_DATAGRAM_ACK
	datagramPingRequest = rpc.DatagramKind_DATAGRAM_PING_REQUEST
	datagramRows        = rpc.DatagramKind_DATAGRAM_ROWS
	datagramHints       = rpc.DatagramKind_DATAGRAM_HINTS
	datagramSchedule    = rpc.DatagramKind_DATAGRAM_SCHEDULE
	datagramUsage       = rpc.DatagramKind_DATAGRAM_USAGE
	datagramStreams     = rpc.DatagramKind_DATAGRAM_STREAMS
	// fieldOverhead is the size that an embedded message adds to its content, in
	// bytes.
	fieldOverhead = 3
)

// send sends a datagram with recent updates and some unchanged rows.
func (m *Membership) send(to netip.AddrPort, kind rpc.DatagramKind, sequence uint64) {
	m.fillAndSend(to, m.newDatagram(kind, sequence), nil)
}

// sendPingRequest asks another instance to ping the target.
func (m *Membership) sendPingRequest(to netip.AddrPort, kind rpc.DatagramKind, sequence uint64, target netip.AddrPort) {
	d := m.newDatagram(kind, sequence)
	d.Target, _ = target.MarshalBinary()
	m.fillAndSend(to, d, nil)
}

// sendJoinPing sends a ping that also asks for the full state.
func (m *Membership) sendJoinPing(to netip.AddrPort, sequence uint64) {
	d := m.newDatagram(datagramPing, sequence)
	d.Joining = true
	m.fillAndSend(to, d, nil)
}

// sendRows sends the given rows only, as many as fit into one datagram, and returns
// how many fitted.
func (m *Membership) sendRows(to netip.AddrPort, rows []*member) int {
	return m.fillAndSend(to, m.newDatagram(datagramRows, 0), rows)
}

// sendFullState sends all rows to a joining instance, as far as the rate limit
// allows. An instance that receives none or few of them asks again, and gets the
// rest with the pings.
func (m *Membership) sendFullState(to netip.AddrPort) {
	rows := m.members.sorted
	for len(rows) > 0 && m.syncTokens >= float64(m.config.MaxDatagramBytes) {
		sent := m.sendRows(to, rows)
		if sent == 0 {
			return
		}
		rows = rows[sent:]
		last := m.output.Datagrams[len(m.output.Datagrams)-1]
		m.syncTokens -= float64(len(last.Payload))
	}
}

// newDatagram returns a datagram that holds only the row of this instance.
func (m *Membership) newDatagram(kind rpc.DatagramKind, sequence uint64) *rpc.Datagram {
	return &rpc.Datagram{Kind: kind, Sequence: sequence, Sender: encodeRow(m.self)}
}

// fillAndSend fills the datagram up to its maximum size and sends it. It returns
// how many of the given rows fitted. If rows is nil, it adds recent updates first
// and then some unchanged rows.
func (m *Membership) fillAndSend(to netip.AddrPort, d *rpc.Datagram, rows []*member) int {
	room := m.config.MaxDatagramBytes - proto.Size(d)
	added := 0
	if rows != nil {
		added = m.addRows(d, rows, &room)
	} else {
		m.addUpdates(d, &room)
		m.addAntiEntropy(d, &room)
	}
	payload, err := proto.Marshal(d)
	if err == nil {
		m.output.Datagrams = append(m.output.Datagrams, Datagram{To: to, Payload: payload})
	}
	return added
}

// addRows adds rows while they fit, and returns how many did. It skips withheld
// rows.
func (m *Membership) addRows(d *rpc.Datagram, rows []*member, room *int) int {
	for i, row := range rows {
		if row.withheld {
			continue
		}
		encoded := encodeRow(row)
		size := proto.Size(encoded) + fieldOverhead
		if size > *room {
			return i
		}
		*room -= size
		d.Rows = append(d.Rows, encoded)
	}
	return len(rows)
}

// addUpdates adds changed rows, those that were sent least often first.
func (m *Membership) addUpdates(d *rpc.Datagram, room *int) {
	var updates []*member
	for _, row := range m.members.sorted {
		if row.sendsLeft > 0 {
			updates = append(updates, row)
		}
	}
	slices.SortFunc(updates, func(a, b *member) int {
		return cmp.Or(cmp.Compare(b.sendsLeft, a.sendsLeft), cmp.Compare(a.Instance, b.Instance))
	})
	for _, row := range updates[:m.addRows(d, updates, room)] {
		row.sendsLeft--
	}
}

// addAntiEntropy adds a few rows in round-robin order, whether they changed or not.
func (m *Membership) addAntiEntropy(d *rpc.Datagram, room *int) {
	all := m.members.sorted
	for range min(antiEntropyRows, len(all)) {
		row := all[m.antiEntropyCursor%len(all)]
		if row != m.self && m.addRows(d, []*member{row}, room) == 0 {
			return
		}
		m.antiEntropyCursor++
	}
}

// encodeRow returns the wire format of a row.
func encodeRow(row *member) *rpc.InstanceRow {
	address, _ := row.Address.MarshalBinary()
	control, _ := row.Control.MarshalBinary()
	encoded := &rpc.InstanceRow{
		Instance:    string(row.Instance),
		Zone:        string(row.Zone),
		Roles:       uint32(row.Roles),
		Size:        uint32(row.Size),
		Address:     address,
		Control:     control,
		Boot:        row.Boot,
		Incarnation: row.Incarnation,
		State:       rpc.MemberState(row.State),
		Revision:    uint64(row.Revision),
		Loaded:      row.Loaded,
	}
	if !row.Since.IsZero() {
		encoded.Since = row.Since.UnixNano()
	}
	return encoded
}

// decodeRow decodes a row. An address that cannot be decoded is left invalid.
func decodeRow(encoded *rpc.InstanceRow) Member {
	row := Member{
		InstanceInfo: InstanceInfo{
			Instance: tables.InstanceID(encoded.GetInstance()),
			Zone:     tables.Zone(encoded.GetZone()),
			Roles:    Role(encoded.GetRoles()),
			Size:     int(encoded.GetSize()),
			Boot:     encoded.GetBoot(),
			Revision: tables.Revision(encoded.GetRevision()),
			Loaded:   encoded.GetLoaded(),
		},
		Incarnation: encoded.GetIncarnation(),
		State:       min(State(encoded.GetState()), Left),
	}
	if encoded.GetSince() != 0 {
		row.Since = time.Unix(0, encoded.GetSince())
	}
	_ = row.Address.UnmarshalBinary(encoded.GetAddress())
	_ = row.Control.UnmarshalBinary(encoded.GetControl())
	return row
}
