package server

import "time"

// logClock gives the stamps of a leader's commands.
//
// It counts on from the newest stamp of the log by the leader's own monotonic
// clock. It never jumps to a clock of its own: the clocks of two leaders have
// nothing in common, and a jump forward would end leases and claims early.
type logClock struct {
	base   time.Duration
	origin time.Duration
}

// restart counts on from newest; a new leader calls it when it is elected.
func (c *logClock) restart(newest, now time.Duration) {
	c.base, c.origin = newest, now
}

// observe moves the clock up to a stamp of an earlier leader that was applied
// after the election.
func (c *logClock) observe(newest, now time.Duration) {
	if newest > c.at(now) {
		c.restart(newest, now)
	}
}

func (c *logClock) at(now time.Duration) time.Duration { return c.base + now - c.origin }
