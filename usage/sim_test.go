package usage

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// sim is a deployment of entry instances in zones under virtual time. Messages take a
// while, and are lost between zones that are cut off from each other.
type sim struct {
	now     tables.Instant
	events  eventQueue
	random  *rand.Rand
	zones   []string
	members []*simInstance
	limits  map[Subject]Limit
	// named are the limits that instances know from elsewhere than the configuration.
	named map[Subject]Limit
	// cut says whether two zones cannot reach each other.
	cut func(a, b string) bool
	// admitted are the runs of each organisation, refused counts requests.
	admitted map[Subject][]run
	refused  map[Subject]int
	messages int
}

type run struct {
	at   tables.Instant
	cost int64
}

type simInstance struct {
	name       tables.InstanceID
	zone       string
	accountant *BucketOwner
	meters     map[Subject]*LocalLimiter
	down       bool
	life       uint64
}

const (
	nearDelay = 500 * time.Microsecond
	farDelay  = 2 * time.Millisecond
)

func newSim(instances int, limits map[Subject]Limit) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(1, 2)), zones: []string{"a", "b", "c"}, limits: limits,
		cut:      func(string, string) bool { return false },
		admitted: map[Subject][]run{}, refused: map[Subject]int{},
	}
	for i := range instances {
		m := &simInstance{name: tables.InstanceID(fmt.Sprintf("i%d", i)), zone: s.zones[i%len(s.zones)]}
		s.members = append(s.members, m)
		s.start(m)
	}
	s.after(0, s.report)
	return s
}

// start gives an instance a new life.
func (s *sim) start(m *simInstance) {
	m.life++
	m.accountant = NewBucketOwner(s.now, tables.Zone(m.zone), m.life)
	m.accountant.SetLimits(s.limits)
	m.meters = map[Subject]*LocalLimiter{}
	m.down = false
}

// lose ends an instance for good. The others of its zone notice.
func (s *sim) lose(m *simInstance) {
	m.down = true
	for _, other := range s.members {
		if other.zone == m.zone {
			other.accountant.NoteOwnerLost(s.now)
		}
	}
}

func (s *sim) setLimits(limits map[Subject]Limit) {
	s.limits = limits
	for _, m := range s.members {
		m.accountant.SetLimits(limits)
	}
}

func (s *sim) after(d time.Duration, f func()) {
	heap.Push(&s.events, event{at: s.now + d, order: len(s.events), do: f})
}

func (s *sim) run(until tables.Instant) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	s.now = until
}

// send delivers a message unless the way is cut.
func (s *sim) send(from, to *simInstance, deliver func()) {
	s.messages++
	delay := nearDelay
	if from.zone != to.zone {
		delay = farDelay
	}
	if s.cut(from.zone, to.zone) {
		return
	}
	life := to.life
	s.after(delay, func() {
		if !to.down && to.life == life {
			deliver()
		}
	})
}

func (s *sim) entries(zone string) []membership.EntryInstance {
	var all []membership.EntryInstance
	for _, m := range s.members {
		if m.zone == zone && !m.down {
			all = append(all, membership.EntryInstance{Instance: m.name})
		}
	}
	return all
}

func (s *sim) find(name tables.InstanceID) *simInstance {
	for _, m := range s.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (s *sim) accountantOf(zone string, org Subject) *simInstance {
	first, found := draw(org, s.entries(zone))
	if !found {
		return nil
	}
	return s.find(first.Instance)
}

func (m *simInstance) meter(org Subject) *LocalLimiter {
	if m.meters[org] == nil {
		m.meters[org] = &LocalLimiter{}
	}
	return m.meters[org]
}

// request has a caller ask an instance.
func (s *sim) request(m *simInstance, org Subject, cost int64) {
	if m.down {
		return
	}
	switch step, _ := m.meter(org).Check(s.now, cost); step {
	case Admit:
		s.admit(org, cost)
		s.debit(m, org, 0)
	case Reject:
		s.refused[org]++
	default:
		s.debit(m, org, cost)
	}
}

func (s *sim) admit(org Subject, cost int64) {
	s.admitted[org] = append(s.admitted[org], run{at: s.now, cost: cost})
}

// debit asks the accountant, or, if it is down, decides alone.
func (s *sim) debit(m *simInstance, org Subject, cost int64) {
	d := m.meter(org).NewDebit(s.now, org, cost)
	d.Limit = s.named[org]
	to := s.accountantOf(m.zone, org)
	if to == nil {
		return
	}
	s.send(m, to, func() {
		answer, ended := to.accountant.Debit(s.now, m.name, d)
		for _, holder := range ended {
			h := s.find(holder)
			s.send(to, h, func() { h.meter(org).RevokeLease(s.now) })
		}
		s.send(to, m, func() {
			m.meter(org).ApplyReply(s.now, d, answer)
			switch {
			case cost == 0:
			case answer.Admitted:
				s.admit(org, cost)
			default:
				s.refused[org]++
			}
		})
	})
}

// report passes accountants' reports on, as Server does.
func (s *sim) report() {
	for _, m := range s.members {
		if m.down {
			continue
		}
		for _, r := range m.accountant.DueReports(s.now) {
			for _, zone := range s.zones {
				if to := s.accountantOf(zone, r.Subject); to != nil && to != m {
					s.send(m, to, func() { to.accountant.ApplyReport(s.now, m.name, r) })
				}
			}
		}
	}
	s.after(reportCheck, s.report)
}

// load has callers of an organisation ask instances of some zones, perSecond units in all
// with requests of the given mean cost, from now until then.
func (s *sim) load(org Subject, perSecond float64, cost int64, until tables.Instant, zones ...string) {
	var targets []*simInstance
	for _, m := range s.members {
		for _, zone := range zones {
			if m.zone == zone {
				targets = append(targets, m)
			}
		}
	}
	var next func()
	next = func() {
		if s.now >= until {
			return
		}
		c := 1 + s.random.Int64N(2*cost)
		s.request(targets[s.random.IntN(len(targets))], org, c)
		gap := s.random.ExpFloat64() * float64(cost) / perSecond
		s.after(time.Duration(gap*float64(time.Second)), next)
	}
	s.after(0, next)
}

// loadOnes is load with requests of cost 1.
func (s *sim) loadOnes(subject Subject, perSecond float64, until tables.Instant) {
	var next func()
	next = func() {
		if s.now >= until {
			return
		}
		s.request(s.members[s.random.IntN(len(s.members))], subject, 1)
		s.after(time.Duration(s.random.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	s.after(0, next)
}

// most is the highest use within a sliding window, and used all of it since then.
func (s *sim) most(org Subject, window time.Duration) int64 {
	var sum, highest int64
	first := 0
	for _, r := range s.admitted[org] {
		sum += r.cost
		for s.admitted[org][first].at <= r.at-window {
			sum -= s.admitted[org][first].cost
			first++
		}
		highest = max(highest, sum)
	}
	return highest
}

func (s *sim) used(org Subject, since tables.Instant) int64 {
	var sum int64
	for _, r := range s.admitted[org] {
		if r.at >= since {
			sum += r.cost
		}
	}
	return sum
}

type event struct {
	at    tables.Instant
	order int
	do    func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
