package drain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDrainPassesThroughItsStates(t *testing.T) {
	m := Machine{LameDuckPeriod: 5 * time.Second}
	assert.Equal(t, m.Tick(time.Second, 0), Serving)
	assert.Assert(t, m.State().Ready())

	m.Begin(10 * time.Second)
	assert.Equal(t, m.Tick(10*time.Second, 0), LameDuck)
	assert.Assert(t, !m.State().Ready())
	assert.Assert(t, m.State().AcceptsRequests())
	m.Begin(14 * time.Second)
	assert.Equal(t, m.NextTransition(14*time.Second), time.Second)

	assert.Equal(t, m.Tick(15*time.Second, 2), Draining)
	assert.Assert(t, !m.State().AcceptsRequests())
	assert.Equal(t, m.Tick(time.Hour, 1), Draining)
	assert.Equal(t, m.Tick(time.Hour, 0), Stopped)
}

func TestSecondSignalEndsTheDrain(t *testing.T) {
	m := Machine{LameDuckPeriod: 5 * time.Second}
	m.Abort()
	assert.Equal(t, m.Tick(0, 0), Serving)
	m.Begin(0)
	m.Abort()
	assert.Equal(t, m.Tick(0, 7), Stopped)
}
