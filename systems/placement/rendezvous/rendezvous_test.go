package rendezvous_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/systems/placement/rendezvous"
)

type candidate struct {
	hash   uint64
	weight int
}

func pick(candidates []candidate) int {
	choice := rendezvous.Choice{Weighted: !rendezvous.EqualWeights(candidates, func(c *candidate) int { return c.weight })}
	for i, c := range candidates {
		choice.Offer(i, c.hash, c.weight)
	}
	return choice.Best()
}

// Guards against instances that disagree on an owner because they list the candidates in another
// order, or because hashes that differ in the last bits get the same score.
func TestPickDependsOnHashesOnly(t *testing.T) {
	for _, weights := range [][2]int{{7, 7}, {1, 1}, {14, 48}} {
		candidates := []candidate{{hash: 1 << 63, weight: weights[0]}, {hash: 1<<63 + 1, weight: weights[1]}}
		swapped := []candidate{candidates[1], candidates[0]}
		assert.Equal(t, pick(candidates), 1)
		assert.Equal(t, pick(swapped), 0)
	}
	assert.Equal(t, pick(nil), -1)
}

// Guards against an instance with a wrong size that gets nothing or everything.
func TestWrongSizesAreBounded(t *testing.T) {
	assert.Equal(t, rendezvous.Weight(0), 1)
	assert.Equal(t, rendezvous.Weight(-5), 1)
	assert.Equal(t, rendezvous.Weight(1<<32-1), 10_000)
}

// Guards against small instances that come first as often as large ones.
func TestShuffleOrdersByWeight(t *testing.T) {
	const rounds = 20_000
	first := 0
	for range rounds {
		weights := []int{14, 48, 14}
		rand.Shuffle(len(weights), func(i, j int) { weights[i], weights[j] = weights[j], weights[i] })
		rendezvous.Shuffle(weights, func(w *int) int { return *w })
		if weights[0] == 48 {
			first++
		}
	}
	want := rounds * 48 / 76
	assert.Assert(t, first > want*9/10 && first < want*11/10, "the large one came first %d times, want about %d", first, want)
}
