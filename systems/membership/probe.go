package membership

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/carawaystile/carawaystile/tables"
)

// failureDetector is the state of the SWIM failure detector.
type failureDetector struct {
	sequence uint64
	// probeOrder lists the members to probe next. It is reshuffled when it is used
	// up, so that each member is probed within a bounded time.
	probeOrder []tables.InstanceID
	// target is the member being probed since startedAt, with sequence number
	// targetSequence.
	target         *member
	targetSequence uint64
	startedAt      tables.Instant
	indirectSent   bool
	acked          bool
	// consecutiveFailures counts the probes of different members that failed in a
	// row.
	consecutiveFailures int
	// rounds counts the probes of this process.
	rounds uint64
	// indirectProbes holds the pings sent on behalf of others, by sequence number.
	indirectProbes map[uint64]indirectProbe
}

// indirectProbe is a ping sent on behalf of another instance, the requester.
// sequence is the requester's sequence number.
type indirectProbe struct {
	requester netip.AddrPort
	sequence  uint64
	sentAt    tables.Instant
}

// newFailureDetector returns a failure detector that has not probed yet.
func newFailureDetector() failureDetector {
	return failureDetector{indirectProbes: map[uint64]indirectProbe{}}
}

// Tick advances the protocol. The caller invokes it several times per probe
// timeout.
func (m *Membership) Tick(now tables.Instant) Output {
	elapsed := now - m.lastTick
	m.lastTick, m.now = now, now
	budget := float64(m.config.SyncBytesPerSecond)
	m.syncTokens = min(m.syncTokens+budget*elapsed.Seconds(), syncBurstSeconds*budget)
	m.expire(now)
	m.discover(now)
	d := &m.detector
	switch {
	case d.rounds == 0 || now-d.startedAt >= m.config.ProbeInterval:
		m.endProbe(now)
		m.startProbe(now)
	case d.target != nil && !d.acked && !d.indirectSent && now-d.startedAt >= m.config.ProbeTimeout:
		m.sendPingRequests()
	}
	return m.takeOutput()
}

// discover asks members for their rows often during the first seconds of the process. After a
// failure of all instances nobody knows the group, and one exchange a second takes longer than
// five seconds to spread 65 rows. Meanwhile instances choose different owners of shared state.
func (m *Membership) discover(now tables.Instant) {
	if m.fast.enabled || now >= discoveryPeriod || now < m.nextDiscovery || now-m.lastDiscovered > discoveryQuiet {
		return
	}
	m.nextDiscovery = now + discoveryInterval
	var live []*member
	for _, row := range m.members.sorted {
		if row != m.self && row.State <= Suspect {
			live = append(live, row)
		}
	}
	if len(live) > 0 {
		m.detector.sequence++
		m.sendJoinPing(live[m.discoveryRandom.IntN(len(live))].Address, m.detector.sequence)
	}
}

// startProbe pings the next target, and a member or seed that cannot be reached.
func (m *Membership) startProbe(now tables.Instant) {
	d := &m.detector
	d.rounds++
	d.startedAt = now
	d.acked, d.indirectSent = false, false
	d.target = m.nextTarget()
	if d.target != nil {
		d.sequence++
		d.targetSequence = d.sequence
		m.send(d.target.Address, datagramPing, d.targetSequence)
	}
	m.probeUnreachable()
}

// nextTarget returns the next member to probe, nil if there is none.
func (m *Membership) nextTarget() *member {
	d := &m.detector
	for range 2 {
		for len(d.probeOrder) > 0 {
			row := m.members.byID[d.probeOrder[0]]
			d.probeOrder = d.probeOrder[1:]
			if row != nil && row != m.self && row.State <= Suspect {
				return row
			}
		}
		for _, row := range m.members.sorted {
			d.probeOrder = append(d.probeOrder, row.Instance)
		}
		m.random.Shuffle(len(d.probeOrder), func(i, j int) { d.probeOrder[i], d.probeOrder[j] = d.probeOrder[j], d.probeOrder[i] })
	}
	return nil
}

// sendPingRequests asks other members to ping the target. The path between the
// target and this instance may be lost, perhaps in one direction only, while the
// target serves all other instances.
func (m *Membership) sendPingRequests() {
	d := &m.detector
	d.indirectSent = true
	for _, helper := range m.randomLiveMembers(m.config.IndirectProbes, d.target.Instance) {
		m.sendPingRequest(helper.Address, datagramPingRequest, d.targetSequence, d.target.Address)
	}
	// The loss may have hit only the first ping.
	m.send(d.target.Address, datagramPing, d.targetSequence)
}

// endProbe suspects a target that acknowledged neither a direct nor an indirect
// ping.
//
// An instance whose probes all fail is more likely to be isolated itself. It
// withholds its suspicions: otherwise one instance whose network card receives
// nothing would make all others refute suspicions for as long as it lives.
func (m *Membership) endProbe(now tables.Instant) {
	d := &m.detector
	if d.target == nil {
		return
	}
	if d.acked {
		d.consecutiveFailures = 0
		return
	}
	d.consecutiveFailures++
	if d.target.State != Alive {
		return
	}
	m.setState(now, d.target, Suspect)
	d.target.withheld = m.isLikelyIsolated()
}

// isLikelyIsolated reports whether so many probes failed in a row that this
// instance is more likely to be at fault than the others.
func (m *Membership) isLikelyIsolated() bool {
	return m.detector.consecutiveFailures >= isolationThreshold
}

// probeUnreachable pings a seed that is not a living member or, every
// deadProbeInterval periods, a dead member, so that the parts of the group rejoin
// after a network partition.
func (m *Membership) probeUnreachable() {
	known := map[netip.AddrPort]bool{m.self.Address: true}
	var lost []netip.AddrPort
	for _, row := range m.members.sorted {
		if row.State <= Suspect {
			known[row.Address] = true
		} else if row.State == Dead && m.detector.rounds%deadProbeInterval == 0 {
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
	m.detector.sequence++
	m.sendJoinPing(lost[m.random.IntN(len(lost))], m.detector.sequence)
}

// expire declares members dead whose suspicion was not refuted in time. It removes
// members that have been dead or left for Config.DeadRetention, and indirect probes
// that were not acknowledged within a protocol period.
func (m *Membership) expire(now tables.Instant) {
	timeout := m.suspicionTimeout()
	var expired []tables.InstanceID
	for _, row := range m.members.sorted {
		switch {
		case row == m.self:
		case row.State == Suspect && (now-row.stateChangedAt >= timeout || m.departed[row.Address]):
			withheld := row.withheld && m.isLikelyIsolated()
			m.setState(now, row, Dead)
			row.withheld = withheld
		case row.State >= Dead && now-row.stateChangedAt >= m.config.DeadRetention:
			expired = append(expired, row.Instance)
		}
	}
	for _, id := range expired {
		m.members.remove(id)
		m.version++
	}
	for sequence, r := range m.detector.indirectProbes {
		if now-r.sentAt >= m.config.ProbeInterval {
			delete(m.detector.indirectProbes, sequence)
		}
	}
}

// setState records a state change and disseminates it as an update.
func (m *Membership) setState(now tables.Instant, row *member, state State) {
	row.State = state
	m.members.derivedValid = false
	row.stateChangedAt = now
	row.sendsLeft = m.retransmitLimit()
	row.withheld = false
	m.version++
}
