package dispatch

import (
	"time"

	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/tables"
)

// RecomputeReason is why an engine computed a shared part of a prompt. Its text appears in logs
// and metrics.
type RecomputeReason string

// The reasons. All but RecomputeFirst stand for a part that an engine had computed before with
// the same weights.
const (
	// RecomputeFirst: the part is not known to have been computed before.
	RecomputeFirst RecomputeReason = "first"
	// RecomputeEvicted: all holders have removed the part since.
	RecomputeEvicted RecomputeReason = "evicted"
	// RecomputeUnknown: an engine holds the part, but this was not known at the placement.
	RecomputeUnknown RecomputeReason = "unknown"
	// RecomputeBusy: a known holder was not chosen and the part was not fetched from it.
	RecomputeBusy RecomputeReason = "busy"
	// RecomputeConcurrent: another request was computing the part.
	RecomputeConcurrent RecomputeReason = "concurrent"
	// RecomputeLost: the only holders have stopped, were replaced or cannot be reached.
	RecomputeLost RecomputeReason = "lost"
	// RecomputeFailed: the part was to be fetched, and its source could not provide it.
	RecomputeFailed RecomputeReason = "failed"
)

// Recomputed is the number of tokens in the shared parts of a prompt that an engine computed, by
// reason.
type Recomputed struct {
	// SharedTokens is the number of tokens in all shared parts.
	SharedTokens int
	// ByReason has one entry for each reason with any tokens, in the order of the parts.
	ByReason []RecomputedTokens
}

// RecomputedTokens is a number of tokens that were computed for a reason.
type RecomputedTokens struct {
	Reason RecomputeReason
	Tokens int
}

// Again returns the number of tokens that were computed again, and the reason of most of them;
// empty if there were none.
func (r *Recomputed) Again() (tokens int, reason RecomputeReason) {
	most := 0
	for _, one := range r.ByReason {
		if one.Reason == RecomputeFirst {
			continue
		}
		tokens += one.Tokens
		if one.Tokens > most {
			most, reason = one.Tokens, one.Reason
		}
	}
	return tokens, reason
}

// add counts tokens for a reason.
func (r *Recomputed) add(reason RecomputeReason, tokens int) {
	for i := range r.ByReason {
		if r.ByReason[i].Reason == reason {
			r.ByReason[i].Tokens += tokens
			return
		}
	}
	r.ByReason = append(r.ByReason, RecomputedTokens{Reason: reason, Tokens: tokens})
}

// Recomputed returns the tokens of shared parts that the attempt's endpoint computed. It is
// empty until the attempt has ended, and for attempts that this instance placed for another one.
func (a *Attempt) Recomputed() *Recomputed { return &a.shared.recomputed }

// sharedAccount is how an attempt obtains the shared parts of its prompt, and the sum of it once
// the attempt has ended. It is empty for an attempt that this instance placed for another one.
type sharedAccount struct {
	uses       []sharedPartUse
	recomputed Recomputed
}

// sharedPartUse is how an attempt obtains a shared part of its prompt.
type sharedPartUse struct {
	key    parts.Key
	tokens int
	// computed is the number of tokens that the endpoint computes, for the reason; the others
	// are cached, or fetched if source is set.
	computed int
	reason   RecomputeReason
	// source is the known holder from which the part is fetched.
	source *endpointRow
}

// classifyParts determines, for each shared part of a placed request, whether its endpoint has
// it, fetches it or computes it, and why the latter. It is called before the placement is
// recorded in the directory. For a request of another instance it does nothing, since that
// instance keeps the account.
func (d *Dispatcher) classifyParts(now tables.Instant, r *Request, a *Attempt) {
	if r.Remote || len(r.SharedParts) == 0 {
		return
	}
	a.shared.uses = make([]sharedPartUse, len(r.SharedParts))
	available, begin := r.PromptTokens-a.UncachedTokens, 0
	source := d.endpoints[a.CacheSource.ID]
	var before RecomputeReason
	for i, part := range r.SharedParts {
		use := &a.shared.uses[i]
		use.key, use.tokens = part.ID.KeyAt(a.WeightsVersion), part.EndTokens-begin
		use.computed = max(0, part.EndTokens-max(begin, available))
		begin = part.EndTokens
		switch {
		case use.computed > 0:
			use.reason = d.recomputeReason(now, use.key, a.row, before)
			before = use.reason
		case source != nil && d.fetches(now, use.key, a.row, source):
			use.source = source
		}
	}
}

// fetches reports whether an endpoint lacks a part that the source is known to hold.
func (d *Dispatcher) fetches(now tables.Instant, key parts.Key, row, source *endpointRow) bool {
	holders := d.cache.holdersOf(now, key)
	return isReadyOn(now, holders, source) && !isReadyOn(now, holders, row)
}

