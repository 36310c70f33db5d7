package shares

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// yieldWindow is the time for which requests of organisations that have had more wait for those of
	// one that has had less. Waiting requests ask again within 50 ms.
	yieldWindow = 60 * time.Millisecond
	// elsewhereWindow is the same for requests that wait at other placers, which report them every
	// 50 ms.
	elsewhereWindow = 110 * time.Millisecond
	// saturatedWindow is the time for which a model counts as saturated after a request for it has
	// found no capacity. Each time it ends, a request that would yield is placed if it can be.
	saturatedWindow = time.Second
	// maxModels bounds the models of a group whose refusals are remembered.
	maxModels = 256
)

// tier ranks organisations by their lead: the number of tierBounds that it reaches.
type tier int

// tierBounds are the leads at which tiers begin. The only organisation that has used a group has a
// lead of 1, less rounding. With bounds of 0.5 and 1 alone, organisations that were just above the
// mean competed on equal terms with one that had 1.6 times an equal share (9 instances, simulation).
var tierBounds = [...]float64{0.5, 0.8, 1 - 1e-6, 1.2, 1.5}

// waitingTiers is the number of tiers for whose requests others wait: all but the highest.
const waitingTiers = len(tierBounds)

func (t *Totals) tier(now tables.Instant, key Key) tier {
	lead, in := t.Lead(now, key), 0
	for in < len(tierBounds) && lead >= tierBounds[in] {
		in++
	}
	return tier(in)
}

// Request is what a request needs.
type Request struct {
	Model string
	// Tokens are its prompt and output tokens.
	Tokens int
}

// refusals are the latest requests for a model that have found no capacity.
type refusals struct {
	// saturatedAt is when the queues were last too long for one of any organisation.
	saturatedAt tables.Instant
	// byTier holds the latest ones of each tier for which others wait.
	byTier [waitingTiers]waiting
}

// cause is why a request yields.
type cause int

const (
	// noCause: it does not yield.
	noCause cause = iota
	// lacksMemory: requests of lower tiers that need no more lack memory.
	lacksMemory
	// saturated: requests of lower tiers wait for shorter queues, here or at another placer.
	saturated
)

// Yields reports whether a request has to wait for those of other organisations in lower tiers:
// within yieldWindow one of these has found no capacity for the same model. Without this rule
// capacity goes to whoever asks first where each instance has few waiting requests. A request that
// lacks memory holds back only those that need no less. The models of requests that wait at other
// placers are not known, so they hold back only requests for a model whose queues are too long here
// too.
func (t *Totals) Yields(now tables.Instant, key Key, r Request) bool {
	return t.cause(now, key, r) != noCause
}

func (t *Totals) cause(now tables.Instant, key Key, r Request) cause {
	g := t.groups[groupKey{key.Service, key.Class}]
	if g == nil || g.refusals[r.Model] == nil {
		return noCause
	}
	refused, found := g.refusals[r.Model], noCause
	isSaturated := isRecent(now, refused.saturatedAt, saturatedWindow)
	for lower := range t.tier(now, key) {
		found = max(found, refused.byTier[lower].holdsBack(now, yieldWindow, key, r))
		if isSaturated {
			found = max(found, g.elsewhere[lower].holdsBack(now, elsewhereWindow, key, r))
		}
	}
	return found
}

func isRecent(now, at tables.Instant, window time.Duration) bool { return at > 0 && now-at < window }

// Refusal says why a request was not placed.
type Refusal int

const (
	// Saturated: the queues are too long, whatever its size.
	Saturated Refusal = iota
	// LacksMemory: no endpoint has room for it, which may be due to its size.
	LacksMemory
	// Yielded: it waits for those of lower tiers. It still waits before those of higher ones.
	Yielded
)

// Refused records that a request was not placed. Its organisation's total is then reported to the
// other placers although it has not changed, so that they know that it waits, unless it lacks memory,
// yields to one that does, or is in the highest tier.
func (t *Totals) Refused(now tables.Instant, key Key, r Request, why Refusal) {
	known := t.get(now, key)
	if known == nil {
		return
	}
	refused := t.groups[groupKey{key.Service, key.Class}].refusalsOf(r.Model)
	if refused == nil {
		return
	}
	need := 0
	switch {
	case why == Saturated:
		refused.saturatedAt = now
	case why == LacksMemory, t.cause(now, key, r) != saturated:
		need = r.Tokens
	}
	in := t.tier(now, key)
	if int(in) >= waitingTiers {
		return
	}
	refused.byTier[in].record(now, yieldWindow, key, need)
	if need == 0 {
		known.waitsAt = now
		t.markPlaced(key, known)
	}
}

// clearRefusals deletes the refusals of an organisation that a placed request makes obsolete. What
// still waits asks again within 50 ms.
func (t *Totals) clearRefusals(key Key, r Request) {
	if refused := t.groups[groupKey{key.Service, key.Class}].refusals[r.Model]; refused != nil {
		for in := range refused.byTier {
			refused.byTier[in].clear(key, r)
		}
	}
}

// refusalsOf returns the refusals of a model; nil if there is no room for them.
func (g *group) refusalsOf(model string) *refusals {
	known := g.refusals[model]
	if known == nil && len(g.refusals) < maxModels {
		if g.refusals == nil {
			g.refusals = map[string]*refusals{}
		}
		known = &refusals{}
		g.refusals[model] = known
	}
	return known
}

// recordWaitingElsewhere records that another placer has reported a total that has not changed.
func (t *Totals) recordWaitingElsewhere(now tables.Instant, key Key) {
	if in := t.tier(now, key); int(in) < waitingTiers {
		t.groups[groupKey{key.Service, key.Class}].elsewhere[in].record(now, elsewhereWindow, key, 0)
	}
}
