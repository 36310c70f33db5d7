// Package measure plays the same traffic to several placement policies and
// compares what callers would see. Engines are small fakes in virtual time:
// a queue, a cache and lagging reports, without a network. It measures the
// decisions, not the daemon.
package measure

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

// Fault is what goes wrong during a run.
type Fault string

// The faults that can be played.
const (
	None Fault = "none"
	// Crash: an engine crashes every 20 s and returns empty after 5 s.
	Crash Fault = "crash"
	// EventLoss: instances lose a third of all cache events.
	EventLoss Fault = "event-loss"
	// Shift: the popularity of prefixes is dealt anew every 30 s.
	Shift Fault = "shift"
	// InstanceLoss: two of the entry instances are replaced by empty ones in
	// the middle of the run.
	InstanceLoss Fault = "instance-loss"
	// Slow: one engine becomes four times slower in the middle of the run.
	Slow Fault = "slow"
	// Burst: the largest organisation sends five times as much for a third of
	// the run.
	Burst Fault = "burst"
	// ZoneCut: for a third of the run no zone reaches another.
	ZoneCut Fault = "zone-cut"
	// Uneven: entry instances are of three sizes, which get one, two and three
	// parts of the traffic.
	Uneven Fault = "uneven"
)

// Options say what to measure. The zero value measures both sites, all
// policies and one seed without a fault.
type Options struct {
	// Sites are "ashanti" and "tawe".
	Sites []string
	// Policies are "round-robin", "least-requests", "prefix-hash", "ours" and
	// "oracle".
	Policies []string
	Seeds    []uint64
	Faults   []Fault
	// Load is the offered load as a part of the site's capacity; 0 means 0.8.
	Load float64
	// Instances is the number of entry instances; 0 means 6.
	Instances int
	// Duration is the virtual time in which requests arrive; 0 means 240 s.
	// Those of the first 120 s fill the caches and are not counted.
	Duration time.Duration
	// Events is the part of cached blocks that instances are told of; 0 means
	// all, and Blind turns the events off. PeerBytes is how many bytes a second
	// each may pass on of its placements; 0 means 2000, below 0 none.
	Events    float64
	PeerBytes float64
	Blind     bool
}

// UnknownNameError says that an option names something that does not exist.
type UnknownNameError struct {
	Kind string
	Name string
}

// Error names it.
func (e *UnknownNameError) Error() string { return "unknown " + e.Kind + " " + e.Name }

const (
	defaultLoad      = 0.8
	defaultInstances = 6
	defaultDuration  = 240 * time.Second
	defaultPeerBytes = 2000
	warmUp           = 120 * time.Second
)

// policies are all policies in the order of the report.
var policies = []string{"round-robin", "least-requests", "prefix-hash", "ours", "oracle"}

// faults are all faults.
var faults = []Fault{None, Crash, EventLoss, Shift, InstanceLoss, Slow, Burst, ZoneCut, Uneven}

// check finds names that do not exist before anything is played.
func (o Options) check() error {
	for _, name := range o.Policies {
		if !slices.Contains(policies, name) {
			return trace.Wrap(&UnknownNameError{Kind: "policy", Name: name})
		}
	}
	for _, fault := range o.Faults {
		if !slices.Contains(faults, fault) {
			return trace.Wrap(&UnknownNameError{Kind: "fault", Name: string(fault)})
		}
	}
	return nil
}

func (o Options) withDefaults() Options {
	if len(o.Sites) == 0 {
		o.Sites = []string{"ashanti", "tawe"}
	}
	if len(o.Policies) == 0 {
		o.Policies = policies
	}
	if len(o.Seeds) == 0 {
		o.Seeds = []uint64{1}
	}
	if len(o.Faults) == 0 {
		o.Faults = []Fault{None}
	}
	if o.Load == 0 {
		o.Load = defaultLoad
	}
	if o.Instances == 0 {
		o.Instances = defaultInstances
	}
	if o.Duration == 0 {
		o.Duration = defaultDuration
	}
	if o.PeerBytes == 0 {
		o.PeerBytes = defaultPeerBytes
	}
	if o.Events == 0 {
		o.Events = 1
	}
	return o
}

func siteNamed(name string) (site, error) {
	switch name {
	case "ashanti":
		return ashanti(), nil
	case "tawe":
		return tawe(), nil
	}
	return site{}, trace.Wrap(&UnknownNameError{Kind: "site", Name: name})
}