// recomputeReason returns why an endpoint computes a part. before is the reason for which it
// computes the part before; empty for none. An engine uses or fetches a part only together with
// those before it, so what keeps the part before from being reused also keeps this one.
func (d *Dispatcher) recomputeReason(now tables.Instant, key parts.Key, row *endpointRow, before RecomputeReason) RecomputeReason {
	holders := d.cache.holdersOf(now, key)
	if len(holders) == 0 {
		return d.removalReason(now, key, row)
	}
	reason := RecomputeLost
	for i := range holders {
		one := &holders[i]
		switch {
		case one.readyAt > now:
			if reason == RecomputeLost && !one.row.isLeaving() && one.row.presumedUp(now) {
				reason = RecomputeConcurrent
			}
		case one.row == row:
			// Either a part before it is missing there, or the scheduler that placed the request
			// knew that the endpoint has evicted it.
			if reason != RecomputeBusy {
				reason = RecomputeEvicted
			}
		case one.row.canServeFetch(now):
			reason = RecomputeBusy
		}
	}
	switch {
	case reason != RecomputeBusy && reason != RecomputeEvicted, before == "":
		return reason
	case before == RecomputeFirst:
		return RecomputeUnknown
	}
	return before
}

// removalReason returns why a part without holders is computed.
func (d *Dispatcher) removalReason(now tables.Instant, key parts.Key, row *endpointRow) RecomputeReason {
	cause, _ := d.cache.removals[row.Service].lookup(now, key)
	if cause == removedNever {
		for _, store := range d.stores {
			if cause, _ = d.cache.removals[store.Service].lookup(now, key); cause != removedNever {
				break
			}
		}
	}
	switch cause {
	case removedEvicted:
		return RecomputeEvicted
	case removedLost:
		return RecomputeLost
	case removedExpired:
		return RecomputeUnknown
	}
	if d.cache.recentlyCleared(now) {
		return RecomputeUnknown
	}
	return RecomputeFirst
}

// checkFetch marks the parts that were to be fetched and that the source can be seen not to have
// provided: since the placement it has evicted them, stopped, or become unreachable. Endpoints do
// not report whether a fetch succeeded.
func (d *Dispatcher) checkFetch(now tables.Instant, a *Attempt) {
	for i := range a.shared.uses {
		use := &a.shared.uses[i]
		if use.source == nil {
			continue
		}
		if use.source.removed || !use.source.presumedUp(now) || !holds(d.cache.holders[use.key], use.source) {
			use.computed, use.reason = use.tokens, RecomputeFailed
		}
	}
}

// holds reports whether an endpoint is among the holders of a part.
func holds(holders []holder, row *endpointRow) bool {
	for i := range holders {
		if holders[i].row == row {
			return true
		}
	}
	return false
}

// accountRecomputed sets the account of an attempt that has ended. Reports that have arrived
// since the placement correct the reasons. An attempt that got no response counts for nothing.
func (d *Dispatcher) accountRecomputed(now tables.Instant, a *Attempt) {
	if !a.responseStarted {
		return
	}
	for i := range a.shared.uses {
		use := &a.shared.uses[i]
		a.shared.recomputed.SharedTokens += use.tokens
		switch {
		case use.reason == RecomputeFirst:
			use.reason = d.laterReason(now, a, use.key)
		case use.computed == 0 && d.readyAfterPlacement(now, a, use):
			use.computed, use.reason = use.tokens, RecomputeConcurrent
		case use.computed == 0 && use.source == nil && d.evictedBeforePlacement(now, a, use.key):
			use.computed, use.reason = use.tokens, RecomputeEvicted
			if len(d.cache.holders[use.key]) > 1 {
				use.reason = RecomputeUnknown
			}
		}
		if use.computed > 0 {
			a.shared.recomputed.add(use.reason, use.computed)
		}
	}
	a.shared.uses = nil
}

// laterReason returns the reason for which a part was computed of which nothing was known at the
// placement.
func (d *Dispatcher) laterReason(now tables.Instant, a *Attempt, key parts.Key) RecomputeReason {
	cause, at := d.cache.removals[a.row.Service].lookup(now, elsewhereKey(key))
	switch {
	case at < a.startedAt || at-a.startedAt > remoteUpdateDelay:
	case cause == placedElsewhere:
		return RecomputeConcurrent
	case cause == storedElsewhere:
		return RecomputeUnknown
	}
	return RecomputeFirst
}

// readyAfterPlacement reports whether the endpoint that was to provide a part has shown to have
// computed it only after the attempt was placed. Engines do not share what they are computing.
func (d *Dispatcher) readyAfterPlacement(now tables.Instant, a *Attempt, use *sharedPartUse) bool {
	row := a.row
	if use.source != nil {
		row = use.source
	}
	cause, at := d.cache.removals[row.Service].lookup(now, readyLateKey(use.key, row))
	return cause == readyLate && at > a.startedAt
}

// evictedBeforePlacement reports whether the attempt's endpoint has shown to have evicted a part
// before it could use it for the attempt: its event was about as late as usual after the placement,
// or arrived before the response. An engine does not evict parts that it is using.
func (d *Dispatcher) evictedBeforePlacement(now tables.Instant, a *Attempt, key parts.Key) bool {
	cause, at := d.cache.removals[a.row.Service].lookup(now, evictedBeforeKey(key, a.row))
	if cause != evictedBefore || at < a.startedAt || at-a.startedAt >= evictionGrace {
		return false
	}
	return at-a.startedAt <= cacheEventDelay+cacheEventMargin || at <= a.respondedAt
}

// updateDelayOf returns how late this instance learns of placements at an endpoint, most of which
// instances of the endpoint's zone make.
func (d *Dispatcher) updateDelayOf(row *endpointRow) time.Duration {
	if row.Zone == d.options.Zone {
		return updateDelay
	}
	return remoteUpdateDelay
}
