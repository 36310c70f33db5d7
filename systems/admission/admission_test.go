package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/systems/admission"
	"github.com/carawaystile/carawaystile/tables"
)

// Requests arrive ten times as fast as they start. A caller whose request cannot
// start in time must be refused immediately, with a retry delay that matches the
// time in which the queue drains.
func TestBacklogRefusesWithAccurateRetryAfter(t *testing.T) {
	var b admission.Backlog
	now := time.Second
	const wait = 2 * time.Second
	for i := range 1000 {
		now += 10 * time.Millisecond
		if _, ok := b.Admit(now, wait); ok {
			b.Enqueued(now, wait)
		}
		if i%10 == 0 && b.Length() > 0 {
			b.Dequeued()
			b.Started(now)
		}
	}
	refusal, ok := b.Admit(now, wait)
	assert.Assert(t, !ok)
	assert.Equal(t, refusal.Code, tables.CodeOverloaded)
	drains := time.Duration(b.Length()) * 100 * time.Millisecond
	off := (refusal.RetryAfter + wait - drains).Abs()
	assert.Assert(t, off < drains/3, "retry after %v plus maximum wait %v, but the queue drains in %v", refusal.RetryAfter, wait, drains)
}

// A queue that is too short to predict a wait must not cause refusals.
func TestShortQueueAdmitsRequests(t *testing.T) {
	var b admission.Backlog
	for range 5 {
		b.Enqueued(time.Second, time.Second)
	}
	_, ok := b.Admit(time.Minute, time.Second)
	assert.Assert(t, ok)
}

// A request with a deadline must start early enough to complete before it, even
// if its profile permits a longer wait.
func TestStartByLeavesServiceTimeBeforeDeadline(t *testing.T) {
	row := &tables.RequestRow{
		Request:     &tables.Request{Deadline: 10 * time.Second},
		Profile:     &tables.Profile{MaxWait: time.Hour},
		SubmittedAt: time.Second,
	}
	assert.Equal(t, admission.StartBy(row, 3*time.Second), 7*time.Second)
}
