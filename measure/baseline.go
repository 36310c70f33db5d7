package measure

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// chooser is the part in which the baselines differ.
type chooser interface {
	choose(b *baseline, r *tables.Request, usable []int) int
}

// baseline dispatches every request at once to the endpoint that its chooser
// names, and again elsewhere when that fails, as common proxies do. Endpoints
// that have just failed are passed over for a second.
type baseline struct {
	name     tables.InstanceID
	chooser  chooser
	config   *tables.Configuration
	profiles map[tables.ProfileName]*tables.Profile
	flying   map[tables.AttemptID]flight
	own      []int
	down     []tables.Instant
	actions  []router.Action
	next     int
}

type flight struct {
	request  *tables.Request
	endpoint int
	tries    int
}

const (
	baselineTries = 4
	baselineDown  = time.Second
)

func newBaseline(name tables.InstanceID, c chooser) *baseline {
	return &baseline{
		name: name, chooser: c, profiles: make(map[tables.ProfileName]*tables.Profile),
		flying: make(map[tables.AttemptID]flight),
	}
}

// Configure takes over the endpoints.
func (b *baseline) Configure(_ tables.Instant, c *tables.Configuration) {
	b.config = c
	b.own = make([]int, len(c.Endpoints))
	b.down = make([]tables.Instant, len(c.Endpoints))
	for i := range c.Profiles {
		b.profiles[c.Profiles[i].Name] = &c.Profiles[i]
	}
}

// Submit dispatches at once.
func (b *baseline) Submit(now tables.Instant, r *tables.Request) { b.send(now, r, 1, 0) }

func (b *baseline) send(now tables.Instant, r *tables.Request, try, resume int) {
	var usable []int
	for i := range b.config.Endpoints {
		if b.down[i] <= now {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		b.actions = append(b.actions, router.Fail{Request: r.ID, Code: tables.CodeNoEndpoint, Outcome: tables.OutcomeUnknown})
		return
	}
	at := b.chooser.choose(b, r, usable)
	b.next++
	id := tables.AttemptID(fmt.Sprintf("%s-%d", b.name, b.next))
	b.flying[id] = flight{request: r, endpoint: at, tries: try}
	b.own[at]++
	b.actions = append(b.actions, router.Dispatch{
		Request: r.ID, Attempt: id, Endpoint: b.config.Endpoints[at], Weights: weightsVersion,
		Priority: b.profiles[r.Profile].Priority, ResumeFrom: resume,
	})
}

// Observe sends a request again when its attempt has failed.
func (b *baseline) Observe(now tables.Instant, in router.Input) {
	ended, ok := in.(router.AttemptEnded)
	if !ok {
		return
	}
	f, ok := b.flying[ended.Attempt]
	if !ok {
		return
	}
	delete(b.flying, ended.Attempt)
	b.own[f.endpoint]--
	if ended.Result == router.Completed || ended.Result == router.Cancelled {
		return
	}
	b.down[f.endpoint] = now + baselineDown
	if f.tries >= baselineTries {
		b.actions = append(b.actions, router.Fail{Request: f.request.ID, Code: tables.CodeEndpointFailed, Outcome: tables.OutcomeUnknown})
		return
	}
	b.send(now, f.request, f.tries+1, ended.DeliveredTokens)
}

// Tick returns the actions since the last call.
func (b *baseline) Tick(tables.Instant) []router.Action {
	out := b.actions
	b.actions = nil
	return out
}

// roundRobin takes the endpoints in turn.
type roundRobin struct{ turn int }

func (c *roundRobin) choose(_ *baseline, _ *tables.Request, usable []int) int {
	c.turn++
	return usable[c.turn%len(usable)]
}

// leastRequests takes the endpoint with the fewest own attempts for its slots.
type leastRequests struct{ turn int }

func (c *leastRequests) choose(b *baseline, _ *tables.Request, usable []int) int {
	c.turn++
	best, least := 0, 0.0
	for n := range usable {
		i := usable[(n+c.turn)%len(usable)]
		load := float64(b.own[i]) / float64(b.config.Endpoints[i].Slots)
		if n == 0 || load < least {
			best, least = i, load
		}
	}
	return best
}

// prefixHash takes the endpoint by rendezvous hashing of the prefix up to a
// level that is right for the site: what one subject's requests share.
type prefixHash struct{ level int }

func (c *prefixHash) choose(b *baseline, r *tables.Request, usable []int) int {
	key := uint64(r.Fingerprint)
	if n := min(c.level, len(r.Blocks)); n > 0 {
		key = uint64(r.Blocks[n-1])
	}
	best, highest := 0, uint64(0)
	for _, i := range usable {
		h := placement.Mix64(key ^ xxhash.Sum64String(string(b.config.Endpoints[i].ID)))
		if h >= highest {
			best, highest = i, h
		}
	}
	return best
}
