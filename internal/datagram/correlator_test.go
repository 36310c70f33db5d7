package datagram

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an answer that is handed to another question, or to nobody.
func TestAnswersReachTheirQuestions(t *testing.T) {
	c := NewCorrelator[string](7)
	first, number, found := c.Call(t.Context(), time.Hour, func(number uint64) {
		assert.Assert(t, !c.Deliver(number+1, "nobody's"))
		assert.Assert(t, c.Deliver(number, "mine"))
	})
	assert.Assert(t, found)
	assert.Equal(t, first, "mine")
	assert.Equal(t, number, uint64(8))
	assert.Assert(t, !c.Deliver(number, "once more"), "an answer counts once")
}

// Guards against a question whose asker is gone being waited for.
func TestAQuestionEndsWithItsContext(t *testing.T) {
	c := NewCorrelator[string](0)
	ctx, cancel := context.WithCancel(t.Context())
	_, number, found := c.Call(ctx, time.Hour, func(uint64) { cancel() })
	assert.Assert(t, !found)
	assert.Assert(t, !c.Deliver(number, "late"))
}

// Guards against an instance that was silent once never being asked again.
func TestSilentInstancesAreAskedAgain(t *testing.T) {
	var s Backoffs
	s.BackOff("a", time.Second, 2*time.Second)
	assert.Assert(t, s.IsBackingOff("a", time.Second))
	assert.Assert(t, !s.IsBackingOff("a", 2*time.Second))
	assert.Assert(t, !s.IsBackingOff("b", time.Second))
	s.BackOff("b", 3*time.Second, 4*time.Second)
	assert.Equal(t, len(s.until), 1)
}
