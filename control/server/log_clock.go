package server

import "time"

// logClock produces the timestamps of a leader's commands, which form the log time.
//
// It continues from the newest timestamp in the log at the rate of the leader's
// monotonic clock. It never adopts the reading of that clock: the clocks of two
// leaders are unrelated, and a jump forward would expire leases and claims early.
type logClock struct {
	base   time.Duration
	origin time.Duration
}

// restart continues from the given timestamp. A replica calls it when it is elected
// leader.
func (c *logClock) restart(newest, now time.Duration) {
	c.base, c.origin = newest, now
}

// observe advances the clock to the timestamp of an earlier leader's command that
// was applied after the election.
func (c *logClock) observe(newest, now time.Duration) {
	if newest > c.at(now) {
		c.restart(newest, now)
	}
}

// at returns the log time at the given time of the monotonic clock.
func (c *logClock) at(now time.Duration) time.Duration { return c.base + now - c.origin }
