package router

import (
	"github.com/carawaystile/carawaystile/prefix"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/systems/placement/homes"
	"github.com/carawaystile/carawaystile/tables"
)

// poolKey identifies the endpoints that a profile can use: all that serve its
// model or its service.
type poolKey struct {
	kind    tables.EndpointKind
	model   tables.ModelName
	service tables.ServiceName
}

// pool is a back-end pool: the endpoints that serve one model or service, with
// the rendezvous-hashing table that maps a prefix to its home endpoint.
type pool struct {
	members []tables.EndpointIndex
	homes   *homes.Table
	// capacity is the sum of the members' slots.
	capacity int
	// turnovers are the members' cache turnover times in seconds: the time in
	// which an endpoint's cache is filled once over.
	turnovers    []float64
	meanTurnover float64
}

func poolKeyOf(p *tables.Profile) poolKey {
	if p.Kind == tables.PlainService {
		return poolKey{kind: p.Kind, service: p.Service}
	}
	return poolKey{kind: p.Kind, model: p.Model}
}

func (k poolKey) accepts(e *tables.Endpoint) bool {
	if e.Kind != k.kind {
		return false
	}
	if k.kind == tables.PlainService {
		return e.Service == k.service
	}
	for _, m := range e.Models {
		if m == k.model {
			return true
		}
	}
	return false
}

// rebuildPools recomputes the pools of all profiles. A pool keeps its table of
// homes while its members stay the same, because building a table is expensive.
func (r *Router) rebuildPools(now tables.Instant) {
	pools := make(map[poolKey]*pool)
	for i := range r.config.Profiles {
		key := poolKeyOf(&r.config.Profiles[i])
		if pools[key] == nil {
			pools[key] = r.newPool(key)
		}
	}
	r.pools = pools
	for i := range r.endpoints.Len() {
		row := r.endpoints.Row(tables.EndpointIndex(i))
		r.cacheIndex.SetEndpoint(row.Index, row.CacheBlocks)
	}
	for _, p := range pools {
		r.refreshTurnovers(now, p)
	}
}

// refreshTurnovers recomputes the cache turnover times of a pool.
func (r *Router) refreshTurnovers(now tables.Instant, p *pool) {
	p.turnovers = p.turnovers[:0]
	p.meanTurnover = 0
	for _, index := range p.members {
		turnover := r.cacheIndex.Turnover(now, index).Seconds()
		p.turnovers = append(p.turnovers, turnover)
		p.meanTurnover += turnover / float64(len(p.members))
	}
}

func (r *Router) newPool(key poolKey) *pool {
	p := &pool{}
	var members []homes.Member
	for i := range r.endpoints.Len() {
		row := r.endpoints.Row(tables.EndpointIndex(i))
		if row.Draining() || !key.accepts(&row.Endpoint) {
			continue
		}
		p.members = append(p.members, row.Index)
		p.capacity += row.Slots()
		members = append(members, homes.Member{ID: row.Endpoint.ID, Index: row.Index, Weight: hashWeight(&row.Endpoint)})
	}
	if old := r.pools[key]; old != nil && old.homes.HasMembers(members) {
		p.homes = old.homes
		return p
	}
	p.homes = homes.New(members)
	return p
}

// hashWeight returns the endpoint's weight in rendezvous hashing, proportional
// to its declared prefill rate.
func hashWeight(e *tables.Endpoint) float64 {
	if e.PrefillRate > 0 {
		return e.PrefillRate / placement.DefaultPrefillRate
	}
	return 1
}

// minSharedCount is the decayed request count from which a block counts as
// shared by several requests.
const minSharedCount = 1.5

// candidates returns the endpoints of the request's pool with their expected
// cache hits.
func (r *Router) candidates(q *placement.Query) []placement.Candidate {
	p := r.pools[poolKeyOf(q.Request.Profile)]
	r.candidateBuf = r.candidateBuf[:0]
	if p == nil {
		return r.candidateBuf
	}
	blocks := q.Request.Request.Blocks
	if len(blocks) > 0 {
		r.cacheIndex.Match(q.Now, blocks, &r.matches)
	}
	q.MeanTurnoverSeconds = p.meanTurnover
	home, depth, assumedHitRatio := r.homeEndpoint(q, p)
	for i, index := range p.members {
		c := placement.Candidate{Row: r.endpoints.Row(index)}
		if len(blocks) > 0 {
			c.KnownTokens = r.matches.ExpectedBlocks(index) * prefix.BlockTokens
			c.TurnoverSeconds = p.turnovers[i]
		}
		c.CachedTokens = c.KnownTokens
		if index == home {
			c.HomeTokens = float64(depth * prefix.BlockTokens)
			c.CachedTokens = max(c.KnownTokens, assumedHitRatio*c.HomeTokens)
		}
		r.candidateBuf = append(r.candidateBuf, c)
	}
	return r.candidateBuf
}

// homeEndpoint returns the endpoint that the shared part of a prompt hashes to,
// the number of blocks in that part, and the fraction of it that the endpoint
// is assumed to have cached. An instance that receives no cache information
// assumes the whole part: the other instances hash the prefix to the same
// endpoint, or will once they receive it.
func (r *Router) homeEndpoint(q *placement.Query, p *pool) (tables.EndpointIndex, int, float64) {
	blocks := q.Request.Request.Blocks
	if len(blocks) == 0 {
		return tables.NoEndpoint, 0, 0
	}
	depth, assumedHitRatio := 0, r.homeHitRatio
	if r.isUninformed(q.Now) {
		depth, assumedHitRatio = r.depthStats[q.Request.Profile.Name].typicalDepth(len(blocks)), 1
	} else {
		depth = r.sharedDepth(blocks)
	}
	return p.homes.Home(blocks[depth-1], 0), depth, assumedHitRatio
}

// sharedDepth returns the number of leading blocks that identify the prompt's
// shared prefix: the depth that maximises the block's request count times the
// square of the depth. Counts differ between instances, but the depth at the
// maximum rarely does. A prompt without any shared block counts as shared to
// its full depth.
func (r *Router) sharedDepth(blocks []tables.BlockHash) int {
	bestDepth, maxWeight := len(blocks), 0.0
	for i, hash := range blocks {
		count := r.prefixCounter.Count(hash)
		if count < minSharedCount {
			break
		}
		length := float64(i + 1)
		if weight := count * length * length; weight >= maxWeight {
			bestDepth, maxWeight = i+1, weight
		}
	}
	return bestDepth
}
