package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/systems/admission"
	"github.com/carawaystile/carawaystile/tables"
)

// Requests come ten times as fast as they are started. A caller who would wait
// in vain must be told at once, with a time at which the queue will be short.
func TestBacklogRefusesEarlyAndHonestly(t *testing.T) {
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
	assert.Assert(t, off < drains/3, "retry after %v and waited %v, drains in %v", refusal.RetryAfter, wait, drains)
}

func TestAShortQueueRefusesNobody(t *testing.T) {
	var b admission.Backlog
	for range 5 {
		b.Enqueued(time.Second, time.Second)
	}
	_, ok := b.Admit(time.Minute, time.Second)
	assert.Assert(t, ok)
}

func TestStartByKeepsTheDeadline(t *testing.T) {
	row := &tables.RequestRow{
		Request:     &tables.Request{Deadline: 10 * time.Second},
		Profile:     &tables.Profile{MaxWait: time.Hour},
		SubmittedAt: time.Second,
	}
	assert.Equal(t, admission.StartBy(row, 3*time.Second), 7*time.Second)
}
