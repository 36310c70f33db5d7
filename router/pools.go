package router

import (
	"github.com/carawaystile/carawaystile/prefix"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/systems/placement/homes"
	"github.com/carawaystile/carawaystile/tables"
)

// groupKey names the endpoints that profiles choose from.
type groupKey struct {
	kind    tables.EndpointKind
	model   tables.ModelName
	service tables.ServiceName
}

// group is the endpoints declared for one model or service.
type group struct {
	members []tables.EndpointIndex
	homes   *homes.Table
	// capacity is the slots of all members.
	capacity int
	// turnovers are the turnovers of the members' caches in seconds.
	turnovers    []float64
	meanTurnover float64
}

func keyOf(p *tables.Profile) groupKey {
	if p.Kind == tables.PlainService {
		return groupKey{kind: p.Kind, service: p.Service}
	}
	return groupKey{kind: p.Kind, model: p.Model}
}

func (k groupKey) accepts(e *tables.Endpoint) bool {
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

// configureGroups works out the endpoints of each profile. A table of homes is
// filled anew only when its members have changed, because that is costly.
func (r *Router) configureGroups(now tables.Instant) {
	groups := make(map[groupKey]*group)
	for i := range r.config.Profiles {
		key := keyOf(&r.config.Profiles[i])
		if groups[key] == nil {
			groups[key] = r.newGroup(key)
		}
	}
	r.groups = groups
	for i := range r.endpoints.Len() {
		row := r.endpoints.Row(tables.EndpointIndex(i))
		r.view.SetEndpoint(row.Index, row.CacheBlocks)
	}
	for _, g := range groups {
		r.learnTurnovers(now, g)
	}
}

// learnTurnovers works out the turnovers of a group's caches.
func (r *Router) learnTurnovers(now tables.Instant, g *group) {
	g.turnovers = g.turnovers[:0]
	g.meanTurnover = 0
	for _, index := range g.members {
		turnover := r.view.Turnover(now, index).Seconds()
		g.turnovers = append(g.turnovers, turnover)
		g.meanTurnover += turnover / float64(len(g.members))
	}
}

func (r *Router) newGroup(key groupKey) *group {
	g := &group{}
	var members []homes.Member
	for i := range r.endpoints.Len() {
		row := r.endpoints.Row(tables.EndpointIndex(i))
		if row.Draining() || !key.accepts(&row.Endpoint) {
			continue
		}
		g.members = append(g.members, row.Index)
		g.capacity += row.Slots()
		members = append(members, homes.Member{ID: row.Endpoint.ID, Index: row.Index, Weight: homeWeight(&row.Endpoint)})
	}
	if old := r.groups[key]; old != nil && old.homes.Same(members) {
		g.homes = old.homes
		return g
	}
	g.homes = homes.New(members)
	return g
}

// homeWeight is the endpoint's part of prefixes by its declared speed.
func homeWeight(e *tables.Endpoint) float64 {
	if e.PrefillRate > 0 {
		return e.PrefillRate / placement.DefaultPrefillRate
	}
	return 1
}

// sharedCount is how often a block must have been asked for lately to count as
// shared by several requests.
const sharedCount = 1.5

// candidates describes the endpoints of the request's group.
func (r *Router) candidates(q *placement.Query) []placement.Candidate {
	g := r.groups[keyOf(q.Request.Profile)]
	r.scratch = r.scratch[:0]
	if g == nil {
		return r.scratch
	}
	blocks := q.Request.Request.Blocks
	if len(blocks) > 0 {
		r.view.Match(q.Now, blocks, &r.matches)
	}
	q.MeanTurnover = g.meanTurnover
	home, level, trust := r.home(q, g)
	for i, index := range g.members {
		c := placement.Candidate{Row: r.endpoints.Row(index)}
		if len(blocks) > 0 {
			c.KnownTokens = r.matches.Blocks(index) * prefix.BlockTokens
			c.Turnover = g.turnovers[i]
		}
		c.CachedTokens = c.KnownTokens
		if index == home {
			c.HomeTokens = float64(level * prefix.BlockTokens)
			c.CachedTokens = max(c.KnownTokens, trust*c.HomeTokens)
		}
		r.scratch = append(r.scratch, c)
	}
	return r.scratch
}

// home is the endpoint that the shared part of a prompt belongs to, the number
// of blocks of that part, and the part of it that is supposed to be there. An
// instance that hears nothing of others' placements supposes all of it: the
// others send the prefix there too, or will once they meet it.
func (r *Router) home(q *placement.Query, g *group) (tables.EndpointIndex, int, float64) {
	blocks := q.Request.Request.Blocks
	if len(blocks) == 0 {
		return tables.NoEndpoint, 0, 0
	}
	level, trust := 0, r.homeTrust
	if r.uninformed(q.Now) {
		level, trust = r.levels[q.Request.Profile.Name].usual(len(blocks)), 1
	} else {
		level = r.sharedLevel(blocks)
	}
	return g.homes.Home(blocks[level-1], 0), level, trust
}

// sharedLevel is the number of outermost blocks by which a prompt is grouped
// with others: where the times it was asked for weigh most together with the
// square of its length. Counts differ between instances, but which of a prompt's
// levels weighs most hardly does. A prompt of which nothing has been seen is
// taken as shared to its end.
func (r *Router) sharedLevel(blocks []tables.BlockHash) int {
	best, most := len(blocks), 0.0
	for i, hash := range blocks {
		count := r.counter.Count(hash)
		if count < sharedCount {
			break
		}
		length := float64(i + 1)
		if weight := count * length * length; weight >= most {
			best, most = i+1, weight
		}
	}
	return best
}
