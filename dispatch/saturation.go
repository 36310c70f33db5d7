package dispatch

import (
	"math"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// urgentQueueFraction is the fraction of its target latency within which the most urgent
	// work has to be answered by the known queues; the rest covers what they do not show, such as
	// the network and loads that are not reported yet.
	urgentQueueFraction = 0.8
	// standingQueueFraction is the queue that any work may join, as a fraction of the shortest
	// target. It is half of urgentQueueFraction: a standing queue keeps engines busy between two
	// placements, and the most urgent work may still join it.
	standingQueueFraction = 0.4
	// minOtherShare is the share of the placed prefill tokens below which less urgent work is
	// placed beyond its limit.
	minOtherShare = 0.25
	// shareDecay is the time constant of the decaying sums of placed prefill tokens.
	shareDecay = 3 * time.Second
	// defaultTarget applies to routes without a latency target, as in package forward.
	defaultTarget = time.Second
)

// AdmissionEnabled reports whether requests to a service set UrgentTarget, so that the queues of
// its endpoints are bounded.
func (d *Dispatcher) AdmissionEnabled(service string) bool {
	return d.enabled(d.options.Capacity.Admission, service)
}

// placedShare holds the prefill tokens that this instance has placed at a service's endpoints
// of late, as exponentially decaying sums: those of the most urgent work and those of other work.
type placedShare struct {
	urgent, other float64
	at            tables.Instant
}

// decayTo decays the sums to a time.
func (s *placedShare) decayTo(now tables.Instant) {
	if now > s.at {
		factor := decay(now-s.at, shareDecay)
		s.urgent, s.other, s.at = s.urgent*factor, s.other*factor, now
	}
}

// belowMinimumShare reports whether less urgent work has had less than its minimum share.
func (s *placedShare) belowMinimumShare(now tables.Instant) bool {
	if s == nil {
		return true
	}
	s.decayTo(now)
	return s.other <= minOtherShare*(s.urgent+s.other)
}

// add adds the prefill tokens of a placed request.
func (s *placedShare) add(now tables.Instant, tokens float64, urgent bool) {
	s.decayTo(now)
	sum := s.sum(urgent)
	*sum += tokens
}

// release subtracts the decayed tokens of a request that did not run.
func (s *placedShare) release(now tables.Instant, tokens float64, urgent bool) {
	s.decayTo(now)
	sum := s.sum(urgent)
	*sum = max(0, *sum-tokens)
}

// sum returns the sum for the most urgent work or for other work.
func (s *placedShare) sum(urgent bool) *float64 {
	if urgent {
		return &s.urgent
	}
	return &s.other
}

// isMostUrgent reports whether no route to the request's service has a shorter target.
func (r *Request) isMostUrgent() bool {
	return r.Route.TargetLatency > 0 && r.Route.TargetLatency <= r.UrgentTarget
}

// target returns the request's target latency.
func (r *Request) target() time.Duration {
	if r.Route.TargetLatency > 0 {
		return r.Route.TargetLatency
	}
	return defaultTarget
}

// recordAdmitted counts a placed request towards its share of the service.
func (d *Dispatcher) recordAdmitted(now tables.Instant, r *Request, a *Attempt) {
	if r.UrgentTarget <= 0 || !a.isGeneration {
		return
	}
	share := d.placedShares[r.Service.Name]
	if share == nil {
		share = &placedShare{at: now}
		if d.placedShares == nil {
			d.placedShares = map[string]*placedShare{}
		}
		d.placedShares[r.Service.Name] = share
	}
	share.add(now, a.prefillTokens, r.isMostUrgent())
	a.countedShare, a.countedUrgent = share, r.isMostUrgent()
}

// releaseAdmitted takes back what recordAdmitted has counted, as far as it has not decayed, if the
// attempt has ended before its endpoint can have computed any of it: it reached no process, or the
// asking instance has cancelled it since the answer came too late.
func (a *Attempt) releaseAdmitted(now tables.Instant, outcome Outcome) {
	if a.countedShare == nil || a.responseStarted {
		return
	}
	switch outcome {
	case ConnectionRefused, ConnectTimeout, RelayUnavailable, RateLimited, Cancelled:
		a.countedShare.release(now, a.prefillTokens*decay(now-a.startedAt, shareDecay), a.countedUrgent)
	}
	a.countedShare = nil
}

