package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// crash ends a process, which starts again after a time, under its ID or another one.
func (s *simulation) crash(p *simProcess) {
	if p.gone() {
		return
	}
	p.goneAt = s.now
	if p.draining {
		return
	}
	s.after(time.Duration(500+s.random.IntN(3000))*time.Millisecond, func() {
		id := p.id
		if s.random.Float64() >= s.trouble.sameID {
			id = tables.EndpointID(fmt.Sprintf("e%02d-%d", p.address, s.starts))
		}
		s.startProcess(p.address, id, p.version).second = p.second
	})
}

// join starts an engine at a new address, with the newest versions.
func (s *simulation) join() {
	s.addresses++
	p := s.startProcess(s.addresses, tables.EndpointID(fmt.Sprintf("e%02d", s.addresses)), s.named[len(s.named)-1].version)
	if n := len(s.namedSecond); n > 0 {
		p.second = s.namedSecond[n-1].version
	}
}

// release has a process drain, and stop for good at the given time.
func (s *simulation) release(p *simProcess, at tables.Instant) {
	if s.dropsOrders[p.address] {
		return
	}
	p.draining = true
	s.after(at-s.now, func() { p.goneAt = cmp.Or(p.goneAt, s.now) })
}

// live returns the processes that run, by ID.
func (s *simulation) live() []*simProcess {
	live := slices.DeleteFunc(slices.Clone(s.processes), (*simProcess).gone)
	slices.SortFunc(live, func(a, b *simProcess) int { return a.address - b.address })
	return live
}

// draw adds troubles and new versions until the given time.
func (s *simulation) draw(until tables.Instant) {
	chance := func(perSecond float64) bool { return s.random.Float64() < perSecond*simStep.Seconds() }
	pick := func() *simProcess {
		live := s.live()
		if len(live) == 0 {
			return &simProcess{goneAt: s.now}
		}
		return live[s.random.IntN(len(live))]
	}
	duration := func() time.Duration { return time.Duration(500+s.random.IntN(4500)) * time.Millisecond }
	if s.now >= until {
		return
	}
	if chance(0.3) && len(s.named) < 8 {
		s.named = append(s.named, simVersion{version: uint64(len(s.named) + 1), ackedAt: s.now})
	}
	if s.trouble.late && chance(0.3) {
		end := s.now + duration()
		for _, p := range s.live() {
			p.lateUntil = max(p.lateUntil, end)
		}
	}
	if s.trouble.crash && chance(0.6) {
		s.crash(pick())
	}
	if p := pick(); s.trouble.silence && chance(0.8) {
		p.silentUntil = max(p.silentUntil, s.now+duration())
	}
	if p := pick(); s.trouble.shed && chance(0.8) {
		p.sheddingUntil = max(p.sheddingUntil, s.now+duration())
	}
	if p := pick(); s.trouble.odd && chance(0.8) {
		p.oddUntil, p.claimed = max(p.oddUntil, s.now+duration()), 1+s.random.Uint64N(uint64(len(s.named)+2))
	}
	if s.trouble.handover && chance(0.1) {
		s.newHolder()
	}
}
