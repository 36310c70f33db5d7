package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

// The lags and periods of the fakes.
const (
	hop          = time.Millisecond
	reportPeriod = 500 * time.Millisecond
	reportLag    = 250 * time.Millisecond
	eventPeriod  = 200 * time.Millisecond
	eventLag     = 400 * time.Millisecond
	tickPeriod   = 50 * time.Millisecond
	peerLag      = 20 * time.Millisecond
	// drainTime is how long a run goes on after the last arrival.
	drainTime = 5 * time.Minute
)

// decider is a policy at one instance. router.Router is one; the baselines are
// others.
type decider interface {
	Configure(tables.Instant, *tables.Configuration)
	Submit(tables.Instant, *tables.Request)
	Observe(tables.Instant, router.Input)
	Tick(tables.Instant) []router.Action
}

// knowledge says what instances hear of caches.
type knowledge struct {
	// eventLoss is the part of cache events that an instance does not get, and
	// eventSample the part of blocks that it hears of at all.
	eventLoss, eventSample float64
	// peerBytes is the budget for peer placements, for each instance, in bytes
	// a second; 0 means none are sent.
	peerBytes float64
}

// cluster is one run of one policy.
type cluster struct {
	time      *timeline
	site      *site
	engines   map[tables.EndpointID]*engine
	order     []*engine
	instances []*instance
	random    *rand.Rand
	knowledge knowledge
	records   map[tables.RequestID]*record
	// cut is set while zones do not reach each other.
	cut bool
	// uneven is set when instances are of different sizes.
	uneven bool
}

// instance is an entry instance with its policy.
type instance struct {
	cluster *cluster
	name    tables.InstanceID
	zone    tables.Zone
	up      bool
	decider decider
	flying  map[tables.AttemptID]*job
	peers   peerBudget
}

// record is what became of a request.
type record struct {
	request *tables.Request
	firstAt tables.Instant
	endedAt tables.Instant
	cached  int
	// at is the instance that the balancer chose.
	at *instance
	dispatched,
	completed, refused, failed bool
	attempts int
}

func newCluster(s *site, seed uint64, k knowledge) *cluster {
	c := &cluster{
		time: &timeline{}, site: s, engines: make(map[tables.EndpointID]*engine),
		random: rand.New(rand.NewPCG(seed, 17)), knowledge: k,
		records: make(map[tables.RequestID]*record),
	}
	known := make(map[tables.BlockHash]bool)
	for _, spec := range s.endpoints {
		e := newEngine(c.time, spec, known)
		c.engines[spec.ID] = e
		c.order = append(c.order, e)
	}
	return c
}

func (c *cluster) addInstance(d decider) {
	n := len(c.instances)
	i := &instance{
		cluster: c, name: instanceID(n), zone: instanceZone(n), up: true, decider: d,
		flying: make(map[tables.AttemptID]*job), peers: peerBudget{bytesPerSecond: c.knowledge.peerBytes},
	}
	c.instances = append(c.instances, i)
	d.Configure(0, c.site.configuration())
}

const zones = 3

func instanceID(n int) tables.InstanceID { return tables.InstanceID(fmt.Sprintf("i%d", n)) }

func instanceZone(n int) tables.Zone { return tables.Zone(fmt.Sprintf("z%d", n%zones)) }

// run plays the requests and returns when all are answered or time is over.
func (c *cluster) run(requests []*tables.Request, duration time.Duration) {
	c.time.horizon = duration
	for _, r := range requests {
		c.records[r.ID] = &record{request: r}
		c.time.at(r.Arrived, func() { c.arrive(r) })
	}
	c.every(reportPeriod, duration, c.sendReports)
	c.every(eventPeriod, duration, c.sendEvents)
	c.every(tickPeriod, duration, func() {
		for _, i := range c.instances {
			i.tick()
			c.passOn(i)
		}
	})
	c.time.run(duration + drainTime)
}

func (c *cluster) every(period, duration time.Duration, call func()) {
	var again func()
	again = func() {
		call()
		if c.time.now < duration+drainTime {
			c.time.after(period, again)
		}
	}
	c.time.after(period, again)
}

// balance chooses an instance by its size.
func (c *cluster) balance() *instance {
	weights := make([]float64, len(c.instances))
	for n, i := range c.instances {
		if i.up {
			weights[n] = c.size(n)
		}
	}
	return c.instances[pick(c.random, weights)]
}

// size is an instance's part of the traffic against others.
func (c *cluster) size(n int) float64 {
	if !c.uneven {
		return 1
	}
	return float64(1 + n%3)
}

// sizes is the sum of the sizes of so many instances.
func (c *cluster) sizes(instances int) float64 {
	sum := 0.0
	for n := range instances {
		sum += c.size(n)
	}
	return sum
}

// reaches says whether an instance and an engine can talk to each other.
func (c *cluster) reaches(i *instance, e *engine) bool {
	return !c.cut || i.zone == e.spec.Zone
}

