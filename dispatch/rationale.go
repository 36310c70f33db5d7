package dispatch

import (
	"strconv"
	"strings"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// PlacementRule names the reason for which an endpoint was chosen. Its text appears in
// logs and metrics.
type PlacementRule string

// The placement rules.
const (
	// RuleLeastWait: for a service without prompt caching, the endpoint with the shortest
	// expected wait.
	RuleLeastWait PlacementRule = "least wait"
	// RuleCacheHit: the endpoint holds every part of the prompt that any endpoint holds.
	RuleCacheHit PlacementRule = "held here"
	// RuleCacheFetch: the endpoint fetches cached parts from another endpoint or from a
	// store.
	RuleCacheFetch PlacementRule = "fetched"
	// RuleHomeEndpoint: the endpoint is the home, by rendezvous hashing, of a part that
	// no endpoint holds.
	RuleHomeEndpoint PlacementRule = "home"
	// RuleAwayFromHome: the endpoint computes a part that no endpoint holds, although it
	// is not the part's home.
	RuleAwayFromHome PlacementRule = "away from home"
	// RuleRecompute: the endpoint recomputes parts that another endpoint holds or is
	// computing, because that costs less than waiting for them.
	RuleRecompute PlacementRule = "read again"
	// RuleNoSharedParts: the prompt has no parts that other requests share.
	RuleNoSharedParts PlacementRule = "nothing shared"
	// RuleContinued: the endpoint holds a copy of the run that it continues.
	RuleContinued PlacementRule = "continued"
)

// placementRule returns the rule under which a candidate was the cheapest.
func placementRule(r *Request, c *candidate) PlacementRule {
	switch {
	case r.Model == "":
		return RuleLeastWait
	case len(r.SharedParts) == 0:
		return RuleNoSharedParts
	case c.recomputedTokens > 0:
		return RuleRecompute
	case c.source != nil && c.fetchedTokens > 0:
		return RuleCacheFetch
	case c.isHome:
		return RuleHomeEndpoint
	case int(c.uncachedTokens) > r.PromptTokens-r.sharedTokens():
		return RuleAwayFromHome
	}
	return RuleCacheHit
}

// EndpointCounts breaks the endpoints of a service down by the first reason for which a
// request cannot run there now: already tried by the request, draining, pushing this
// instance back, accepting no connections from it, absent by another instance's report,
// unavailable after an observation of its own, loading weights, serving other weights,
// rate limited, or at capacity. Listed is the total, Available the rest. OtherWeights
// includes half-open endpoints whose probe is in flight, and endpoints that would begin the request
// when their weights may no longer be used.
type EndpointCounts struct {
	Listed, Tried, Draining, PushingBack, Unreachable, ReportedAbsent, Unavailable, Loading, OtherWeights, RateLimited, AtCapacity, Available int
}

// CountEndpoints classifies the endpoints of the request's service.
func (d *Dispatcher) CountEndpoints(now tables.Instant, r *Request) EndpointCounts {
	var c EndpointCounts
	for _, row := range d.services[r.Service.Name] {
		c.Listed++
		_, serves := row.Weights[r.Model]
		switch {
		case r.hasTried(row.ID):
			c.Tried++
		case row.isLeaving():
			c.Draining++
		case row.announced.pushedBack(now):
			c.PushingBack++
		case row.absentFor(now) > 0 && row.absenceReported:
			c.ReportedAbsent++
		case !row.hasPath(now) && (row.unreachable || row.links.lost):
			c.Unreachable++
		case !row.accepting(now) || !row.hasPath(now):
			c.Unavailable++
		case r.Model != "" && row.Loading:
			c.Loading++
		case r.Model != "" && !serves, !d.isEligible(now, r, row, r.ownPath()) && !d.isEligible(now, r, row, relayed):
			c.OtherWeights++
		case row.limit.exhausted(now):
			c.RateLimited++
		case !d.hasCapacity(now, r, row):
			c.AtCapacity++
		case d.beginsTooLate(now, r, row):
			c.OtherWeights++
		default:
			c.Available++
		}
	}
	return c
}

// CountUnavailable counts the endpoints of all services that accept no connections from this
// instance, and those that are absent by another instance's report.
func (d *Dispatcher) CountUnavailable(now tables.Instant) EndpointCounts {
	var c EndpointCounts
	for _, row := range d.endpoints {
		switch {
		case row.isStore:
			continue
		case row.unreachable || row.links.lost:
			c.Unreachable++
		case row.absentFor(now) > 0 && row.absenceReported:
			c.ReportedAbsent++
		}
		c.Listed++
	}
	return c
}

// String formats the counts for a log line, leaving out those that are zero.
func (c EndpointCounts) String() string {
	text := "listed " + strconv.Itoa(c.Listed)
	for _, part := range []struct {
		name string
		n    int
	}{
		{"tried", c.Tried}, {"leaving", c.Draining}, {"pushing back", c.PushingBack}, {"unreachable", c.Unreachable}, {"reported absent", c.ReportedAbsent}, {"avoided", c.Unavailable}, {"loading", c.Loading},
		{"other weights", c.OtherWeights}, {"limited", c.RateLimited}, {"full", c.AtCapacity}, {"free", c.Available},
	} {
		if part.n > 0 {
			text += ", " + part.name + " " + strconv.Itoa(part.n)
		}
	}
	return strings.TrimSpace(text)
}

// Rationale is the state on which a placement was based, for logs and metrics.
type Rationale struct {
	// Rule is the reason for which the endpoint was chosen.
	Rule PlacementRule
	// OwnAttempts counts the attempts of this instance at the endpoint. OtherAttempts
	// estimates those of other instances, by a load answer of the endpoint that is
	// LoadAge old.
	OwnAttempts, OtherAttempts int
	LoadAge                    time.Duration
	// FailureScore is the decaying count of the endpoint's recent failures.
	FailureScore float64
	// SinceResponse is the time since the endpoint last responded to this instance under
	// its own identity; negative if it never did.
	SinceResponse time.Duration
	// PushingBack names endpoints of the service that were left out because they had pushed
	// this instance back.
	PushingBack []tables.EndpointID
	// Draining names endpoints of the service that were left out because they had announced
	// that they are about to stop.
	Draining []tables.EndpointID
}

// Avoided returns a Rationale with only the endpoints of a service that are left out for what
// they have announced.
func (d *Dispatcher) Avoided(now tables.Instant, service string) *Rationale {
	var r Rationale
	d.nameAvoided(now, &r, service)
	return &r
}

// nameAvoided sets the endpoints of a service that are left out for what they have announced.
func (d *Dispatcher) nameAvoided(now tables.Instant, r *Rationale, service string) {
	r.PushingBack = d.PushingBack(now, service, MaxNamedEndpoints)
	r.Draining = d.AnnouncedDraining(service, MaxNamedEndpoints)
}

// rationaleOf returns the state on which the choice of a candidate is based.
func rationaleOf(now tables.Instant, r *Request, c *candidate) Rationale {
	row := c.row
	rationale := Rationale{Rule: placementRule(r, c), OwnAttempts: row.attempts, OtherAttempts: int(row.otherAttempts(now) + 0.5), FailureScore: row.currentFailureScore(now), SinceResponse: row.sinceResponse(now)}
	if row.unreportedAt > 0 {
		rationale.LoadAge = now - row.unreportedAt
	}
	return rationale
}
