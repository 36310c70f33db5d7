package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against schedulers that are flooded by the questions of many waiting requests, against
// one kind of question that leaves none for the other, and against a rate that goes unused.
func TestQuestionsAreBounded(t *testing.T) {
	for _, kinds := range [][]questionKind{{forCapacity}, {forPrefill}, {forPrefill, forCapacity}} {
		l, now := newQuestionLimit(), time.Second
		var asked [questionKinds]int
		for ; now < 11*time.Second; now += time.Millisecond {
			for _, kind := range kinds {
				for range 3 {
					if l.take(now, kind) {
						asked[kind]++
					}
				}
				later := *l
				if at := later.allowedAt(now, kind); at > now {
					assert.Equal(t, later.allowedAt(at, kind), at, "not allowed at the named time")
				}
			}
		}
		total := asked[forCapacity] + asked[forPrefill]
		assert.Assert(t, total > 900 && total <= 1010, "%v", asked)
		for _, kind := range kinds {
			assert.Assert(t, asked[kind] >= 900/len(kinds), "%v", asked)
		}
	}
}

// Guards against a queue that asks no more once its questions are used up, and one that asks on.
func TestQueueAsksWithinTheLimit(t *testing.T) {
	q, now := newWaitQueue(), time.Second
	q.limit = newQuestionLimit()
	for i := range 20 {
		joinQueue(t, q, now, waiter{organisation: "org", prompt: 1000 - i})
	}
	asked := 0
	for ; now < 11*time.Second; now += time.Millisecond {
		if w, _ := q.next(now); w != nil {
			asked++
			q.full(now, w, 3*time.Millisecond)
		}
	}
	assert.Assert(t, asked > 900 && asked <= 1010, "%d", asked)
}
