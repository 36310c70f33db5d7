// Package metrics keeps counters and histograms per class and per organisation
// in go-metrics registries of bounded size, and serves them in the text format
// that scrapers read.
package metrics

import (
	"math"
	"sync/atomic"

	gometrics "github.com/rcrowley/go-metrics"
)

// Bounds is the list of upper bounds of a histogram's buckets, rising. A last
// bucket without bound is kept beside them.
type Bounds []float64

// SecondsBounds are the bounds for times: from 0.25 ms to 68 min by powers of two.
var SecondsBounds = exponential(0.00025, 2, 25)

// RatioBounds are the bounds for shares of a whole, in tenths.
var RatioBounds = Bounds{0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1}

func exponential(first, factor float64, n int) Bounds {
	bounds := make(Bounds, n)
	for i := range bounds {
		bounds[i] = first
		first *= factor
	}
	return bounds
}

// unit is what one step of a recorded integer stands for: go-metrics samples
// take int64 values, so times are recorded in microseconds and ratios in
// millionths.
const unit = 1e-6

// bucketSample is a go-metrics sample that counts values by bucket. Its size is
// fixed by the number of bounds, about 240 bytes for times, where the
// library's own samples hold a thousand values of 8 bytes each: with 8,600
// organisations and three histograms each, theirs would need over 200 MB. It is
// safe for concurrent use.
type bucketSample struct {
	bounds Bounds
	counts []atomic.Uint32
	sum    atomic.Int64
	max    atomic.Int64
}

var _ gometrics.Sample = (*bucketSample)(nil)

func newBucketSample(bounds Bounds) *bucketSample {
	return &bucketSample{bounds: bounds, counts: make([]atomic.Uint32, len(bounds)+1)}
}

// Update counts a value given in millionths.
func (s *bucketSample) Update(v int64) {
	s.counts[s.bucket(float64(v)*unit)].Add(1)
	s.sum.Add(v)
	for {
		old := s.max.Load()
		if v <= old || s.max.CompareAndSwap(old, v) {
			return
		}
	}
}

// bucket finds the first bound that is not below v.
func (s *bucketSample) bucket(v float64) int {
	low, high := 0, len(s.bounds)
	for low < high {
		middle := (low + high) / 2
		if s.bounds[middle] < v {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// Count returns how many values were counted.
func (s *bucketSample) Count() int64 {
	var n int64
	for i := range s.counts {
		n += int64(s.counts[i].Load())
	}
	return n
}

// Clear forgets all values.
func (s *bucketSample) Clear() {
	for i := range s.counts {
		s.counts[i].Store(0)
	}
	s.sum.Store(0)
	s.max.Store(0)
}

// Percentile returns an upper bound of the p-th part of the values (p from 0 to
// 1): the bound of the bucket it lies in, or the maximum if that is lower.
func (s *bucketSample) Percentile(p float64) float64 {
	total := s.Count()
	if total == 0 {
		return 0
	}
	rank := int64(math.Ceil(p * float64(total)))
	var seen int64
	for i, bound := range s.bounds {
		seen += int64(s.counts[i].Load())
		if seen >= rank && seen > 0 {
			return math.Min(bound/unit, float64(s.max.Load()))
		}
	}
	return float64(s.max.Load())
}

// Percentiles returns Percentile of each p.
func (s *bucketSample) Percentiles(ps []float64) []float64 {
	out := make([]float64, len(ps))
	for i, p := range ps {
		out[i] = s.Percentile(p)
	}
	return out
}

// Max returns the largest value.
func (s *bucketSample) Max() int64 { return s.max.Load() }

// Min returns 0: the smallest value is not kept.
func (s *bucketSample) Min() int64 { return 0 }

// Sum returns the sum of all values.
func (s *bucketSample) Sum() int64 { return s.sum.Load() }

// Mean returns the mean of all values.
func (s *bucketSample) Mean() float64 {
	n := s.Count()
	if n == 0 {
		return 0
	}
	return float64(s.Sum()) / float64(n)
}

// Size returns the number of buckets.
func (s *bucketSample) Size() int { return len(s.counts) }

// StdDev returns 0: squares are not kept.
func (s *bucketSample) StdDev() float64 { return 0 }

// Variance returns 0: squares are not kept.
func (s *bucketSample) Variance() float64 { return 0 }

// Values returns nothing: single values are not kept.
func (s *bucketSample) Values() []int64 { return nil }

// Snapshot returns a copy that no longer changes.
func (s *bucketSample) Snapshot() gometrics.Sample {
	out := newBucketSample(s.bounds)
	for i := range s.counts {
		out.counts[i].Store(s.counts[i].Load())
	}
	out.sum.Store(s.sum.Load())
	out.max.Store(s.max.Load())
	return out
}
