package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// With Options.FastDiscovery, an instance that starts queries all its seeds at once and then one
// member after the other. Each query and each answer carries rows, those that the sender has sent
// least often first, so that the instances of a group that starts at once pass on what they have
// just learned. Instances that have been running for longer than discoveryPeriod answer as without
// the option.

const (
	// fastDiscoveryInterval is the time between two queries while they bring new rows, and
	// maxDiscoveryInterval the longest time between two. Each query that brings few doubles it.
	fastDiscoveryInterval = 50 * time.Millisecond
	maxDiscoveryInterval  = 200 * time.Millisecond
	// firstQueryDelay is the time after which the first member is queried: the seeds have answered.
	firstQueryDelay = 20 * time.Millisecond
	// discoveryGain is the number of new rows, as a fraction of the known ones, from which on the
	// rows that have been learned since a query are not few.
	discoveryGain = 0.03
	// maxDiscoveryDatagrams is the maximum number of datagrams of a query or an answer.
	// discoveryFraction is the fraction of the known rows that each of them carries.
	maxDiscoveryDatagrams = 4
	discoveryFraction     = 0.2
	// rowBytes is the approximate size of a row in a datagram.
	rowBytes = 80
	// maxRowPushes is how many datagrams have carried a row before it is left out of queries, and
	// maxRowSends before it is left out of answers of more than minAnswerRows.
	maxRowPushes  = 2
	maxRowSends   = 5
	minAnswerRows = 10
	// busyAnswerRows is how many rows an answer carries that exceeds the limit below. They are
	// random, so that the instances that start last query different members.
	busyAnswerRows = 2
	// discoveryAnswersPerSecond and discoveryAnswerBurst limit the answers with more rows. All
	// instances query the same seeds.
	discoveryAnswersPerSecond = 40
	discoveryAnswerBurst      = 5
)

// fastDiscovery is the state of discovery with Options.FastDiscovery.
type fastDiscovery struct {
	enabled bool
	// seedsQueried is set once the seeds have been queried.
	seedsQueried bool
	// interval is the current time between two queries, and nextQuery when the next one is due.
	interval  time.Duration
	nextQuery tables.Instant
	// learned counts the rows learned since the last query.
	learned int
	// queried is set once another instance has sent a query: then others are starting too.
	queried bool
	// answers is the level of the token bucket for answers, as of answersAt.
	answers   float64
	answersAt tables.Instant
}

// Discover sends the queries of Options.FastDiscovery that are due. It returns the time after which
// the caller has to call it again, 0 for never.
func (m *Membership) Discover(now tables.Instant) (out Output, again time.Duration) {
	f := &m.fast
	if !m.discoversFast(now) {
		return Output{}, 0
	}
	m.now = now
	switch {
	case !f.seedsQueried:
		f.seedsQueried = true
		f.interval = fastDiscoveryInterval
		for _, seed := range m.seeds {
			m.query(seed, nil)
		}
		return m.takeOutput(), firstQueryDelay
	case m.learnsFast():
		f.interval = fastDiscoveryInterval
		m.queryMember(now)
	case now >= f.nextQuery:
		f.interval = min(2*f.interval, maxDiscoveryInterval)
		m.queryMember(now)
	}
	return m.takeOutput(), fastDiscoveryInterval
}

// learnsFast reports whether the instance has learned so many rows since the last query that it
// queries without a longer interval, or knows no other instance yet.
func (m *Membership) learnsFast() bool {
	known := len(m.members.sorted)
	return known == 1 || float64(m.fast.learned) >= discoveryGain*float64(known)
}

// discoversFast reports whether the instance has the option and has started within discoveryPeriod.
func (m *Membership) discoversFast(now tables.Instant) bool {
	return m.fast.enabled && now < discoveryPeriod
}

// queryMember queries a random member unless the instance has learned of none for discoveryQuiet.
func (m *Membership) queryMember(now tables.Instant) {
	f := &m.fast
	f.learned = 0
	f.nextQuery = now + f.interval
	if now-m.lastDiscovered > discoveryQuiet {
		return
	}
	to, found := m.discoveryTarget()
	if !found {
		return
	}
	var rows []*member
	if f.queried {
		rows = m.discoveryRows(nil)
		sortLeastSent(rows)
		rows = rows[:countBelow(rows, maxRowPushes)]
	}
	m.query(to, rows)
}

