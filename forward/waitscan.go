package forward

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// need holds lower bounds of what some waiting requests of one class need. The zero value is that of
// no requests.
type need struct {
	// sample is one of them, which may have left since; nil for none.
	sample *waiter
	// mixed is set if they name different models.
	mixed         bool
	prompt, total int
	target        time.Duration
}

// include lowers the bounds for a further request.
func (n *need) include(w *waiter) {
	total := w.prompt + w.output
	if n.sample == nil {
		n.sample, n.prompt, n.total, n.target = w, w.prompt, total, w.target
		return
	}
	n.mixed = n.mixed || w.model != n.sample.model
	n.prompt, n.total, n.target = min(n.prompt, w.prompt), min(n.total, total), min(n.target, w.target)
}

// merge lowers the bounds for further requests.
func (n *need) merge(other *need) {
	switch {
	case other.sample == nil:
	case n.sample == nil:
		*n = *other
	default:
		n.mixed = n.mixed || other.mixed || other.sample.model != n.sample.model
		n.prompt, n.total, n.target = min(n.prompt, other.prompt), min(n.total, other.total), min(n.target, other.target)
	}
}

// scan looks for the request that may ask next at a point in time.
type scan struct {
	queue *waitQueue
	now   tables.Instant
	// again is the earliest time at which one may ask that may not yet; 0 for none.
	again tables.Instant
	// limited is set if one may not ask only because the questions are used up.
	limited bool
}

// accepts reports whether a request may ask now.
func (s *scan) accepts(w *waiter) bool {
	if s.queue.waitsBehindRefused(w) {
		return false
	}
	at := max(w.notBefore, s.queue.limit.allowedAt(s.now, w.questionKind()))
	s.limited = s.limited || at > s.now && w.notBefore <= s.now
	if at > s.now && (s.again == 0 || at < s.again) {
		s.again = at
	}
	return at <= s.now
}

// allWait reports whether all requests with some needs wait behind one that could not be placed, so
// that they need not be looked at: with thousands of waiting requests most do. sameOrganisation is set
// if they are of one organisation.
func (s *scan) allWait(n *need, sameOrganisation bool) bool {
	if n.sample == nil {
		return false
	}
	if sameOrganisation && s.queue.held.has(n.sample) {
		return true
	}
	sameModel := 0
	for _, refused := range s.queue.refused {
		switch {
		case n.mixed || n.sample.model != refused.model:
		case n.prompt >= refused.prompt && n.total >= refused.prompt+refused.output && n.target >= refused.target:
			return true
		default:
			sameModel++
		}
	}
	return sameModel >= maxRefusalsPerRound
}

// waitsBehindRefused reports whether the request waits behind one that could not be placed in
// this round, or behind as many of its model as may fail in a round, or is held back.
func (q *waitQueue) waitsBehindRefused(w *waiter) bool {
	if q.held.has(w) {
		return true
	}
	sameModel := 0
	for _, refused := range q.refused {
		if w == refused || w.waitsBehind(refused) {
			return true
		}
		if w.model == refused.model {
			sameModel++
		}
	}
	return sameModel >= maxRefusalsPerRound
}

// waitsBehind reports whether the request needs no less than one that could not be placed: it
// names the same model and has no smaller prompt, no smaller need of memory and no shorter target.
func (w *waiter) waitsBehind(refused *waiter) bool {
	return w.model == refused.model && w.prompt >= refused.prompt && w.prompt+w.output >= refused.prompt+refused.output && w.target >= refused.target
}
