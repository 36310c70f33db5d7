package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// changeInterval is the time between two configurations of a SeriesPlan, and largeChange is one in
	// how many of them is large.
	changeInterval = 500 * time.Millisecond
	largeChange    = 4
)

// seriesOf is a fault that comes again and again in a SeriesPlan.
type seriesOf struct {
	fault string
	// The gaps between two faults are from shortest to longest.
	shortest, longest time.Duration
}

var overlapping = []seriesOf{
	{fault: "reload settings", shortest: 300 * time.Millisecond, longest: 1200 * time.Millisecond},
	{fault: "restart an entry", shortest: 700 * time.Millisecond, longest: 2500 * time.Millisecond},
	{fault: silenceFault, shortest: 200 * time.Millisecond, longest: 1000 * time.Millisecond},
}

// SeriesPlan changes the configuration at a steady pace while reloads, drains and silent endpoints
// overlap. Nothing in it excuses a request that is lost. The same seed gives the same plan.
func SeriesPlan(seed uint64, length time.Duration) []Event {
	rng := rand.New(rand.NewPCG(seed, 7))
	var plan []Event
	for at := firstFault; at < length-calmEnd; at += changeInterval {
		fault := "a new configuration"
		if rng.IntN(largeChange) == 0 {
			fault = "a large configuration"
		}
		plan = append(plan, Event{At: at, Fault: fault, Seed: rng.Uint64()})
	}
	for _, of := range overlapping {
		for at := firstFault; at < length-calmEnd; {
			plan = append(plan, Event{
				At: at, Fault: of.fault, Seed: rng.Uint64(),
				For: shortest + time.Duration(rng.Int64N(int64(longest-shortest))),
			})
			at += of.shortest + time.Duration(rng.Int64N(int64(of.longest-of.shortest)))
		}
	}
	slices.SortStableFunc(plan, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return plan
}
