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
