package cacheview

import (
	"math"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// rateWindow is the time constant over which insertions are averaged.
	rateWindow = 10 * time.Second
	// eventsFor is how long after an event the stream of events is trusted to
	// tell of evictions.
	eventsFor = 20 * time.Second
	// defaultTurnover is taken for a cache of unknown size.
	defaultTurnover = 30 * time.Second
	// freshPart and stalePart bound, in turnovers of the cache, the ages
	// between which the confidence in a row without events falls from 1 to 0.
	freshPart = 0.8
	stalePart = 2.0
	// eventFloor is the least confidence that age alone leaves to a row whose
	// eviction would have been announced.
	eventFloor = 0.92
	// learnRate is the weight of one observed hit or miss.
	learnRate = 0.05
	// trustFor is how long a home's trust is used before it is worked out anew.
	trustFor = 50 * time.Millisecond
	// minReliability keeps a few bad hits from making an endpoint's rows
	// worthless.
	minReliability = 0.3
	// learnEvent is the weight of one event in the mean of blocks evicted.
	learnEvent = 0.05
)

// home is what is known of one life of an endpoint's cache.
type home struct {
	endpoint tables.EndpointIndex
	live     bool
	capacity int
	// inserted is a count of new blocks that decays over rateWindow.
	inserted   float64
	insertedAt tables.Instant
	// sequence is the highest seen; seen says that there was one, and recent
	// has bit i set when sequence-i was seen.
	sequence uint64
	seen     bool
	recent   uint64
	eventAt  tables.Instant
	// evicted is the mean of blocks that one event says were evicted.
	evicted float64
	// doubt is the part of the rows that lost events may have made wrong.
	doubt   float64
	doubtAt tables.Instant
	// reliability is the part of the expected cached tokens that was found.
	reliability float64
	// trusted is kept for trustFor, since it is costly to work out.
	trusted   trust
	trustedAt tables.Instant
}

func newHomeRow(index tables.EndpointIndex) home {
	return home{endpoint: index, live: true, reliability: 1}
}

// insert counts new blocks.
func (h *home) insert(now tables.Instant, blocks float64) {
	h.inserted = h.insertedNow(now) + blocks
	h.insertedAt = now
}

func (h *home) insertedNow(now tables.Instant) float64 {
	if h.inserted == 0 {
		return 0
	}
	return h.inserted * math.Exp(-float64(now-h.insertedAt)/float64(rateWindow))
}

// turnover is the time in which the cache is filled once over.
func (h *home) turnover(now tables.Instant) time.Duration {
	if h.capacity <= 0 {
		return defaultTurnover
	}
	rate := h.insertedNow(now) / rateWindow.Seconds()
	if rate < 1e-3 {
		return time.Hour
	}
	seconds := min(float64(h.capacity)/rate, time.Hour.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

func (h *home) hasEvents(now tables.Instant) bool {
	return h.seen && now-h.eventAt < eventsFor
}

// widenDoubt takes in that events were lost. Each may have announced the
// eviction of blocks that are still believed to be there.
func (h *home) widenDoubt(now tables.Instant, lost uint64) {
	capacity := float64(max(h.capacity, 64))
	added := float64(min(lost, 1<<20)) * max(1, h.evicted) / capacity
	h.doubt = min(1, h.doubtNow(now)+added)
	h.doubtAt = now
}

// doubtNow falls as the cache turns over and rows are made anew.
func (h *home) doubtNow(now tables.Instant) float64 {
	if h.doubt == 0 {
		return 0
	}
	return h.doubt * math.Exp(-float64(now-h.doubtAt)/float64(h.turnover(now)))
}

// trust is the part of a home's confidence that does not depend on the row.
type trust struct {
	factor float64
	// silence is the confidence in a row of any age whose eviction was not
	// announced; 0 without events.
	silence  float64
	turnover time.Duration
}

func (h *home) trust(now tables.Instant) trust {
	if h.trusted.turnover == 0 || now-h.trustedAt >= trustFor {
		h.trusted = h.trustNow(now)
		h.trustedAt = now
	}
	return h.trusted
}

func (h *home) trustNow(now tables.Instant) trust {
	t := trust{factor: h.reliability, turnover: h.turnover(now)}
	if h.hasEvents(now) {
		t.silence = eventFloor * (1 - h.doubtNow(now))
	}
	return t
}

// confidence is the probability that a row of the given age is right: it is
// either too young to have been pushed out, or its eviction would have been
// announced.
func (t trust) confidence(age time.Duration) float64 {
	turns := float64(age) / float64(t.turnover)
	kept := (stalePart - turns) / (stalePart - freshPart)
	kept = min(1, max(0, kept))
	return max(kept, t.silence) * t.factor
}

// Turnover is the time in which an endpoint's cache is filled once over, at
// most an hour.
func (v *Index) Turnover(now tables.Instant, index tables.EndpointIndex) time.Duration {
	return v.homes[v.current[index]].trust(now).turnover
}
