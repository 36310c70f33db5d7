package datagram

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an answer that is handed to another question, or to nobody.
func TestAnswersReachTheirQuestions(t *testing.T) {
	c := NewCalls[string](7)
	first, number, found := c.Ask(t.Context(), time.Hour, func(number uint64) {
		assert.Assert(t, !c.Answered(number+1, "nobody's"))
		assert.Assert(t, c.Answered(number, "mine"))
	})
	assert.Assert(t, found)
	assert.Equal(t, first, "mine")
	assert.Equal(t, number, uint64(8))
	assert.Assert(t, !c.Answered(number, "once more"), "an answer counts once")
}

// Guards against a question whose asker is gone being waited for.
func TestAQuestionEndsWithItsContext(t *testing.T) {
	c := NewCalls[string](0)
	ctx, cancel := context.WithCancel(t.Context())
	_, number, found := c.Ask(ctx, time.Hour, func(uint64) { cancel() })
	assert.Assert(t, !found)
	assert.Assert(t, !c.Answered(number, "late"))
}

// Guards against an instance that was silent once never being asked again.
func TestSilentInstancesAreAskedAgain(t *testing.T) {
	var s Silent
	s.Leave("a", time.Second, 2*time.Second)
	assert.Assert(t, s.Left("a", time.Second))
	assert.Assert(t, !s.Left("a", 2*time.Second))
	assert.Assert(t, !s.Left("b", time.Second))
	s.Leave("b", 3*time.Second, 4*time.Second)
	assert.Equal(t, len(s.until), 1)
}
