package shares

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// yieldWindow is the time for which requests of an organisation that leads wait for one of an
	// organisation that does not. Waiting requests ask again within 50 ms.
	yieldWindow = 60 * time.Millisecond
	// maxModels bounds the models of a group whose refusals are remembered.
	maxModels = 256
)

// minLead is the lead from which an organisation has had more than others. The only one that has used
// a group has a lead of 1, less rounding.
const minLead = 1 - 1e-6

// leads reports whether an organisation has had more than the others of its group.
func (t *Totals) leads(now tables.Instant, key Key) bool { return t.Lead(now, key) >= minLead }

// Request is what a request needs.
type Request struct {
	Model string
	// Tokens are its prompt and output tokens.
	Tokens int
}

// refusal is what is known of the requests for a model that have found no capacity.
type refusal struct {
	// at is when any request found none, and laggingAt when one of an organisation that does not
	// lead did.
	at, laggingAt tables.Instant
	// need is the least need in tokens of those that do not lead, if they lack memory and do not
	// wait for shorter queues; 0 if they wait for those.
	need int
}

// Yields reports whether a request has to wait for those of organisations that have had less: its
// organisation leads, and within yieldWindow a request of one that does not lead has found no
// capacity for the same model. Without this rule capacity goes to whoever asks first where each
// instance has few waiting requests. A request that lacks memory holds back only those that need no
// less. For requests that wait at other placers, whose models are not known, a request waits only if
// its own model had no capacity of late, so capacity is idle for them no longer than yieldWindow.
func (t *Totals) Yields(now tables.Instant, key Key, r Request) bool {
	g := t.groups[groupKey{key.Service, key.Class}]
	if g == nil || !t.leads(now, key) {
		return false
	}
	refused := g.refusals[r.Model]
	switch {
	case refused == nil:
		return false
	case isRecent(now, refused.laggingAt) && r.Tokens >= refused.need:
		return true
	}
	return isRecent(now, g.elsewhereAt) && isRecent(now, refused.at)
}

func isRecent(now, at tables.Instant) bool { return at > 0 && now-at < yieldWindow }

// Refused records that a request found no capacity. lacksMemory is set if that may be due to its
// size. Otherwise, and if its organisation does not lead, its total is reported to the other placers
// although it has not changed, so that they know that it waits.
func (t *Totals) Refused(now tables.Instant, key Key, r Request, lacksMemory bool) {
	known := t.get(now, key)
	if known == nil {
		return
	}
	g := t.groups[groupKey{key.Service, key.Class}]
	refused := g.refusals[r.Model]
	if refused == nil {
		if len(g.refusals) >= maxModels {
			return
		}
		if g.refusals == nil {
			g.refusals = map[string]*refusal{}
		}
		refused = &refusal{}
		g.refusals[r.Model] = refused
	}
	refused.at = now
	if t.leads(now, key) {
		return
	}
	need := 0
	if lacksMemory {
		need = r.Tokens
	} else {
		t.markPlaced(key, known)
	}
	if isRecent(now, refused.laggingAt) {
		need = min(need, refused.need)
	}
	refused.laggingAt, refused.need = now, need
}

// recordWaitingElsewhere records that another placer has reported a total that has not changed.
func (t *Totals) recordWaitingElsewhere(now tables.Instant, key Key) {
	if !t.leads(now, key) {
		t.groups[groupKey{key.Service, key.Class}].elsewhereAt = now
	}
}
