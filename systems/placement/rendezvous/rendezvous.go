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

// Pick returns the index of the candidate with the highest score, or -1 if all are excluded. If
// all weights are equal it is the candidate with the highest hash. Of equal scores the higher
// hash wins, so that the order of the candidates matters only for equal hashes.
//
// The weights of excluded candidates count for whether all are equal: which candidates are
// excluded differs between instances, and they should agree on the order of the others.
func Pick[T any](candidates []T, weight func(*T) int, hash func(*T) uint64, excluded func(*T) bool) int {
	weighted := !equalWeights(candidates, weight)
	best, bestScore, bestHash := -1, 0.0, uint64(0)
	for i := range candidates {
		c := &candidates[i]
		if excluded(c) {
			continue
		}
		h, score := hash(c), 0.0
		if weighted {
			score = Score(h, float64(weight(c)))
		}
		if best < 0 || score > bestScore || score == bestScore && h > bestHash {
			best, bestScore, bestHash = i, score, h
		}
	}
	return best
}

// equalWeights reports whether all candidates have the same weight.
func equalWeights[T any](candidates []T, weight func(*T) int) bool {
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
	if equalWeights(items, weight) {
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
