package router_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

// One long check a minute, each with a prefix of its own, arrives at idle
// engines. The router holds a check that may wait an hour for a while, so that
// requests with the same prefix accumulate. Hardly any check starts in that
// time. The wait prediction mistook this for an overloaded fleet, and checks
// were refused although every engine was idle.
func TestDeferrableWorkIsNotRefusedWhileEnginesAreIdle(t *testing.T) {
	r := newRouter(2)
	served := 0
	const sent = 60
	for second := range int((2 * time.Hour).Seconds()) {
		now := time.Duration(second) * time.Second
		if minute := second / 60; second%60 == 0 && minute < sent {
			req := request(fmt.Sprint("r", minute), "check", now)
			req.PromptTokens, req.Deadline = 8000, now+2*time.Hour
			req.Blocks = []tables.BlockHash{tables.BlockHash(2*minute + 1), tables.BlockHash(2*minute + 2)}
			r.Submit(now, req)
		}
		for _, action := range r.Tick(now) {
			d, ok := action.(router.Dispatch)
			assert.Assert(t, ok, "unexpected action at %v: %#v", now, action)
			served++
			r.Observe(now, router.AttemptStarted{Attempt: d.Attempt, Boot: "b", Weights: "w1"})
			r.Observe(now, router.FirstToken{Attempt: d.Attempt})
			r.Observe(now, router.AttemptEnded{Attempt: d.Attempt, Result: router.Completed, GeneratedTokens: 5, DeliveredTokens: 5})
		}
	}
	assert.Equal(t, served, sent)
}
