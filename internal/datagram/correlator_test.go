package datagram

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a response that is delivered to another request, or to none.
func TestDeliverMatchesRequestID(t *testing.T) {
	c := NewCorrelator[string](7)
	first, number, found := c.Call(t.Context(), time.Hour, func(number uint64) {
		assert.Assert(t, !c.Deliver(number+1, "nobody's"))
		assert.Assert(t, c.Deliver(number, "mine"))
	})
	assert.Assert(t, found)
	assert.Equal(t, first, "mine")
	assert.Equal(t, number, uint64(8))
	assert.Assert(t, !c.Deliver(number, "once more"), "a duplicate response was delivered")
}

// Guards against a request that stays pending after its context has ended.
func TestCallEndsWithContext(t *testing.T) {
	c := NewCorrelator[string](0)
	ctx, cancel := context.WithCancel(t.Context())
	_, number, found := c.Call(ctx, time.Hour, func(uint64) { cancel() })
	assert.Assert(t, !found)
	assert.Assert(t, !c.Deliver(number, "late"))
}

// Guards against an instance that timed out once and is excluded forever.
func TestBackoffExpires(t *testing.T) {
	var s Backoffs
	s.BackOff("a", time.Second, 2*time.Second)
	assert.Assert(t, s.IsBackingOff("a", time.Second))
	assert.Assert(t, !s.IsBackingOff("a", 2*time.Second))
	assert.Assert(t, !s.IsBackingOff("b", time.Second))
	s.BackOff("b", 3*time.Second, 4*time.Second)
	assert.Equal(t, len(s.until), 1)
}
