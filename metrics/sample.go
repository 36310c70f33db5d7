// Package metrics keeps counters, gauges and histograms per priority class and per
// organisation in go-metrics registries of bounded size, and serves them in the
// Prometheus text exposition format.
package metrics

import (
	"math"
	"sync/atomic"

	gometrics "github.com/rcrowley/go-metrics"
)

// Bounds lists the upper bounds of a histogram's buckets in ascending order. A histogram
// has a further bucket without an upper bound.
type Bounds []float64

// SecondsBounds are the bucket bounds for durations: powers of two from 0.25 ms to 68 min.
var SecondsBounds = exponentialBounds(0.00025, 2, 25)

// RatioBounds are the bucket bounds for ratios, in steps of a tenth.
var RatioBounds = Bounds{0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1}

func exponentialBounds(first, factor float64, n int) Bounds {
	bounds := make(Bounds, n)
	for i := range bounds {
		bounds[i] = first
		first *= factor
	}
	return bounds
}

// recordedUnit is the value of one step of a recorded integer: go-metrics samples take
// int64 values, so durations are recorded in microseconds and ratios in millionths.
const recordedUnit = 1e-6

// bucketSample is a fixed-bucket histogram that implements go-metrics' Sample. Its size
// depends only on the number of bounds and is about 240 bytes for durations. The
// library's own samples hold a thousand values of 8 bytes each: with 8,600 organisations
// and three histograms each, they would need over 200 MB. It is safe for concurrent use.
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

// Update records a value in millionths.
func (s *bucketSample) Update(v int64) {
	s.counts[s.bucket(float64(v)*recordedUnit)].Add(1)
	s.sum.Add(v)
	for {
		old := s.max.Load()
		if v <= old || s.max.CompareAndSwap(old, v) {
			return
		}
	}
}

// bucket returns the index of the first bound that is not below v, by binary search.
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

// Count returns the number of recorded values.
func (s *bucketSample) Count() int64 {
	var n int64
	for i := range s.counts {
		n += int64(s.counts[i].Load())
	}
	return n
}

// Clear resets the sample.
func (s *bucketSample) Clear() {
	for i := range s.counts {
		s.counts[i].Store(0)
	}
	s.sum.Store(0)
	s.max.Store(0)
}

// Percentile returns an upper bound of the p-quantile (p from 0 to 1): the upper bound
// of the bucket that contains it, or the maximum if that is lower.
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
			return math.Min(bound/recordedUnit, float64(s.max.Load()))
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

// Min returns 0: the sample does not keep the smallest value.
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

// StdDev returns 0: the sample does not keep squares.
func (s *bucketSample) StdDev() float64 { return 0 }

// Variance returns 0: the sample does not keep squares.
func (s *bucketSample) Variance() float64 { return 0 }

// Values returns nil: the sample does not keep individual values.
func (s *bucketSample) Values() []int64 { return nil }

// Snapshot returns an immutable copy.
func (s *bucketSample) Snapshot() gometrics.Sample {
	out := newBucketSample(s.bounds)
	for i := range s.counts {
		out.counts[i].Store(s.counts[i].Load())
	}
	out.sum.Store(s.sum.Load())
	out.max.Store(s.max.Load())
	return out
}