// discoveryTarget returns the address of a random member, one that is not a seed if there is any,
// or of a random seed if no member is known.
func (m *Membership) discoveryTarget() (to netip.AddrPort, found bool) {
	var members, seeds []netip.AddrPort
	for _, row := range m.members.sorted {
		switch {
		case row == m.self || row.State > Suspect:
		case slices.Contains(m.seeds, row.Address):
			seeds = append(seeds, row.Address)
		default:
			members = append(members, row.Address)
		}
	}
	for _, addresses := range [][]netip.AddrPort{members, seeds, m.seeds} {
		if len(addresses) > 0 {
			return addresses[m.discoveryRandom.IntN(len(addresses))], true
		}
	}
	return netip.AddrPort{}, false
}

// query asks another instance for its rows, and sends it the given ones.
func (m *Membership) query(to netip.AddrPort, rows []*member) {
	m.detector.sequence++
	d := m.newDatagram(datagramPing, m.detector.sequence)
	d.Joining = true
	m.sendDiscovery(to, d, rows, m.discoveryDatagrams())
}

// answerQuery answers a query with rows that it did not contain.
func (m *Membership) answerQuery(now tables.Instant, from netip.AddrPort, in *rpc.Datagram) {
	f := &m.fast
	f.queried = true
	f.answers = min(f.answers+discoveryAnswersPerSecond*(now-f.answersAt).Seconds(), discoveryAnswerBurst)
	f.answersAt = now
	known := map[string]bool{in.GetSender().GetInstance(): true}
	for _, row := range in.GetRows() {
		known[row.GetInstance()] = true
	}
	rows := m.discoveryRows(known)
	if f.answers >= 1 {
		f.answers--
		sortLeastSent(rows)
		rows = rows[:min(len(rows), max(minAnswerRows, countBelow(rows, maxRowSends)))]
	} else {
		rows = rows[:min(len(rows), busyAnswerRows)]
	}
	m.sendDiscovery(from, m.newDatagram(datagramAck, in.GetSequence()), rows, m.discoveryDatagrams())
}

// discoveryDatagrams returns how many datagrams a query or an answer may have.
func (m *Membership) discoveryDatagrams() int {
	bytes := discoveryFraction * rowBytes * float64(len(m.members.sorted))
	return min(maxDiscoveryDatagrams, 1+int(bytes)/m.config.MaxDatagramBytes)
}

// discoveryRows returns the rows of living members except those in known, in random order.
func (m *Membership) discoveryRows(known map[string]bool) []*member {
	var rows []*member
	for _, row := range m.members.sorted {
		if row != m.self && row.State <= Suspect && !row.withheld && !known[string(row.Instance)] {
			rows = append(rows, row)
		}
	}
	m.discoveryRandom.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
	return rows
}

// countBelow returns how many of the rows have been sent less often than limit.
func countBelow(rows []*member, limit int) int {
	at, _ := slices.BinarySearchFunc(rows, limit, func(row *member, limit int) int { return cmp.Compare(row.discoverySends, limit) })
	return at
}

// sortLeastSent moves the rows that have been sent least often to the front.
func sortLeastSent(rows []*member) {
	slices.SortStableFunc(rows, func(a, b *member) int { return cmp.Compare(a.discoverySends, b.discoverySends) })
}

// sendDiscovery sends a datagram with as many of the rows as fit, and more rows in further
// datagrams up to the given number of datagrams.
func (m *Membership) sendDiscovery(to netip.AddrPort, d *rpc.Datagram, rows []*member, datagrams int) {
	for range datagrams {
		sent := m.fillAndSend(to, d, append([]*member{}, rows...))
		for _, row := range rows[:sent] {
			row.discoverySends++
		}
		if rows = rows[sent:]; len(rows) == 0 || sent == 0 {
			return
		}
		d = m.newDatagram(datagramRows, 0)
	}
}
