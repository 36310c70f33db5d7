package dispatch

import (
	"math"
	"time"

	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// Costs are in milliseconds of the caller's wait.
const (
	// crossZone is what leaving the zone costs beyond the way itself: bytes
	// between zones are dear for both users.
	crossZone = 30.0
	// fetchCost is what fetching a shared part from another endpoint's memory
	// costs: a gigabyte for 6,000 tokens, at 280 to 550 Gbit/s.
	fetchCost = 25.0
	// strayCost is what a further copy of a shared part costs those whose parts
	// it pushes out of memory.
	strayCost = 20.0
	// doubtCost is the cost of one recent failure.
	doubtCost = 250.0
	// staleSoon is how long after newer weights were named it makes no
	// difference which a request begins on, and staleCost what it costs after.
	staleSoon = 1200 * time.Millisecond
	staleCost = 150.0
	// staleMargin is kept from the time at which older weights must not begin
	// any more.
	staleMargin = 1500 * time.Millisecond
	// minShared is the least shared part, in tokens, that is worth a home.
	minShared = 512
	// memoryPart is the part of an engine's memory that is filled on purpose;
	// beyond it running requests push each other out.
	memoryPart = 0.95
	// otherTokens is the memory assumed of another instance's request.
	otherTokens = 1500
	// waitingTokens is the prefill assumed of a request that waits at an engine.
	waitingTokens = 1500
	// homeDoubt is the doubt above which an endpoint is nobody's home, and
	// sourceDoubt that above which nothing is fetched from it: a dead source
	// costs some tenths of a second.
	homeDoubt   = 2.0
	sourceDoubt = 0.5
	// spreadCost tells equals apart.
	spreadCost = 6.0
)

// candidate is an endpoint with what it would cost.
type candidate struct {
	row  *row
	cost float64
	// wait is the part of the cost that the caller would wait.
	wait     float64
	uncached float64
	// source most likely holds the shared part if the endpoint does not.
	source *row
}

// Place chooses an endpoint and counts the attempt there. It returns nil and
// the reason if there is none now.
func (d *Dispatcher) Place(now tables.Instant, r *Request) (*Attempt, Reason) {
	rows := d.services[r.Service.Name]
	if r.Service.CacheTokens > 0 && r.tokens() > r.Service.CacheTokens {
		return nil, TooLarge
	}
	d.picks++
	all := d.homesOf(now, r, rows)
	best, reason := candidate{cost: math.Inf(1)}, NoEndpoint
	for _, row := range rows {
		if r.tried(row.ID) || !d.usable(now, r, row) {
			continue
		}
		if !d.hasRoom(now, r, row) {
			reason = Full
			continue
		}
		c := d.weigh(now, r, row, all)
		if c.cost < best.cost {
			best = c
		}
	}
	if best.row == nil {
		return nil, reason
	}
	if left := float64(r.Deadline-now) / float64(time.Millisecond); best.wait > left {
		return nil, TooLate
	}
	return d.begin(now, r, best), ""
}

// usable says whether the endpoint may get the request at all.
func (d *Dispatcher) usable(now tables.Instant, r *Request, row *row) bool {
	if row.Draining || now < row.avoidUntil {
		return false
	}
	if r.Model == "" {
		return true
	}
	version, serves := row.Weights[r.Model]
	if !serves || row.Loading {
		return false
	}
	want := d.wanted[r.Model]
	limit := d.options.WeightsTimeout
	return version >= want.version || limit == 0 || now-want.since < limit-staleMargin
}

func (d *Dispatcher) hasRoom(now tables.Instant, r *Request, row *row) bool {
	if r.Service.Slots == 0 {
		return true
	}
	others := row.othersNow(now)
	if float64(row.own)+others >= float64(r.Service.Slots) {
		return false
	}
	used := float64(row.tokens) + others*otherTokens + float64(r.tokens())
	return row.own == 0 || used <= memoryPart*float64(r.Service.CacheTokens)
}

// homes are the endpoints of one weights version that a shared part belongs to:
// first is where it is kept, second where it was kept before first was there,
// or will be when first is gone.
type homes struct {
	version       uint64
	first, second *row
	// draws are the hashes by which they were chosen.
	firstDraw, secondDraw uint64
}

// homesOf ranks the endpoints for a shared part by a hash over the endpoint and
// the part, so that all instances agree without a word. Parts made under
// different weights are never shared, so each version has homes of its own;
// while weights are changed, they move to the endpoints that are done.
func (d *Dispatcher) homesOf(now tables.Instant, r *Request, rows []*row) []homes {
	if r.SharedTokens < minShared {
		return nil
	}
	d.homeScratch = d.homeScratch[:0]
	for _, row := range rows {
		if row.Draining || row.Loading || row.Weights[r.Model] == 0 || row.doubtNow(now) > homeDoubt {
			continue
		}
		d.rank(row, row.Weights[r.Model], placement.Mix(row.hash^r.SharedKey))
	}
	return d.homeScratch
}

func (d *Dispatcher) rank(row *row, version, draw uint64) {
	for i := range d.homeScratch {
		h := &d.homeScratch[i]
		if h.version != version {
			continue
		}
		switch {
		case draw > h.firstDraw:
			h.second, h.secondDraw = h.first, h.firstDraw
			h.first, h.firstDraw = row, draw
		case draw > h.secondDraw:
			h.second, h.secondDraw = row, draw
		}
		return
	}
	d.homeScratch = append(d.homeScratch, homes{version: version, first: row, firstDraw: draw})
}

// homesFor finds the homes among endpoints that serve a version.
func homesFor(all []homes, version uint64) *homes {
	for i := range all {
		if all[i].version == version {
			return &all[i]
		}
	}
	return nil
}

// weigh gives the cost of an endpoint.
func (d *Dispatcher) weigh(now tables.Instant, r *Request, row *row, all []homes) candidate {
	c := candidate{row: row}
	if r.Model == "" {
		load := float64(row.own) + row.othersNow(now)
		c.wait = row.service * (1 + load/float64(max(row.Slots, 1)))
		c.cost = c.wait
	} else {
		d.weighGeneration(now, r, &c, homesFor(all, row.Weights[r.Model]))
	}
	if row.Zone != d.options.Zone {
		c.cost += crossZone
	}
	c.cost += doubtCost * row.doubtNow(now)
	c.cost += spreadCost * float64(placement.Mix(row.hash^d.options.Seed^d.picks*0x9e3779b97f4a7c15)>>40) / (1 << 24)
	return c
}

// weighGeneration adds up the prefill before a generation and its own.
func (d *Dispatcher) weighGeneration(now tables.Instant, r *Request, c *candidate, h *homes) {
	row := c.row
	c.uncached = float64(r.PromptTokens)
	if h != nil {
		c.uncached -= float64(r.SharedTokens)
		c.source = h.first
		if row == h.first {
			c.source = h.second
		}
	}
	c.wait = baseFirst + (row.ahead(now)+c.uncached)/row.rate
	if h != nil && row != h.first {
		c.wait += fetchCost
		c.cost += strayCost
	}
	c.cost += c.wait + d.stale(now, r, row)
}

// ahead is the prefill before a new request, in tokens.
func (r *row) ahead(now tables.Instant) float64 {
	return r.prefill + r.waiting*decay(now-r.othersAt, loadKeep)*waitingTokens
}

func (d *Dispatcher) stale(now tables.Instant, r *Request, row *row) float64 {
	want := d.wanted[r.Model]
	if row.Weights[r.Model] >= want.version || now-want.since < staleSoon {
		return 0
	}
	return staleCost
}

// begin counts the attempt.
func (d *Dispatcher) begin(now tables.Instant, r *Request, c candidate) *Attempt {
	a := &Attempt{
		Endpoint:  c.row.Endpoint,
		Expected:  time.Duration(c.wait * float64(time.Millisecond)),
		row:       c.row,
		began:     now,
		tokens:    r.tokens(),
		prefill:   c.uncached,
		ahead:     c.row.ahead(now),
		generates: r.Model != "",
	}
	if a.generates {
		a.Weights = c.row.Weights[r.Model]
	}
	if c.source != nil && now >= c.source.avoidUntil && c.source.doubtNow(now) < sourceDoubt {
		a.Source = c.source.Endpoint
	}
	c.row.own++
	c.row.tokens += a.tokens
	c.row.prefill += a.prefill
	return a
}
