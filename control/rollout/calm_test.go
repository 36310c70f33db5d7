package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestCalmClockCountsCalmStretchesOnly(t *testing.T) {
	var clock calmClock
	for now := simStep; now <= 10*time.Second; now += simStep {
		// Calm until 3 s, from 4 to 5 s, and from 6 s on.
		clock.observe(now, now <= 3*time.Second || now > 4*time.Second && now <= 5*time.Second || now > 6*time.Second)
	}
	assert.Equal(t, clock.since(0), 7*time.Second)
	assert.Equal(t, clock.since(2*time.Second), 5*time.Second)
	assert.Equal(t, clock.since(7*time.Second), 3*time.Second)
}
