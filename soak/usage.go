package soak

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/carawaystile/carawaystile/routes"
)

const (
	// usageRate and usageBurst limit the organisation common in tokens, well below what its
	// callers ask for. usageOverage and usageSlack are by how much its use may exceed the
	// limit within usageWindow.
	usageRate    = 30_000
	usageBurst   = 30_000
	usageOverage = 0.1
	usageSlack   = 120_000
	usageWindow  = 8 * time.Second
	// usagePlain is what a request without tokens costs.
	usagePlain = 200
)

// rateLimit is that of the organisation common, if there is one.
func (o *operators) rateLimit() routes.RateLimit {
	if !o.d.options.LimitUse {
		return routes.RateLimit{}
	}
	return routes.RateLimit{Rate: usageRate, Burst: usageBurst, Unit: routes.UsageInTokens, DefaultTokens: usagePlain}
}

// usageRun is a run with what it costs.
type usageRun struct {
	at   time.Time
	cost int
}

// judgeUsage checks the rate limit that all instances share.
func (l *ledger) judgeUsage(all []*request) {
	if !l.limited {
		return
	}
	var runs []usageRun
	for _, r := range all {
		if r.Key != keyCommon {
			continue
		}
		for _, run := range r.runs {
			runs = append(runs, usageRun{at: run.At, cost: costOf(r.Tokens)})
		}
	}
	slices.SortFunc(runs, func(a, b usageRun) int { return a.at.Compare(b.at) })
	allowed := int((usageRate*usageWindow.Seconds()+usageBurst)*(1+usageOverage)) + usageSlack
	used, first := 0, 0
	for _, run := range runs {
		used += run.cost
		for !runs[first].at.After(run.at.Add(-usageWindow)) {
			used -= runs[first].cost
			first++
		}
		if used > allowed {
			l.breachLocked("rate limits hold", "", "%d tokens ran within %v up to %v, %d are allowed", used, usageWindow, run.at, allowed)
			return
		}
	}
}

// costOf is the sum of the tokens that a request names.
func costOf(tokens string) int {
	if tokens == "" {
		return usagePlain
	}
	sum := 0
	for part := range strings.SplitSeq(tokens, ",") {
		n, err := strconv.Atoi(part)
		if err != nil {
			return usagePlain
		}
		sum += n
	}
	return sum
}
