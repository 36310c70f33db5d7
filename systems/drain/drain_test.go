package drain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// New requests must be accepted throughout the lame-duck period, which a second
// call of Begin must not extend, and open requests must end before the instance
// stops.
func TestShutdownStateSequence(t *testing.T) {
	m := Machine{LameDuckPeriod: 5 * time.Second}
	assert.Equal(t, m.Tick(time.Second, 0), Serving)
	assert.Assert(t, m.State().Ready())

	m.Begin(10 * time.Second)
	assert.Equal(t, m.Tick(10*time.Second, 0), LameDuck)
	assert.Assert(t, !m.State().Ready())
	assert.Assert(t, m.State().AcceptsRequests())
	m.Begin(14 * time.Second)
	assert.Equal(t, m.UntilDraining(14*time.Second), time.Second)

	assert.Equal(t, m.Tick(15*time.Second, 2), Draining)
	assert.Assert(t, !m.State().AcceptsRequests())
	assert.Equal(t, m.Tick(time.Hour, 1), Draining)
	assert.Equal(t, m.Tick(time.Hour, 0), Stopped)
}

// A second signal must end a shutdown despite open requests, but must not stop
// an instance that is still serving.
func TestAbortStopsImmediately(t *testing.T) {
	m := Machine{LameDuckPeriod: 5 * time.Second}
	m.Abort()
	assert.Equal(t, m.Tick(0, 0), Serving)
	m.Begin(0)
	m.Abort()
	assert.Equal(t, m.Tick(0, 7), Stopped)
}
