// Package fairness shares the endpoints between the organisations of a class.
// Each organisation with waiting requests is served in the order of its virtual
// time, which advances by the cost of what was dispatched over its weight
// (start-time fair queueing). An organisation that was idle comes back at the
// present virtual time, so that it gains nothing from having been idle, and a
// burst of one organisation delays its own requests, not those of others.
package fairness

import "github.com/carawaystile/carawaystile/tables"

// Flow is the number of an organisation within one Scheduler.
type Flow = tables.FlowIndex

// flow is the state of one organisation in one class.
type flow struct {
	weight float64
	// start is the virtual time at which its next request is served.
	start   float64
	waiting int
}

// Scheduler orders the organisations of one class. It is not safe for
// concurrent use.
type Scheduler struct {
	flows   []flow
	virtual float64
	waiting int
	// active lists the flows with waiting requests, in no order.
	active []Flow
}

// SetWeight declares a flow and its weight, which is above 0.
func (s *Scheduler) SetWeight(f Flow, weight float64) {
	for int(f) >= len(s.flows) {
		s.flows = append(s.flows, flow{weight: 1})
	}
	s.flows[f].weight = max(weight, 1e-6)
}

// Enqueue counts a request that begins to wait.
func (s *Scheduler) Enqueue(f Flow) {
	w := &s.flows[f]
	w.waiting++
	s.waiting++
	if w.waiting == 1 {
		w.start = max(w.start, s.virtual)
		s.active = append(s.active, f)
	}
}

// Dequeue counts a request that no longer waits, for whatever reason.
func (s *Scheduler) Dequeue(f Flow) {
	w := &s.flows[f]
	w.waiting--
	s.waiting--
	if w.waiting > 0 {
		return
	}
	for i, other := range s.active {
		if other == f {
			s.active[i] = s.active[len(s.active)-1]
			s.active = s.active[:len(s.active)-1]
			return
		}
	}
}

// Charge advances a flow by the cost of a dispatched request. The unit of cost
// is free, but must be one within a scheduler.
func (s *Scheduler) Charge(f Flow, cost float64) {
	w := &s.flows[f]
	start := max(w.start, s.virtual)
	s.virtual = max(s.virtual, min(start, s.least(start)))
	w.start = start + cost/w.weight
}

// least is the smallest start of the waiting flows, or otherwise if none waits.
func (s *Scheduler) least(otherwise float64) float64 {
	least := otherwise
	for _, f := range s.active {
		least = min(least, s.flows[f].start)
	}
	return least
}

// Next returns the waiting flow whose turn it is, passing over those for which
// skip holds.
func (s *Scheduler) Next(skip func(Flow) bool) (Flow, bool) {
	best, found := Flow(0), false
	for _, f := range s.active {
		if skip(f) {
			continue
		}
		if !found || s.before(f, best) {
			best, found = f, true
		}
	}
	return best, found
}

// before orders flows by start, and equal ones by number, so that the order
// does not depend on how the list came about.
func (s *Scheduler) before(a, b Flow) bool {
	if s.flows[a].start != s.flows[b].start {
		return s.flows[a].start < s.flows[b].start
	}
	return a < b
}

// QueueLength is the number of waiting requests.
func (s *Scheduler) QueueLength() int { return s.waiting }

// ActiveFlows is the number of flows with waiting requests.
func (s *Scheduler) ActiveFlows() int { return len(s.active) }
