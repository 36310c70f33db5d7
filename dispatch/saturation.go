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

// owesOther reports whether less urgent work has had less than its minimum share.
func (s *placedShare) owesOther(now tables.Instant) bool {
	if s == nil {
		return true
	}
	s.decayTo(now)
	return s.other <= minOtherShare*(s.urgent+s.other)
}

// add adds the prefill tokens of a placed request.
func (s *placedShare) add(now tables.Instant, r *Request, tokens float64) {
	s.decayTo(now)
	if r.isMostUrgent() {
		s.urgent += tokens
		return
	}
	s.other += tokens
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
	share.add(now, r, a.prefillTokens)
}

// saturated reports whether the queue of every eligible endpoint with free capacity is longer
// than the request may join, and sets SaturatedFor. It is false if there is no such endpoint.
//
// It passes over the endpoints once and ends at the first that is not saturated. Of an endpoint
// whose queue is longer than another one's, no more is looked at than the queue: whether an
// endpoint is eligible, and which parts of a prompt it lacks, takes most of the time.
func (d *Dispatcher) saturated(now tables.Instant, r *Request, rows []*endpointRow, p path) bool {
	r.SaturatedFor = 0
	if r.UrgentTarget <= 0 || r.Model == "" {
		return false
	}
	limit := d.queueLimit(now, r)
	least := math.Inf(1)
	for _, row := range rows {
		excess := limit.excess(row.queuedPrefill(now)/row.currentPrefillRate(now), r.unsharedTokens()/row.currentPrefillRate(now))
		if excess >= least || !d.canTake(now, r, row, p) {
			continue
		}
		if len(r.SharedParts) > 0 && limit.budget > limit.floor {
			excess = limit.excess(row.queuedPrefill(now)/row.currentPrefillRate(now), d.ownPrefill(now, r, row, rows))
		}
		if excess <= 0 {
			return false
		}
		least = min(least, excess)
	}
	if math.IsInf(least, 1) {
		return false
	}
	r.SaturatedFor = time.Duration(least * float64(time.Millisecond))
	return true
}

// canTake reports whether the endpoint is eligible and has free capacity.
func (d *Dispatcher) canTake(now tables.Instant, r *Request, row *endpointRow, p path) bool {
	return !r.excludes(row.ID) && d.isEligible(now, r, row, p) && d.hasCapacity(now, r, row)
}

// queueLimit is the queue that a request may join, in milliseconds: floor, or budget less the
// request's own prefill if that is more. A budget of 0 means that floor applies.
type queueLimit struct{ floor, budget float64 }

// excess returns by how much a queue is longer than the limit, in milliseconds.
func (l queueLimit) excess(queue, ownPrefill float64) float64 {
	return min(queue-l.floor, queue-l.budget+ownPrefill)
}

// queueLimit returns the request's limit. The time that the request has waited counts against
// its target. A request that can no longer meet its target has the limit of less urgent work, so
// that it is not held back more than that.
func (d *Dispatcher) queueLimit(now tables.Instant, r *Request) queueLimit {
	limit := queueLimit{floor: standingQueueFraction * milliseconds(r.UrgentTarget)}
	if r.isMostUrgent() || d.placedShares[r.Service.Name].owesOther(now) {
		limit.budget = urgentQueueFraction*milliseconds(r.target()) - r.waited(now)
	}
	return limit
}

// ownPrefill returns the time that an endpoint takes to compute the parts of the prompt that it
// neither holds nor can fetch, in milliseconds.
func (d *Dispatcher) ownPrefill(now tables.Instant, r *Request, row *endpointRow, rows []*endpointRow) float64 {
	v := d.viewOf(now, r, row.Weights[r.Model], rows)
	_, endPart := v.sourceFor(now, row, v.cachedParts(row))
	return float64(r.PromptTokens-r.sharedPrefixTokens(endPart)) / row.currentPrefillRate(now)
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
