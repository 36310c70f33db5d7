package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An engine has read a prompt and has a long queue; another has neither, and since
// the first has just failed nothing is fetched from it. Waiting for the first would
// make the answer late, and a late answer is worth a tenth: reading the prompt
// again is the lesser loss. With a shorter queue it is not.
func TestAPromptIsReadAgainBeforeItsAnswerIsLate(t *testing.T) {
	for _, c := range []struct {
		queue int
		stays bool
	}{{10_000, true}, {30_000, false}} {
		d, _ := world(2)
		r := ask(7)
		r.Route.Target = 600 * time.Millisecond
		first := mustPlace(t, d, time.Second, r)
		d.Began(2*time.Second, first)
		d.Ended(2*time.Second, first, Broken)
		d.Loaded(2*time.Second, "other", Load{Endpoint: first.Endpoint.ID, Running: 1, Tokens: c.queue, Prefill: c.queue})
		second := mustPlace(t, d, 3*time.Second, r)
		assert.Equal(t, second.Endpoint.ID == first.Endpoint.ID, c.stays, "queue %d", c.queue)
	}
}

// All engines have long queues, and one of them has the prompt. The answer is late
// wherever it is made; read elsewhere, the prompt would push out what others need, for
// nothing.
func TestAHopelessRequestStaysWithItsPrompt(t *testing.T) {
	d, _ := world(2)
	r := ask(7)
	r.Route.Target = 600 * time.Millisecond
	first := mustPlace(t, d, time.Second, r)
	read := first.Expected // as fast as was expected, so that nothing is learned
	d.Began(time.Second+read, first)
	d.Ended(time.Second+read, first, Completed)
	for id, queue := range map[bool]int{true: 120_000, false: 60_000} {
		for _, row := range d.rows {
			if (row.ID == first.Endpoint.ID) == id {
				d.Loaded(3*time.Second, "other", Load{Endpoint: row.ID, Running: 1, Tokens: 1, Prefill: queue})
			}
		}
	}
	assert.Equal(t, mustPlace(t, d, 3*time.Second, r).Endpoint.ID, first.Endpoint.ID)
}

// An expected wait within the target costs little, however it compares to others; one
// beyond it costs a late answer, and not more with each second.
func TestLatenessIsBounded(t *testing.T) {
	r := ask(7)
	r.Route.Target = 600 * time.Millisecond
	late := lateCost * 600
	assert.Assert(t, r.lateness(150) < late/20)
	assert.Assert(t, r.lateness(300) < late/6)
	assert.Assert(t, r.lateness(1200) > late/2)
	assert.Assert(t, r.lateness(10_000) < late+waitCost*10_000)
}