// Run plays every site, fault, policy and seed and returns one row for each
// site, fault and policy.
func Run(ctx context.Context, options Options) (Report, error) {
	options = options.withDefaults()
	if err := options.check(); err != nil {
		return Report{}, err
	}
	var report Report
	for _, name := range options.Sites {
		s, err := siteNamed(name)
		if err != nil {
			return report, err
		}
		for _, fault := range options.Faults {
			for _, policy := range options.Policies {
				row, err := runPolicy(ctx, options, s, fault, policy)
				if err != nil {
					return report, trace.Wrap(err)
				}
				report.Rows = append(report.Rows, row)
			}
		}
	}
	report.Load = options.Load
	report.Seeds = options.Seeds
	return report, nil
}

func runPolicy(ctx context.Context, options Options, s site, fault Fault, policy string) (Row, error) {
	row := newTally(s, fault, policy)
	for _, seed := range options.Seeds {
		if err := ctx.Err(); err != nil {
			return Row{}, trace.Wrap(err)
		}
		c, err := runOnce(options, s, fault, policy, seed)
		if err != nil {
			return Row{}, err
		}
		row.add(c, options.Duration)
	}
	return row.row(), nil
}

func runOnce(options Options, s site, fault Fault, policy string, seed uint64) (*cluster, error) {
	t := traffic{
		site: &s, random: rand.New(rand.NewPCG(seed, 1)), rate: s.capacity * options.Load, duration: options.Duration,
	}
	k := knowledge{eventSample: options.Events, peerBytes: options.PeerBytes}
	if options.Blind {
		k.eventLoss = 1
	}
	switch fault {
	case Shift:
		t.shift = 30 * time.Second
	case Burst:
		t.burst = 5
	case EventLoss:
		k.eventLoss = max(k.eventLoss, 1.0/3)
	}
	requests := t.draw()
	c := newCluster(&s, seed, k)
	c.uneven = fault == Uneven
	for n := range options.Instances {
		d, err := c.newDecider(policy, n, seed, options.Instances)
		if err != nil {
			return nil, err
		}
		c.addInstance(d)
	}
	if policy == "oracle" {
		f := newFuture(c.time, requests)
		for _, e := range c.order {
			e.cache.nextUse = f.next
		}
	}
	c.plan(fault, policy, seed, options)
	c.run(requests, options.Duration)
	return c, nil
}

func (c *cluster) newDecider(policy string, n int, seed uint64, instances int) (decider, error) {
	name := instanceID(n)
	switch policy {
	case "round-robin":
		return newBaseline(name, &roundRobin{turn: n}), nil
	case "least-requests":
		return newBaseline(name, &leastRequests{turn: n}), nil
	case "prefix-hash":
		return newBaseline(name, &prefixHash{level: c.site.house + c.site.subject}), nil
	case "oracle":
		return newBaseline(name, &oracle{cluster: c, counted: make(map[tables.BlockHash]bool)}), nil
	case "ours":
		r := router.New(router.Options{
			Instance: name, Zone: instanceZone(n), Seed: seed*1000 + uint64(n), CacheIndexEntries: 1 << 16, ExplanationLimit: 512,
		})
		r.Observe(0, router.EntryPeers{Share: c.size(n) / c.sizes(instances)})
		return r, nil
	}
	return nil, trace.Wrap(&UnknownNameError{Kind: "policy", Name: policy})
}

// plan sets the fault's steps on the timeline.
func (c *cluster) plan(fault Fault, policy string, seed uint64, options Options) {
	middle := warmUp + (options.Duration-warmUp)/2
	switch fault {
	case Crash:
		n := 0
		for at := warmUp; at < options.Duration; at += 20 * time.Second {
			e := c.order[(n*4+int(seed))%len(c.order)]
			c.time.at(at, func() { e.crash(5 * time.Second) })
			n++
		}
	case ZoneCut:
		third := (options.Duration - warmUp) / 3
		c.time.at(warmUp+third, c.cutZones)
		c.time.at(warmUp+2*third, func() { c.cut = false })
	case Slow:
		c.time.at(middle, func() { c.order[0].slow = 4 })
	case InstanceLoss:
		c.time.at(middle, func() {
			for n := range 2 {
				c.replace(n, policy, seed+100, options.Instances)
			}
		})
	}
}

// replace ends an instance with everything it had in flight, and starts an
// empty one in its place.
func (c *cluster) replace(n int, policy string, seed uint64, instances int) {
	old := c.instances[n]
	old.up = false
	for _, e := range c.order {
		for _, j := range e.sorted() {
			if j.owner == old {
				c.records[j.dispatch.Request].failed = true
				e.cancel(j.dispatch.Attempt)
			}
		}
	}
	for _, r := range c.records {
		if r.at == old && !r.dispatched && !r.refused {
			r.failed = true
		}
	}
	d, err := c.newDecider(policy, n, seed, instances)
	if err != nil {
		return
	}
	c.addInstance(d)
	last := c.instances[len(c.instances)-1]
	last.zone = tables.Zone(old.zone)
}
