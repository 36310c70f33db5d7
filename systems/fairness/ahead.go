package fairness

// Ahead returns the cost of the requests that are served before a new request of the flow, which
// need not be active. expected returns the cost of the requests that a flow has queued or will
// queue meanwhile, and queued that of the requests that it has queued, both in the unit of Charge.
// Requests that arrive later count if they are served earlier: the flow may have had more than
// its share already.
func (s *Scheduler) Ahead(f Flow, queued, expected func(Flow) float64) float64 {
	state := &s.flows[f]
	ahead := queued(f)
	start := max(state.startTag, s.virtualTime) + ahead/state.weight
	for i := range s.flows {
		other := &s.flows[i]
		if before := (start - max(other.startTag, s.virtualTime)) * other.weight; Flow(i) != f && before > 0 {
			ahead += min(expected(Flow(i)), before)
		}
	}
	return ahead
}
