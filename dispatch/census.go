package dispatch

import (
	"strconv"
	"strings"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// Rule says why an endpoint was chosen.
type Rule string

// The rules.
const (
	// RuleLeastWait: of a service without cached prompts, the one where the
	// caller waits least.
	RuleLeastWait Rule = "least wait"
	// RuleHeld: it has read all that others have of the prompt.
	RuleHeld Rule = "held here"
	// RuleFetched: it fetches what another endpoint or the store has read.
	RuleFetched Rule = "fetched"
	// RuleHome: it is the home of a part that nobody has read.
	RuleHome Rule = "home"
	// RuleAway: it reads a part that nobody has read, away from the part's home.
	RuleAway Rule = "away from home"
	// RuleReread: it reads what others have, since that costs less than waiting
	// for them.
	RuleReread Rule = "read again"
	// RuleUnshared: nothing of the prompt is anybody else's.
	RuleUnshared Rule = "nothing shared"
)

// ruleOf names why a candidate is the best.
func ruleOf(r *Request, c *candidate) Rule {
	switch {
	case r.Model == "":
		return RuleLeastWait
	case len(r.Shared) == 0:
		return RuleUnshared
	case c.again > 0:
		return RuleReread
	case c.source != nil && c.fetched > 0:
		return RuleFetched
	case c.home:
		return RuleHome
	case int(c.uncached) > r.PromptTokens-r.sharedTokens():
		return RuleAway
	}
	return RuleHeld
}

// Census counts the endpoints of a service by why a request cannot run there
// now.
type Census struct {
	Listed, Tried, Leaving, Avoided, Loading, OtherWeights, Limited, Full, Free int
}

// Census takes stock for a request.
func (d *Dispatcher) Census(now tables.Instant, r *Request) Census {
	var c Census
	for _, row := range d.services[r.Service.Name] {
		c.Listed++
		_, serves := row.Weights[r.Model]
		switch {
		case r.tried(row.ID):
			c.Tried++
		case row.Draining:
			c.Leaving++
		case !row.availability.takes(now):
			c.Avoided++
		case r.Model != "" && row.Loading:
			c.Loading++
		case r.Model != "" && !serves, !d.usable(now, r, row):
			c.OtherWeights++
		case row.limit.full(now):
			c.Limited++
		case !d.hasRoom(now, r, row):
			c.Full++
		default:
			c.Free++
		}
	}
	return c
}

// String is the census in a log line; counts of zero are left out.
func (c Census) String() string {
	text := "listed " + strconv.Itoa(c.Listed)
	for _, part := range []struct {
		name string
		n    int
	}{
		{"tried", c.Tried}, {"leaving", c.Leaving}, {"avoided", c.Avoided}, {"loading", c.Loading},
		{"other weights", c.OtherWeights}, {"limited", c.Limited}, {"full", c.Full}, {"free", c.Free},
	} {
		if part.n > 0 {
			text += ", " + part.name + " " + strconv.Itoa(part.n)
		}
	}
	return strings.TrimSpace(text)
}

// Known is what a choice rested on.
type Known struct {
	// Rule is why the endpoint was chosen.
	Rule Rule
	// Own counts the requests that this instance had there, Others those that it
	// believed other instances to have, by an answer of Age ago.
	Own, Others int
	Age         time.Duration
	// Doubt is the weight of the endpoint's recent failures.
	Doubt float64
	// SinceAnswer is how long ago the endpoint last answered this instance as itself;
	// negative if it never did.
	SinceAnswer time.Duration
}

// known notes what the choice of a candidate rests on.
func known(now tables.Instant, r *Request, c *candidate) Known {
	row := c.row
	k := Known{Rule: ruleOf(r, c), Own: row.own, Others: int(row.othersNow(now) + 0.5), Doubt: row.doubtNow(now), SinceAnswer: row.sinceAnswer(now)}
	if row.othersAt > 0 {
		k.Age = now - row.othersAt
	}
	return k
}
