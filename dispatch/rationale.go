package dispatch

import (
	"strconv"
	"strings"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// PlacementRule says why an endpoint was chosen.
type PlacementRule string

// The rules.
const (
	// RuleLeastWait: of a service without cached prompts, the one where the
	// caller waits least.
	RuleLeastWait PlacementRule = "least wait"
	// RuleCacheHit: it has read all that others have of the prompt.
	RuleCacheHit PlacementRule = "held here"
	// RuleCacheFetch: it fetches what another endpoint or the store has read.
	RuleCacheFetch PlacementRule = "fetched"
	// RuleHomeEndpoint: it is the home of a part that nobody has read.
	RuleHomeEndpoint PlacementRule = "home"
	// RuleAwayFromHome: it reads a part that nobody has read, away from the part's home.
	RuleAwayFromHome PlacementRule = "away from home"
	// RuleRecompute: it reads what others have, since that costs less than waiting
	// for them.
	RuleRecompute PlacementRule = "read again"
	// RuleNoSharedParts: nothing of the prompt is anybody else's.
	RuleNoSharedParts PlacementRule = "nothing shared"
)

// placementRule names why a candidate is the best.
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

// EndpointCounts counts the endpoints of a service by why a request cannot run there
// now.
type EndpointCounts struct {
	Listed, Tried, Draining, Unavailable, Loading, OtherWeights, RateLimited, AtCapacity, Available int
}

// CountEndpoints takes stock for a request.
func (d *Dispatcher) CountEndpoints(now tables.Instant, r *Request) EndpointCounts {
	var c EndpointCounts
	for _, row := range d.services[r.Service.Name] {
		c.Listed++
		_, serves := row.Weights[r.Model]
		switch {
		case r.hasTried(row.ID):
			c.Tried++
		case row.Draining:
			c.Draining++
		case !row.availability.available(now):
			c.Unavailable++
		case r.Model != "" && row.Loading:
			c.Loading++
		case r.Model != "" && !serves, !d.isEligible(now, r, row):
			c.OtherWeights++
		case row.limit.exhausted(now):
			c.RateLimited++
		case !d.hasCapacity(now, r, row):
			c.AtCapacity++
		default:
			c.Available++
		}
	}
	return c
}

// String is the census in a log line; counts of zero are left out.
func (c EndpointCounts) String() string {
	text := "listed " + strconv.Itoa(c.Listed)
	for _, part := range []struct {
		name string
		n    int
	}{
		{"tried", c.Tried}, {"leaving", c.Draining}, {"avoided", c.Unavailable}, {"loading", c.Loading},
		{"other weights", c.OtherWeights}, {"limited", c.RateLimited}, {"full", c.AtCapacity}, {"free", c.Available},
	} {
		if part.n > 0 {
			text += ", " + part.name + " " + strconv.Itoa(part.n)
		}
	}
	return strings.TrimSpace(text)
}

// Rationale is what a choice rested on.
type Rationale struct {
	// Rule is why the endpoint was chosen.
	Rule PlacementRule
	// OwnAttempts counts the requests that this instance had there, OtherAttempts those that it
	// believed other instances to have, by an answer of Age ago.
	OwnAttempts, OtherAttempts int
	LoadAge                    time.Duration
	// FailureScore is the weight of the endpoint's recent failures.
	FailureScore float64
	// SinceResponse is how long ago the endpoint last answered this instance as itself;
	// negative if it never did.
	SinceResponse time.Duration
}

// rationaleOf notes what the choice of a candidate rests on.
func rationaleOf(now tables.Instant, r *Request, c *candidate) Rationale {
	row := c.row
	k := Rationale{Rule: placementRule(r, c), OwnAttempts: row.attempts, OtherAttempts: int(row.otherAttempts(now) + 0.5), FailureScore: row.currentFailureScore(now), SinceResponse: row.sinceResponse(now)}
	if row.unreportedAt > 0 {
		k.LoadAge = now - row.unreportedAt
	}
	return k
}
