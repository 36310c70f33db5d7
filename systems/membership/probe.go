package membership

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/carawaystile/carawaystile/tables"
)

// probes is the state of the detection.
type probes struct {
	sequence uint64
	// order is whom to probe next, shuffled anew when it is used up, so that
	// each member is probed within a bounded time.
	order []tables.InstanceID
	// target is being probed under number probe since started.
	target  *member
	probe   uint64
	started tables.Instant
	helped  bool
	acked   bool
	// failed counts probes of different members that failed in a row.
	failed int
	// periods counts probes of this process.
	periods uint64
	// relays are pings made for others, by number.
	relays map[uint64]relay
}

// relay is for whom a ping was made.
type relay struct {
	to       netip.AddrPort
	sequence uint64
	at       tables.Instant
}

func newProbes() probes { return probes{relays: map[uint64]relay{}} }

// Tick moves the detection on. It is called several times within the probe
// timeout.
func (m *Membership) Tick(now tables.Instant) Output {
	elapsed := now - m.lastTick
	m.lastTick, m.now = now, now
	budget := float64(m.config.SyncBytesPerSecond)
	m.syncBytes = min(m.syncBytes+budget*elapsed.Seconds(), syncBurst*budget)
	m.expire(now)
	p := &m.probes
	switch {
	case p.periods == 0 || now-p.started >= m.config.ProbeInterval:
		m.endProbe(now)
		m.startProbe(now)
	case p.target != nil && !p.acked && !p.helped && now-p.started >= m.config.ProbeTimeout:
		m.askHelpers()
	}
	return m.take()
}

func (m *Membership) startProbe(now tables.Instant) {
	p := &m.probes
	p.periods++
	p.started = now
	p.acked, p.helped = false, false
	p.target = m.next()
	if p.target != nil {
		p.sequence++
		p.probe = p.sequence
		m.send(p.target.Address, datagramPing, p.probe)
	}
	m.tryLost()
}

// next returns the member to probe now, nil if there is none.
func (m *Membership) next() *member {
	p := &m.probes
	for range 2 {
		for len(p.order) > 0 {
			row := m.roster.byID[p.order[0]]
			p.order = p.order[1:]
			if row != nil && row != m.self && row.State <= Suspect {
				return row
			}
		}
		for _, row := range m.roster.order {
			p.order = append(p.order, row.Instance)
		}
		m.random.Shuffle(len(p.order), func(i, j int) { p.order[i], p.order[j] = p.order[j], p.order[i] })
	}
	return nil
}

// askHelpers lets others ping the target. The way between it and this instance
// may be lost, perhaps in one direction only, while it serves everyone else.
func (m *Membership) askHelpers() {
	p := &m.probes
	p.helped = true
	for _, helper := range m.pick(m.config.IndirectProbes, p.target.Instance) {
		m.sendAbout(helper.Address, datagramPingRequest, p.probe, p.target.Address)
	}
	// The first datagram may just have been lost.
	m.send(p.target.Address, datagramPing, p.probe)
}

// endProbe suspects a target that did not answer, also not by way of others.
//
// An instance that nobody answers is more likely the one that is cut off. It
// keeps its doubts to itself: otherwise one instance with a deaf network card
// would make all others defend themselves for as long as it lives.
func (m *Membership) endProbe(now tables.Instant) {
	p := &m.probes
	if p.target == nil {
		return
	}
	if p.acked {
		p.failed = 0
		return
	}
	p.failed++
	if p.target.State != Alive {
		return
	}
	m.setState(now, p.target, Suspect)
	p.target.private = m.alone()
}

// alone says whether nobody has answered for so long that this instance is more
// likely to be at fault than the others.
func (m *Membership) alone() bool { return m.probes.failed >= loneProbes }

// tryLost pings a seed that is no living member, or now and then a dead member,
// so that parts that were cut off from each other find together again.
func (m *Membership) tryLost() {
	known := map[netip.AddrPort]bool{m.self.Address: true}
	var lost []netip.AddrPort
	for _, row := range m.roster.order {
		if row.State <= Suspect {
			known[row.Address] = true
		} else if row.State == Dead && m.probes.periods%retryDead == 0 {
			lost = append(lost, row.Address)
		}
	}
	for _, seed := range m.seeds {
		if !known[seed] && !slices.Contains(lost, seed) {
			lost = append(lost, seed)
		}
	}
	if len(lost) == 0 {
		return
	}
	slices.SortFunc(lost, func(a, b netip.AddrPort) int { return cmp.Compare(a.String(), b.String()) })
	m.probes.sequence++
	m.sendJoining(lost[m.random.IntN(len(lost))], m.probes.sequence)
}

// expire turns suspicions that were not refuted into deaths, and forgets old
// dead.
func (m *Membership) expire(now tables.Instant) {
	suspectFor := m.suspectFor()
	var forgotten []tables.InstanceID
	for _, row := range m.roster.order {
		switch {
		case row == m.self:
		case row.State == Suspect && (now-row.changed >= suspectFor || m.gone[row.Address]):
			private := row.private && m.alone()
			m.setState(now, row, Dead)
			row.private = private
		case row.State >= Dead && now-row.changed >= m.config.DeadRetention:
			forgotten = append(forgotten, row.Instance)
		}
	}
	for _, id := range forgotten {
		m.roster.remove(id)
		m.version++
	}
	for sequence, r := range m.probes.relays {
		if now-r.at >= m.config.ProbeInterval {
			delete(m.probes.relays, sequence)
		}
	}
}

func (m *Membership) setState(now tables.Instant, row *member, state State) {
	row.State = state
	m.roster.counted = false
	row.changed = now
	row.unsent = m.spread()
	row.private = false
	m.version++
}
