package health_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/systems/health"
	"github.com/carawaystile/carawaystile/tables"
)

// An endpoint fails again each time it is tried. It must be tried ever more
// rarely, and be trusted again once it has answered a few times.
func TestEjectionsLengthenUntilItAnswers(t *testing.T) {
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

func TestOneFailureEjectsOnProbationOnly(t *testing.T) {
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

// A request waits long for its first token because more urgent ones are served
// before it. The endpoint does not hang, and must not be taken out.
func TestProgressForOthersIsNotHanging(t *testing.T) {
	a := &tables.AttemptRow{DispatchedAt: time.Second, ExpectedTTFT: time.Second}
	assert.Assert(t, !health.IsHung(9*time.Second, 0, a))
	assert.Assert(t, health.IsHung(15*time.Second, 0, a))
	assert.Assert(t, !health.IsHung(15*time.Second, 14*time.Second, a))
}
