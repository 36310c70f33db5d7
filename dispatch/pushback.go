package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/dialect"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// Server pushback: an endpoint that rejects a request may request a back-off from the
// sender. An endpoint requests it of a single instance and may still accept requests of
// others. So the pushback binds the instance that was asked; other instances take it as a
// sign of overload and prefer other endpoints.

const (
	maxPushback = dialect.MaxRetryAfter
	// pushbackJitterFraction is the largest random extension of a pushback, as a fraction of it, and
	// maxPushbackJitter its limit. Instances that were pushed back together return spread out.
	pushbackJitterFraction = 0.1
	maxPushbackJitter      = 500 * time.Millisecond
	// minPeerExtension is by how much a report must extend the pushback of other instances to
	// count as a new one instead of as a repetition.
	minPeerExtension = 250 * time.Millisecond
	// probeSlotsDivisor divides an endpoint's slots into the number of requests that an
	// instance may have there at once after a pushback, until the endpoint has answered one.
	probeSlotsDivisor = 16
	// peerPushbackCost is the cost of an endpoint that has pushed back another instance, in
	// milliseconds.
	peerPushbackCost = failureCost
	// MaxAvoidedEndpoints bounds the endpoints that a request to a scheduler names as pushing
	// back.
	MaxAvoidedEndpoints = 24
	// MaxNamedEndpoints bounds the endpoints that a Rationale names, for logs.
	MaxNamedEndpoints = 8
)

// pushback is the pushback of one endpoint.
type pushback struct {
	// until is when the back-off of this instance ends.
	until tables.Instant
	// peersUntil is when the last back-off of the other instances ends, by their reports.
	peersUntil tables.Instant
	// unproven is set from a pushback on until the endpoint has answered an attempt that
	// began after it, at learnedAt or later.
	unproven  bool
	learnedAt tables.Instant
}

// pushedBack reports whether this instance must not send requests to the endpoint.
func (p *pushback) pushedBack(now tables.Instant) bool { return now < p.until }

// pushedBackAny reports whether some instance must not send requests to the endpoint.
func (p *pushback) pushedBackAny(now tables.Instant) bool {
	return now < max(p.until, p.peersUntil)
}

func (p *pushback) recordPeerPushback(now tables.Instant, d time.Duration) {
	if now+d > p.peersUntil+minPeerExtension {
		p.unproven, p.learnedAt = true, now
	}
	p.peersUntil = max(p.peersUntil, now+d)
}

// recordAnswered records that the endpoint runs an attempt that began at the given time.
func (p *pushback) recordAnswered(startedAt tables.Instant) {
	if startedAt >= p.learnedAt {
		p.unproven = false
	}
}

// RecordPushback records that the attempt's endpoint has requested a back-off from this
// instance. It returns the time that applies, which is bounded, and whether the endpoint
// accepted requests before.
func (d *Dispatcher) RecordPushback(now tables.Instant, a *Attempt, after time.Duration) (applied time.Duration, began bool) {
	return d.recordPushback(now, a.row, after)
}

// RecordCallPushback is RecordPushback for an endpoint that has rejected a call other than an
// attempt.
func (d *Dispatcher) RecordCallPushback(now tables.Instant, id tables.EndpointID, after time.Duration) (began bool) {
	if row := d.endpoints[id]; row != nil {
		_, began = d.recordPushback(now, row, after)
	}
	return began
}

// PausedFor returns the remaining back-off of an endpoint.
func (d *Dispatcher) PausedFor(now tables.Instant, id tables.EndpointID) time.Duration {
	if row := d.endpoints[id]; row != nil {
		return max(0, row.announced.until-now)
	}
	return 0
}

func (d *Dispatcher) recordPushback(now tables.Instant, row *endpointRow, after time.Duration) (applied time.Duration, began bool) {
	applied = min(after, maxPushback)
	if applied <= 0 {
		return 0, false
	}
	began = !row.announced.pushedBack(now)
	row.announced.until = max(row.announced.until, now+applied+d.pushbackJitter(row, applied))
	row.announced.unproven, row.announced.learnedAt = true, now
	d.markDirty(row)
	return applied, began
}

// pushbackJitter returns the pseudorandom extension of a pushback, which differs between
// instances and endpoints.
func (d *Dispatcher) pushbackJitter(row *endpointRow, after time.Duration) time.Duration {
	hash := placement.Mix64(row.hash ^ d.options.Seed)
	longest := min(time.Duration(pushbackJitterFraction*float64(after)), maxPushbackJitter)
	return time.Duration(float64(longest) * float64(hash>>40) / (1 << 24))
}

// PushedBack describes a service all of whose endpoints have pushed this instance back, as
// seen by one request.
type PushedBack struct {
	// Request is for how long no endpoint accepts the request itself, which may not return to
	// those that it has tried, and Service for how long none accepts any request.
	Request, Service time.Duration
}

// PushedBack returns for how long the request cannot be placed, and false if that is not
// certain or if no pushback is the cause. Endpoints that are leaving or are known to be gone
// do not count. One whose path is merely backing off does, from the end of that on.
func (d *Dispatcher) PushedBack(now tables.Instant, r *Request) (PushedBack, bool) {
	left := PushedBack{Request: maxPushback + maxPushbackJitter, Service: maxPushback + maxPushbackJitter}
	any := false
	for _, row := range d.services[r.Service.Name] {
		_, serves := row.Weights[r.Model]
		pathDelay, hasPath := row.pathDelay(now)
		if row.isLeaving() || !hasPath || row.absentFor(now) > 0 || r.Model != "" && !serves {
			continue
		}
		any = any || row.announced.pushedBack(now)
		pause := max(pathDelay, row.announced.until-now)
		left.Service = min(left.Service, pause)
		if !r.hasTried(row.ID) {
			left.Request = min(left.Request, pause)
		}
	}
	return left, any && left.Request > 0
}

// PushingBack returns the endpoints of a service that want no requests from this instance, at
// most limit of them.
func (d *Dispatcher) PushingBack(now tables.Instant, service string, limit int) []tables.EndpointID {
	var ids []tables.EndpointID
	for _, row := range d.services[service] {
		if row.announced.pushedBack(now) && len(ids) < limit {
			ids = append(ids, row.ID)
		}
	}
	return ids
}

// AcceptsAttempt reports whether an attempt that was placed but not sent may still be sent.
func (d *Dispatcher) AcceptsAttempt(now tables.Instant, a *Attempt) bool {
	p := direct
	if a.Relayed {
		p = relayed
	}
	return a.row.acceptsRequests(now) && a.row.reachableOver(now, p) && !a.row.announced.pushedBack(now)
}
