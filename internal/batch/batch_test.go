package batch

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a question that is answered by a call that began before it, and so with older state.
func TestCallThatAnswersBeginsAfterTheQuestion(t *testing.T) {
	calls, proceed := make(chan []int, 10), make(chan struct{})
	state := 0
	c := NewCaller(func(_ context.Context, keys []int) (map[int]int, error) {
		read := state
		calls <- slices.Clone(keys)
		<-proceed
		answers := map[int]int{}
		for _, k := range keys {
			if k > 0 {
				answers[k] = read
			}
		}
		return answers, nil
	}, time.Minute, 2)
	type result struct {
		answer int
		found  bool
	}
	results := make(chan result, 10)
	ask := func(key int) {
		r := c.join(key)
		go func() {
			<-r.done
			answer, found := r.answers[key]
			results <- result{answer, found}
		}()
	}
	ask(1)
	assert.DeepEqual(t, <-calls, []int{1})
	state = 5
	for _, key := range []int{1, 2, 2, 3} {
		ask(key)
	}
	proceed <- struct{}{}
	assert.Equal(t, <-results, result{0, true})
	assert.DeepEqual(t, <-calls, []int{1, 2})
	proceed <- struct{}{}
	for range 3 {
		assert.Equal(t, <-results, result{5, true})
	}
	assert.DeepEqual(t, <-calls, []int{3})
	proceed <- struct{}{}
	assert.Equal(t, <-results, result{5, true})

	ended, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, err := c.Do(ended, -1)
	assert.ErrorIs(t, err, context.Canceled)
	close(proceed)
	_, found, err := c.Do(t.Context(), -1)
	assert.NilError(t, err)
	assert.Assert(t, !found)
}
