package soak

import (
	"math/rand/v2"
	"time"
)

// Event is a fault of a plan.
type Event struct {
	At    time.Duration
	Fault string
	// For is how long it lasts, where it lasts.
	For time.Duration
	// Seed draws what it strikes.
	Seed uint64
}

const (
	// firstFault is when faults begin: the deployment is in use by then.
	firstFault = 2 * time.Second
	// Faults come from shortestGap to longestGap after one another, and last from
	// shortest to longest; so some overlap and some do not.
	shortestGap = 100 * time.Millisecond
	longestGap  = 1500 * time.Millisecond
	shortest    = 500 * time.Millisecond
	longest     = 5 * time.Second
	// series is the most faults of one kind that come in a row.
	series = 3
	// calmEnd is the time without new faults at the end of a plan.
	calmEnd = 3 * time.Second
)

// Plan draws the faults of a run. The same seed gives the same plan.
func Plan(seed uint64, length time.Duration, names []string) []Event {
	rng := rand.New(rand.NewPCG(seed, 4))
	var plan []Event
	at := firstFault
	for at < length-calmEnd {
		name := names[rng.IntN(len(names))]
		for range 1 + rng.IntN(series)*rng.IntN(2) {
			plan = append(plan, Event{
				At: at, Fault: name, Seed: rng.Uint64(),
				For: shortest + time.Duration(rng.Int64N(int64(longest-shortest))),
			})
			at += shortestGap + time.Duration(rng.Int64N(int64(longestGap-shortestGap)))
		}
	}
	return plan
}
