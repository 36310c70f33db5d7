package rendezvous_test

import (
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
