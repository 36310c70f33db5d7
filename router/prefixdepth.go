package router

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// cacheInfoTTL is the time since the last cache event or peer placement
	// after which an instance counts as uninformed about the placements of
	// others.
	cacheInfoTTL = 20 * time.Second
	// maxTrackedDepth is the deepest block for which sharing is averaged.
	maxTrackedDepth = 64
	// depthAlpha is the weight of one request in the moving averages.
	depthAlpha = 0.01
)

// depthStats holds, by prefix depth in blocks, a moving average of how often
// all instances together request a prefix of that depth, over the prompts of
// one profile.
//
// It serves an instance that receives neither cache events nor peer placements.
// Such an instance sees too few requests of one prefix to tell how much of a
// prompt is shared. Each instance would then pick another depth for the same
// prompt and have the same prefix computed at another endpoint; the symptom is
// a low hit rate on all of them. The average over a profile's requests is
// nearly the same at every instance, and so are the depth and the home endpoint
// that follow from it.
type depthStats [maxTrackedDepth]float64

// updateDepthStats adds the number of times that other requests used the
// prefixes of this request. The instance sees only its share of the traffic, so
// the count is divided by that share.
func (r *Router) updateDepthStats(request *tables.Request) {
	if len(request.Blocks) == 0 {
		return
	}
	stats := r.depthStats[request.Profile]
	if stats == nil {
		stats = &depthStats{}
		r.depthStats[request.Profile] = stats
	}
	for i := range stats {
		otherRequests := 0.0
		if i < len(request.Blocks) {
			otherRequests = max(0, r.prefixCounter.Count(request.Blocks[i])-1) / r.trafficShare
		}
		stats[i] += depthAlpha * (otherRequests - stats[i])
	}
}

// pruneDepthStats drops the statistics of profiles that are no longer declared.
func (r *Router) pruneDepthStats() {
	for name := range r.depthStats {
		if r.profiles[name] == nil {
			delete(r.depthStats, name)
		}
	}
}

// typicalDepth returns the depth, at most depth, at which prompts of the
// profile are usually shared, by the same weighting as in sharedDepth. It
// returns depth if there are no statistics.
func (s *depthStats) typicalDepth(depth int) int {
	if s == nil {
		return depth
	}
	bestDepth, maxWeight := depth, 0.0
	for i := range min(depth, maxTrackedDepth) {
		length := float64(i + 1)
		if weight := s[i] * length * length; weight > 0 && weight >= maxWeight {
			bestDepth, maxWeight = i+1, weight
		}
	}
	return bestDepth
}

// isUninformed reports whether other instances place requests of which this
// instance receives no information, from endpoints or from peers. It is false
// for the first cacheInfoTTL of the clock, because nothing can have been
// learned by then.
func (r *Router) isUninformed(now tables.Instant) bool {
	return r.trafficShare < 1 && now-r.cacheInfoAt > cacheInfoTTL
}
