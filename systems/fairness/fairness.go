// Package fairness schedules the organisations of a priority class by weighted
// fair queueing and enforces their limits. The scheduler is start-time fair
// queueing: it serves organisations with queued requests in the order of their
// start tags. A start tag is a virtual time that advances by the cost of each
// dispatched request divided by the weight. An organisation that was idle
// resumes at the current virtual time, so it gains no credit from idling. A
// burst of one organisation delays only that organisation's requests.
package fairness

import "github.com/carawaystile/carawaystile/tables"

// Flow is the index of an organisation within a Scheduler.
type Flow = tables.FlowIndex

// flow is the scheduling state of one organisation in one priority class.
type flow struct {
	weight float64
	// startTag is the virtual time at which the flow's next request is served.
	startTag float64
	queued   int
	// at is the flow's position in the heap of active flows while it has queued requests.
	at int
}

// Scheduler is a start-time fair queueing scheduler for the organisations of
// one priority class. It stores counts, not the requests themselves. The zero
// value has no flows. A Scheduler is not safe for concurrent use.
type Scheduler struct {
	flows       []flow
	virtualTime float64
	queued      int
	// active is a binary heap of the flows with queued requests, in the order in which they are
	// served.
	active []Flow
}

// SetWeight sets the weight of a flow, which must be above 0, and declares the
// flow if it is new.
func (s *Scheduler) SetWeight(f Flow, weight float64) {
	for int(f) >= len(s.flows) {
		s.flows = append(s.flows, flow{weight: 1})
	}
	s.flows[f].weight = max(weight, 1e-6)
}

// Enqueue records that a request of the flow was queued.
func (s *Scheduler) Enqueue(f Flow) {
	state := &s.flows[f]
	state.queued++
	s.queued++
	if state.queued == 1 {
		state.startTag = max(state.startTag, s.virtualTime)
		state.at = len(s.active)
		s.active = append(s.active, f)
		s.up(state.at)
	}
}

// Dequeue records that a request of the flow left the queue, for whatever
// reason.
func (s *Scheduler) Dequeue(f Flow) {
	state := &s.flows[f]
	state.queued--
	s.queued--
	if state.queued > 0 {
		return
	}
	at, last := state.at, len(s.active)-1
	s.swap(at, last)
	s.active = s.active[:last]
	if at < last {
		s.down(at)
		s.up(at)
	}
}

// Charge advances the start tag of a flow by the cost of a dispatched request
// divided by the flow's weight, and the virtual time to the smallest start tag
// of that flow, before the charge, and the active ones. Costs may have any unit,
// as long as all costs of one scheduler share it.
func (s *Scheduler) Charge(f Flow, cost float64) {
	state := &s.flows[f]
	start := max(state.startTag, s.virtualTime)
	s.virtualTime = max(s.virtualTime, min(start, s.minStartTag(start)))
	state.startTag = start + cost/state.weight
	if state.queued > 0 {
		s.down(state.at)
	}
}

// Refund takes back a charge for a request that did not run after all. The flow gains no credit by
// it: its start tag does not fall below the virtual time.
func (s *Scheduler) Refund(f Flow, cost float64) {
	state := &s.flows[f]
	state.startTag = max(state.startTag-cost/state.weight, min(state.startTag, s.virtualTime))
	if state.queued > 0 {
		s.up(state.at)
	}
}

// minStartTag returns the smallest start tag of the active flows, or upperBound
// if that is smaller or no flow is active.
func (s *Scheduler) minStartTag(upperBound float64) float64 {
	if len(s.active) == 0 {
		return upperBound
	}
	return min(upperBound, s.flows[s.active[0]].startTag)
}

// Next returns the active flow that is served next and whether there is one. It
// ignores flows for which skip returns true. It calls skip only for flows that
// precede all others for which skip has returned false so far.
func (s *Scheduler) Next(skip func(Flow) bool) (Flow, bool) {
	best, found := Flow(0), false
	s.next(0, &best, &found, skip)
	return best, found
}

// next searches the part of the heap below a position for a flow that precedes the best one.
func (s *Scheduler) next(at int, best *Flow, found *bool, skip func(Flow) bool) {
	if at >= len(s.active) || *found && !s.servedBefore(s.active[at], *best) {
		return
	}
	if !skip(s.active[at]) {
		*best, *found = s.active[at], true
		return
	}
	s.next(2*at+1, best, found, skip)
	s.next(2*at+2, best, found, skip)
}

// up and down restore the order of the heap after the flow at a position has moved forward or back.
func (s *Scheduler) up(at int) {
	for at > 0 {
		parent := (at - 1) / 2
		if !s.servedBefore(s.active[at], s.active[parent]) {
			return
		}
		s.swap(at, parent)
		at = parent
	}
}

func (s *Scheduler) down(at int) {
	for {
		first := at
		for child := 2*at + 1; child <= 2*at+2 && child < len(s.active); child++ {
			if s.servedBefore(s.active[child], s.active[first]) {
				first = child
			}
		}
		if first == at {
			return
		}
		s.swap(at, first)
		at = first
	}
}

func (s *Scheduler) swap(a, b int) {
	s.active[a], s.active[b] = s.active[b], s.active[a]
	s.flows[s.active[a]].at, s.flows[s.active[b]].at = a, b
}

// servedBefore reports whether flow a precedes flow b: by start tag, with ties
// broken by index, so that the result does not depend on the order of active.
func (s *Scheduler) servedBefore(a, b Flow) bool {
	if s.flows[a].startTag != s.flows[b].startTag {
		return s.flows[a].startTag < s.flows[b].startTag
	}
	return a < b
}

// IsIdle reports whether a flow has no queued requests and has not had more than its share, so that
// it may be forgotten. Flows that were not declared are idle.
func (s *Scheduler) IsIdle(f Flow) bool {
	return int(f) >= len(s.flows) || s.flows[f].queued == 0 && s.flows[f].startTag <= s.virtualTime
}

// QueueLength returns the number of queued requests of all flows.
func (s *Scheduler) QueueLength() int { return s.queued }

// ActiveFlows returns the number of flows with queued requests.
func (s *Scheduler) ActiveFlows() int { return len(s.active) }
