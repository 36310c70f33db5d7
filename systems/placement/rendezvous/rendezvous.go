// Package rendezvous implements weighted rendezvous (highest random weight) hashing: each
// candidate has a hash for a key, and the candidate with the highest score is chosen. A
// candidate that joins or leaves moves only the keys that it gains or loses, and the
// probability that a candidate is chosen is its fraction of the sum of all weights.
package rendezvous

import (
	"math"
	"math/rand/v2"
	"slices"
)

// maxWeight bounds the weight of one candidate, so that a wrong size does not take all keys. It
// is the weight of an instance with 100 processors.
const maxWeight = 10_000

// Weight returns the weight for the size of an instance in percent of a processor: the size, at
// least 1 and at most 10,000.
func Weight(size int) int { return min(max(size, 1), maxWeight) }

// Score returns the weighted score of a hash: the logarithm of a uniform number divided by the
// weight, which must be above 0.
func Score(hash uint64, weight float64) float64 {
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return math.Log(uniform) / weight
}

// Choice finds the candidate with the highest score among those that are offered. If Weighted is
// not set, which is meant for equal weights, it is the candidate with the highest hash. Of equal
// scores the higher hash wins, so that the order of the candidates matters only for equal hashes.
// The zero value has been offered none.
type Choice struct {
	Weighted bool

	found bool
	index int
	score float64
	hash  uint64
}

// Offer adds a candidate with its hash for the key and its weight, which must be above 0.
func (c *Choice) Offer(index int, hash uint64, weight int) {
	score := 0.0
	if c.Weighted {
		score = Score(hash, float64(weight))
	}
	if !c.found || score > c.score || score == c.score && hash > c.hash {
		c.found, c.index, c.score, c.hash = true, index, score, hash
	}
}

// Best returns the index of the chosen candidate, or -1 if none was offered.
func (c *Choice) Best() int {
	if !c.found {
		return -1
	}
	return c.index
}

// EqualWeights reports whether all candidates have the same weight. Those that are excluded from a
// choice must be among them: which they are differs between instances, and these should agree on
// the order of the others.
func EqualWeights[T any](candidates []T, weight func(*T) int) bool {
	for i := range candidates {
		if weight(&candidates[i]) != weight(&candidates[0]) {
			return false
		}
	}
	return true
}

// Shuffle orders items at random: the probability that an item precedes the others is its
// fraction of their weights. With equal weights it draws the same random numbers as
// rand.Shuffle.
func Shuffle[T any](items []T, weight func(*T) int) {
	if EqualWeights(items, weight) {
		rand.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
		return
	}
	type scored struct {
		item  T
		score float64
	}
	order := make([]scored, len(items))
	for i := range items {
		order[i] = scored{item: items[i], score: Score(rand.Uint64(), float64(weight(&items[i])))}
	}
	slices.SortFunc(order, func(a, b scored) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return 0
	})
	for i := range order {
		items[i] = order[i].item
	}
}
