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
}

// Scheduler is a start-time fair queueing scheduler for the organisations of
// one priority class. It stores counts, not the requests themselves. The zero
// value has no flows. A Scheduler is not safe for concurrent use.
type Scheduler struct {
	flows       []flow
	virtualTime float64
	queued      int
	// active lists the flows with queued requests, in no particular order.
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
		s.active = append(s.active, f)
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
	for i, other := range s.active {
		if other == f {
			s.active[i] = s.active[len(s.active)-1]
			s.active = s.active[:len(s.active)-1]
			return
		}
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
}

// Refund takes back a charge for a request that did not run after all. The flow gains no credit by
// it: its start tag does not fall below the virtual time.
func (s *Scheduler) Refund(f Flow, cost float64) {
	state := &s.flows[f]
	state.startTag = max(state.startTag-cost/state.weight, min(state.startTag, s.virtualTime))
}

// minStartTag returns the smallest start tag of the active flows, or upperBound
// if that is smaller or no flow is active.
func (s *Scheduler) minStartTag(upperBound float64) float64 {
	least := upperBound
	for _, f := range s.active {
		least = min(least, s.flows[f].startTag)
	}
	return least
}

// Next returns the active flow that is served next and whether there is one. It
// ignores flows for which skip returns true. It calls skip only for flows that
// precede all others for which skip has returned false so far.
func (s *Scheduler) Next(skip func(Flow) bool) (Flow, bool) {
	best, found := Flow(0), false
	for _, f := range s.active {
		if (!found || s.servedBefore(f, best)) && !skip(f) {
			best, found = f, true
		}
	}
	return best, found
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
