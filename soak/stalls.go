package soak

import "time"

// stallTick is the time between two looks at the clock. It is far below timeoutSlack.
const stallTick = 10 * time.Millisecond

// watchStalls measures for how long the machine keeps this process from running. It ends with
// stop, and the channel that it returns then gives the longest time by which a tick was late.
func watchStalls(stop <-chan struct{}) <-chan time.Duration {
	longest := make(chan time.Duration, 1)
	go func() {
		ticker := time.NewTicker(stallTick)
		defer ticker.Stop()
		var most time.Duration
		last := time.Now()
		for {
			select {
			case <-stop:
				longest <- most
				return
			case <-ticker.C:
			}
			now := time.Now()
			most = max(most, now.Sub(last)-stallTick)
			last = now
		}
	}()
	return longest
}
