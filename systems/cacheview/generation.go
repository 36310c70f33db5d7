package cacheview

import (
	"math"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// insertionWindow is the time constant of the moving average of insertions.
	insertionWindow = 10 * time.Second
	// eventTimeout is how long after its last event an endpoint is trusted to
	// announce evictions.
	eventTimeout = 20 * time.Second
	// defaultTurnover is assumed for a cache of unknown capacity.
	defaultTurnover = 30 * time.Second
	// The confidence in an entry that no events vouch for falls linearly from 1
	// to 0 between these ages, in turnover times of the cache.
	fullConfidenceTurnovers = 0.8
	zeroConfidenceTurnovers = 2.0
	// maxEventConfidence is the confidence in an old entry whose eviction would
	// have been announced, if no events were lost.
	maxEventConfidence = 0.92
	// reliabilityAlpha is the smoothing factor of reliability: the weight of one
	// observed lookup.
	reliabilityAlpha = 0.05
	// confidenceTTL is how long a computed confidence model is reused.
	confidenceTTL = 50 * time.Millisecond
	// minReliability prevents a few bad predictions from making an endpoint's
	// entries worthless.
	minReliability = 0.3
	// evictedAlpha is the smoothing factor of meanEvicted.
	evictedAlpha = 0.05
)

// generation is the state of an endpoint's cache from one reset to the next.
type generation struct {
	endpoint tables.EndpointIndex
	live     bool
	capacity int
	// insertions counts inserted blocks, with exponential decay over
	// insertionWindow, as of insertionsAt.
	insertions   float64
	insertionsAt tables.Instant
	// sequence is the highest sequence number of an event, if hasSequence is set.
	// Bit i of recentMask is set if the event sequence-i has arrived.
	sequence    uint64
	hasSequence bool
	recentMask  uint64
	lastEventAt tables.Instant
	// meanEvicted is the moving average of evicted blocks per event.
	meanEvicted float64
	// staleFraction estimates, as of staleFractionAt, the fraction of entries
	// whose eviction was announced in lost events.
	staleFraction   float64
	staleFractionAt tables.Instant
	// reliability is the moving average of the fraction of the expected cached
	// tokens that the endpoint found.
	reliability float64
	// confidenceCache is reused for confidenceTTL, because it is costly to
	// compute.
	confidenceCache    confidenceModel
	confidenceCachedAt tables.Instant
}

// newGeneration returns the state of a cache about which nothing is known.
func newGeneration(index tables.EndpointIndex) generation {
	return generation{endpoint: index, live: true, reliability: 1}
}

// addInsertions counts inserted blocks.
func (g *generation) addInsertions(now tables.Instant, blocks float64) {
	g.insertions = g.decayedInsertions(now) + blocks
	g.insertionsAt = now
}

// decayedInsertions returns insertions after exponential decay up to now.
func (g *generation) decayedInsertions(now tables.Instant) float64 {
	if g.insertions == 0 {
		return 0
	}
	return g.insertions * math.Exp(-float64(now-g.insertionsAt)/float64(insertionWindow))
}

// turnover returns the time in which insertions fill the cache once.
func (g *generation) turnover(now tables.Instant) time.Duration {
	if g.capacity <= 0 {
		return defaultTurnover
	}
	rate := g.decayedInsertions(now) / insertionWindow.Seconds()
	if rate < 1e-3 {
		return time.Hour
	}
	seconds := min(float64(g.capacity)/rate, time.Hour.Seconds())
	return time.Duration(seconds * float64(time.Second))
}

// hasEvents reports whether the endpoint currently sends events.
func (g *generation) hasEvents(now tables.Instant) bool {
	return g.hasSequence && now-g.lastEventAt < eventTimeout
}

// addLostEvents records a gap in the event sequence. Each lost event may have
// announced the eviction of blocks that the index still contains.
func (g *generation) addLostEvents(now tables.Instant, lost uint64) {
	capacity := float64(max(g.capacity, 64))
	added := float64(min(lost, 1<<20)) * max(1, g.meanEvicted) / capacity
	g.staleFraction = min(1, g.decayedStaleFraction(now)+added)
	g.staleFractionAt = now
}

// decayedStaleFraction returns staleFraction after exponential decay over the
// turnover time, in which stale entries are replaced by new ones.
func (g *generation) decayedStaleFraction(now tables.Instant) float64 {
	if g.staleFraction == 0 {
		return 0
	}
	return g.staleFraction * math.Exp(-float64(now-g.staleFractionAt)/float64(g.turnover(now)))
}

// confidenceModel contains the inputs of an entry's confidence that are common
// to all entries of a generation.
type confidenceModel struct {
	reliability float64
	// eventConfidence is the confidence in an entry of any age whose eviction was
	// not announced; 0 without events.
	eventConfidence float64
	turnover        time.Duration
}

// confidenceModel returns the model for now, cached for confidenceTTL.
func (g *generation) confidenceModel(now tables.Instant) confidenceModel {
	if g.confidenceCache.turnover == 0 || now-g.confidenceCachedAt >= confidenceTTL {
		g.confidenceCache = g.newConfidenceModel(now)
		g.confidenceCachedAt = now
	}
	return g.confidenceCache
}

// newConfidenceModel computes the model for now.
func (g *generation) newConfidenceModel(now tables.Instant) confidenceModel {
	c := confidenceModel{reliability: g.reliability, turnover: g.turnover(now)}
	if g.hasEvents(now) {
		c.eventConfidence = maxEventConfidence * (1 - g.decayedStaleFraction(now))
	}
	return c
}

// forAge returns the probability that an entry of the given age is right: the
// entry is either too young to have been evicted, or its eviction would have
// been announced.
func (c confidenceModel) forAge(age time.Duration) float64 {
	turns := float64(age) / float64(c.turnover)
	kept := (zeroConfidenceTurnovers - turns) / (zeroConfidenceTurnovers - fullConfidenceTurnovers)
	kept = min(1, max(0, kept))
	return max(kept, c.eventConfidence) * c.reliability
}

// Turnover returns the time in which insertions fill an endpoint's cache once,
// at most an hour.
func (x *Index) Turnover(now tables.Instant, index tables.EndpointIndex) time.Duration {
	return x.generations[x.currentIDs[index]].confidenceModel(now).turnover
}
