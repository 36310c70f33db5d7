package drain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestDrainPassesThroughItsStates(t *testing.T) {
	m := Machine{Serve: 5 * time.Second}
	assert.Equal(t, m.Tick(time.Second, 0), Serving)
	assert.Assert(t, m.State().Ready())

	m.Begin(10 * time.Second)
	assert.Equal(t, m.Tick(10*time.Second, 0), Announced)
	assert.Assert(t, !m.State().Ready())
	assert.Assert(t, m.State().Admits())
	m.Begin(14 * time.Second)
	assert.Equal(t, m.Wait(14*time.Second), time.Second)

	assert.Equal(t, m.Tick(15*time.Second, 2), Closing)
	assert.Assert(t, !m.State().Admits())
	assert.Equal(t, m.Tick(time.Hour, 1), Closing)
	assert.Equal(t, m.Tick(time.Hour, 0), Ended)
}

func TestSecondSignalEndsTheDrain(t *testing.T) {
	m := Machine{Serve: 5 * time.Second}
	m.Abandon()
	assert.Equal(t, m.Tick(0, 0), Serving)
	m.Begin(0)
	m.Abandon()
	assert.Equal(t, m.Tick(0, 7), Ended)
}
