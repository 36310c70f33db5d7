package router

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// heardFor is how long after the last cache event or peer placement an
	// instance counts as told of what others place.
	heardFor = 20 * time.Second
	// maxLevels is the deepest block at which sharing is averaged.
	maxLevels = 64
	// learnLevel is the weight of one request in the averages.
	learnLevel = 0.01
)

// levels holds, for each number of outermost blocks, the mean of how often all
// instances together ask for such a prefix of the profile's prompts.
//
// It exists for an instance that hears neither cache events nor peers. What it
// counts of one prefix is too little to tell how much of a prompt is shared, so
// each such instance would group the same prompt by another level and have the
// same prefix computed at another endpoint; one would notice a low hit rate on
// all of them. The mean over a profile's requests is nearly the same at every
// instance, and with it the level and the home.
type levels [maxLevels]float64

// learnLevels takes in how often the prefixes of a request were asked for by
// other requests. The instance sees only its share of them.
func (r *Router) learnLevels(request *tables.Request) {
	if len(request.Blocks) == 0 {
		return
	}
	l := r.levels[request.Profile]
	if l == nil {
		l = &levels{}
		r.levels[request.Profile] = l
	}
	for i := range l {
		others := 0.0
		if i < len(request.Blocks) {
			others = max(0, r.counter.Count(request.Blocks[i])-1) / r.share
		}
		l[i] += learnLevel * (others - l[i])
	}
}

// forgetLevels drops what was learned of profiles that are no longer declared.
func (r *Router) forgetLevels() {
	for name := range r.levels {
		if r.profiles[name] == nil {
			delete(r.levels, name)
		}
	}
}

// usual is the level, at most depth, by which prompts of the profile are
// usually grouped, weighed as in sharedLevel. It is depth when nothing is known.
func (l *levels) usual(depth int) int {
	if l == nil {
		return depth
	}
	best, most := depth, 0.0
	for i := range min(depth, maxLevels) {
		length := float64(i + 1)
		if weight := l[i] * length * length; weight > 0 && weight >= most {
			best, most = i+1, weight
		}
	}
	return best
}

// uninformed says whether other instances place requests of which this one
// hears nothing, neither from endpoints nor from peers. It is false for the
// first heardFor of the clock, in which nothing can have been learned.
func (r *Router) uninformed(now tables.Instant) bool {
	return r.share < 1 && now-r.heardAt > heardFor
}