// queueLimit is the queue that a request may join, in milliseconds: floor, or budget less the
// request's own prefill if that is more. A budget of 0 means that floor applies. It also holds
// the least excess of the endpoints that were passed over for their queues. The zero value
// limits nothing.
//
// The limit is applied in the pass over the endpoints that chooses one, so it applies to exactly
// the endpoints that are eligible there. Without it there, long prompts pile up at an endpoint
// that is cheap for another reason, such as one that holds parts of the prompt.
type queueLimit struct {
	floor, budget float64
	enabled       bool
	leastExcess   float64
	// leastTokens is the length of the prompt without the parts that other requests share.
	leastTokens float64
}

// excess returns by how much a queue is longer than the limit, in milliseconds.
func (l *queueLimit) excess(queue, ownPrefill float64) float64 {
	return min(queue-l.floor, queue-l.budget+ownPrefill)
}

// passesOver reports whether the endpoint cannot be chosen for its queue, nor shorten the named
// wait. It looks at nothing else of the endpoint: whether that is eligible, and which parts of a
// prompt it lacks, takes most of the time.
func (l *queueLimit) passesOver(now tables.Instant, row *endpointRow) bool {
	if !l.enabled {
		return false
	}
	queue := row.queuedPrefill(now)
	if queue == 0 {
		return false
	}
	rate := row.currentPrefillRate(now)
	least := l.excess(queue/rate, l.leastTokens/rate)
	return least > 0 && least >= l.leastExcess
}

// admits reports whether the request may join the queue of an evaluated candidate, and records
// the excess if not.
func (l *queueLimit) admits(now tables.Instant, c *candidate) bool {
	if !l.enabled || c.wait <= l.floor {
		return true
	}
	rate := c.row.currentPrefillRate(now)
	excess := l.excess(c.row.queuedPrefill(now)/rate, c.uncachedTokens/rate)
	if excess > 0 {
		l.leastExcess = min(l.leastExcess, excess)
	}
	return excess <= 0
}

// reason returns the reason for which a pass has found no candidate: Saturated if an endpoint has
// free capacity beyond a queue that is too long. It sets SaturatedFor then.
func (l *queueLimit) reason(r *Request, best *candidate, other RejectReason) RejectReason {
	if best.row != nil || !l.enabled || math.IsInf(l.leastExcess, 1) {
		return other
	}
	wait := time.Duration(l.leastExcess * float64(time.Millisecond))
	if r.SaturatedFor == 0 || wait < r.SaturatedFor {
		r.SaturatedFor = wait
	}
	return Saturated
}

// orSaturated returns Saturated if any pass over the endpoints has found them saturated, and else
// the reason of the last one.
func (r *Request) orSaturated(reason RejectReason) RejectReason {
	if r.SaturatedFor > 0 {
		return Saturated
	}
	return reason
}

// queueLimit returns the request's limit. The time that the request has waited counts against
// its target. A request that can no longer meet its target has the limit of less urgent work, so
// that it is not held back more than that.
func (d *Dispatcher) queueLimit(now tables.Instant, r *Request) queueLimit {
	if r.UrgentTarget <= 0 || r.Model == "" {
		return queueLimit{}
	}
	limit := queueLimit{floor: standingQueueFraction * milliseconds(r.UrgentTarget), enabled: true, leastExcess: math.Inf(1), leastTokens: r.unsharedTokens()}
	if r.isMostUrgent() || d.placedShares[r.Service.Name].belowMinimumShare(now) {
		limit.budget = urgentQueueFraction*milliseconds(r.target()) - r.waited(now)
	}
	return limit
}

// unsharedTokens returns the length of the prompt without the parts that other requests share.
func (r *Request) unsharedTokens() float64 { return float64(max(0, r.PromptTokens-r.sharedTokens())) }

// LeastPrefillTime returns the time that an engine of the request's service usually takes to
// compute the part of the prompt that no other request shares. The whole prefill takes at least
// as long.
func (d *Dispatcher) LeastPrefillTime(r *Request) time.Duration {
	if r.Model == "" {
		return 0
	}
	return time.Duration(r.unsharedTokens() / d.averagesOf(r.Service.Name).prefillRate() * float64(time.Millisecond))
}
