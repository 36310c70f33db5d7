package health_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/systems/health"
	"github.com/carawaystile/carawaystile/tables"
)

// An endpoint fails again each time it is tried. Each ejection must last longer
// than the one before, until the endpoint has recovered with a few successes.
func TestEjectionTimeGrowsUntilRecovery(t *testing.T) {
	var h tables.Health
	now := time.Second
	last := time.Duration(0)
	for range 4 {
		health.Eject(now, &h)
		out := h.EjectedUntil - now
		assert.Assert(t, out > last)
		last = out
		now = h.EjectedUntil
		health.EndEjection(now, &h)
		assert.Equal(t, h.State, tables.Probation)
	}
	for range 3 {
		health.RecordSuccess(&h)
	}
	assert.Equal(t, h.State, tables.Healthy)
	health.Eject(now, &h)
	assert.Equal(t, h.EjectedUntil-now, time.Second)
}

// A healthy endpoint must be ejected by the third consecutive failure only; a
// success in between resets the count. An endpoint on probation must be ejected
// by the first failure.
func TestSingleFailureEjectsOnlyOnProbation(t *testing.T) {
	h := tables.Health{State: tables.Probation}
	health.RecordFailure(time.Second, &h)
	assert.Equal(t, h.State, tables.Ejected)
	h = tables.Health{}
	health.RecordFailure(time.Second, &h)
	health.RecordSuccess(&h)
	health.RecordFailure(time.Second, &h)
	health.RecordFailure(time.Second, &h)
	assert.Equal(t, h.State, tables.Healthy)
	health.RecordFailure(time.Second, &h)
	assert.Equal(t, h.State, tables.Ejected)
}

// A request waits long for its first token because the endpoint serves more
// urgent ones first. The endpoint does not hang and must not be ejected.
func TestAttemptIsNotHungWhileEndpointMakesProgress(t *testing.T) {
	a := &tables.AttemptRow{DispatchedAt: time.Second, ExpectedTTFT: time.Second}
	assert.Assert(t, !health.IsHung(9*time.Second, 0, a))
	assert.Assert(t, health.IsHung(15*time.Second, 0, a))
	assert.Assert(t, !health.IsHung(15*time.Second, 14*time.Second, a))
}
