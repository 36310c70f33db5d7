package measure

import (
	"container/heap"

	"github.com/carawaystile/carawaystile/tables"
)

// timeline runs steps in the order of virtual time. Steps at one instant run
// in the order in which they were planned, so that a run repeats exactly.
type timeline struct {
	now   tables.Instant
	next  uint64
	steps steps
	// horizon is when the last request arrives; use is counted until then.
	horizon tables.Instant
}

type step struct {
	at   tables.Instant
	seq  uint64
	call func()
}

type steps []step

func (s steps) Len() int { return len(s) }

func (s steps) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].seq < s[j].seq
}

func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push is for package heap.
func (s *steps) Push(x any) { *s = append(*s, x.(step)) }

// Pop is for package heap.
func (s *steps) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}

func (t *timeline) at(when tables.Instant, call func()) {
	t.next++
	heap.Push(&t.steps, step{at: max(when, t.now), seq: t.next, call: call})
}

func (t *timeline) after(wait tables.Instant, call func()) { t.at(t.now+wait, call) }

func (t *timeline) run(until tables.Instant) {
	for len(t.steps) > 0 && t.steps[0].at <= until {
		s := heap.Pop(&t.steps).(step)
		t.now = s.at
		s.call()
	}
}

// counted says whether use at an instant counts.
func (t *timeline) counted(at tables.Instant) bool { return at >= warmUp && at < t.horizon }
