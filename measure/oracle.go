package measure

import (
	"sort"

	"github.com/carawaystile/carawaystile/prefix"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// oracle sees all queues and caches as they are. Each request goes where its
// first token comes soonest, with the recomputation weighed by the profile.
type oracle struct {
	cluster *cluster
	// counted holds the blocks whose computation has been counted.
	counted map[tables.BlockHash]bool
}

func (o *oracle) choose(b *baseline, r *tables.Request, usable []int) int {
	profile := b.profiles[r.Profile]
	best, least := 0, 0.0
	for n, i := range usable {
		e := o.cluster.order[i]
		cost := o.cost(e, r, profile)
		if n == 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}

// reuseWeight is how the oracle weighs recomputation against waiting.
var reuseWeight = map[tables.Preference]float64{
	tables.PreferBalanced: 3, tables.PreferFirstToken: 2, tables.PreferReuse: 10,
}

func (o *oracle) cost(e *engine, r *tables.Request, profile *tables.Profile) float64 {
	clear(o.counted)
	ahead, active := 0, 0
	planned := 0
	for _, i := range o.cluster.instances {
		for _, j := range i.flying {
			if j.dispatch.Endpoint.ID != e.spec.ID {
				continue
			}
			active++
			if !j.first && j.dispatch.Priority <= profile.Priority {
				ahead += o.work(e, j)
			}
			if shared := commonPrefix(j.request.Blocks, r.Blocks); shared > planned {
				planned = shared
			}
		}
	}
	held := max(e.cache.prefix(r.Blocks), planned)
	own := r.PromptTokens - prefix.BlockTokens*held
	wait := float64(ahead) / e.spec.PrefillRate
	if excess := active - e.spec.Slots + 1; excess > 0 {
		wait += float64(excess) / float64(e.spec.Slots) * 2
	}
	waits := (wait + float64(own)/e.spec.PrefillRate) * e.slow
	return waits + reuseWeight[profile.Prefer]*float64(own)/placement.DefaultPrefillRate
}

// work is the prefill work of a job; a block that several need is counted once.
func (o *oracle) work(e *engine, j *job) int {
	tokens := j.request.PromptTokens - prefix.BlockTokens*len(j.request.Blocks)
	for i := j.done / prefix.BlockTokens; i < len(j.request.Blocks); i++ {
		hash := j.request.Blocks[i]
		if !e.cache.has(hash) && !o.counted[hash] {
			o.counted[hash] = true
			tokens += prefix.BlockTokens
		}
	}
	return tokens
}

func commonPrefix(a, b []tables.BlockHash) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// future tells when blocks are needed next, for optimal eviction.
type future struct {
	time *timeline
	uses map[tables.BlockHash][]tables.Instant
}

func newFuture(t *timeline, requests []*tables.Request) *future {
	f := &future{time: t, uses: make(map[tables.BlockHash][]tables.Instant)}
	for _, r := range requests {
		for _, hash := range r.Blocks {
			f.uses[hash] = append(f.uses[hash], r.Arrived)
		}
	}
	return f
}

// next is the first arrival after now that needs the block.
func (f *future) next(hash tables.BlockHash) tables.Instant {
	uses := f.uses[hash]
	at := sort.Search(len(uses), func(i int) bool { return uses[i] > f.time.now })
	if at == len(uses) {
		return 1 << 62
	}
	return uses[at]
}