// cutZones parts the zones; what runs across their borders breaks.
func (c *cluster) cutZones() {
	c.cut = true
	for _, e := range c.order {
		for _, j := range e.sorted() {
			if !c.reaches(j.owner, e) {
				e.end(j, router.Interrupted)
			}
		}
	}
}

// arrive gives a request to an instance, as the balancer would.
func (c *cluster) arrive(r *tables.Request) {
	i := c.balance()
	c.records[r.ID].at = i
	i.decider.Submit(c.time.now, r)
	i.tick()
}

func (c *cluster) sendReports() {
	for _, e := range c.order {
		if !e.up {
			continue
		}
		report := e.report()
		c.time.after(reportLag, func() {
			for _, i := range c.instances {
				if c.reaches(i, e) {
					i.observe(report)
				}
			}
		})
	}
}

func (c *cluster) sendEvents() {
	for _, e := range c.order {
		event, ok := e.events()
		if !ok {
			continue
		}
		event = c.sampled(event)
		for _, i := range c.instances {
			if c.random.Float64() < c.knowledge.eventLoss || !c.reaches(i, e) {
				continue
			}
			c.time.after(eventLag, func() { i.observe(event) })
		}
	}
}

// sampled keeps the blocks that instances hear of. All of them hear of the
// same ones, chosen by hash.
func (c *cluster) sampled(e router.CacheEvent) router.CacheEvent {
	part := c.knowledge.eventSample
	if part >= 1 {
		return e
	}
	keep := func(all []tables.BlockHash) []tables.BlockHash {
		var kept []tables.BlockHash
		for _, hash := range all {
			if float64(uint64(hash)%1024) < part*1024 {
				kept = append(kept, hash)
			}
		}
		return kept
	}
	e.Stored, e.Evicted = keep(e.Stored), keep(e.Evicted)
	return e
}

func (i *instance) observe(in router.Input) {
	if i.up {
		i.decider.Observe(i.cluster.time.now, in)
	}
}

func (i *instance) tick() {
	if !i.up {
		return
	}
	for _, action := range i.decider.Tick(i.cluster.time.now) {
		i.act(action)
	}
}

func (i *instance) act(action router.Action) {
	c := i.cluster
	switch a := action.(type) {
	case router.Dispatch:
		i.dispatch(a)
	case router.Abort:
		e := c.engines[a.Endpoint.ID]
		c.time.after(hop, func() { e.cancel(a.Attempt) })
	case router.Refuse:
		c.records[a.Request].refused = true
	case router.Fail:
		c.records[a.Request].failed = true
	}
}

func (i *instance) dispatch(a router.Dispatch) {
	c := i.cluster
	r := c.records[a.Request]
	r.dispatched = true
	r.attempts++
	j := &job{dispatch: a, request: r.request, owner: i}
	i.flying[a.Attempt] = j
	c.time.after(hop, func() {
		e := c.engines[a.Endpoint.ID]
		if !c.reaches(i, e) {
			i.ended(j, router.Unreachable)
			return
		}
		e.arrive(j)
	})
}

func (i *instance) firstToken(j *job) {
	r := i.cluster.records[j.dispatch.Request]
	if r.firstAt == 0 {
		r.firstAt = i.cluster.time.now + hop
		r.cached = j.cached
	}
	i.observe(router.FirstToken{Attempt: j.dispatch.Attempt, CachedTokens: j.cached})
	i.tick()
}

func (i *instance) ended(j *job, end router.AttemptResult) {
	delete(i.flying, j.dispatch.Attempt)
	r := i.cluster.records[j.dispatch.Request]
	if end == router.Completed && !r.failed {
		r.completed = true
		r.endedAt = i.cluster.time.now
	}
	delivered := j.delivered(i.cluster.time.now)
	i.observe(router.AttemptEnded{Attempt: j.dispatch.Attempt, Result: end, GeneratedTokens: delivered, DeliveredTokens: delivered})
	i.cluster.time.after(0, i.tick)
}

// peerBudget limits what an instance passes on of its placements.
type peerBudget struct {
	bytesPerSecond float64
	spent          float64
}

// peerBytes is the size of one peer placement on the wire: hash, endpoint and
// boot, packed.
const peerBytes = 14

// newsSource is a policy that has something to tell the other instances.
type newsSource interface {
	DrainPlacements(dst []router.PeerPlacement, limit int) []router.PeerPlacement
}

// passOn tells the other instances of placements, as far as the budget goes.
func (c *cluster) passOn(from *instance) {
	source, ok := from.decider.(newsSource)
	if !ok || c.knowledge.peerBytes <= 0 {
		return
	}
	cost := float64(peerBytes * (len(c.instances) - 1))
	left := c.knowledge.peerBytes*max(1, c.time.now.Seconds()) - from.peers.spent
	rows := source.DrainPlacements(nil, int(left/max(1, cost)))
	from.peers.spent += cost * float64(len(rows))
	for _, row := range rows {
		for _, other := range c.instances {
			if other != from && (!c.cut || other.zone == from.zone) {
				c.time.after(peerLag, func() { other.observe(row) })
			}
		}
	}
}
