package capacity

import (
	"errors"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const benchmarkOutput = `goos: linux
pkg: example
BenchmarkHeartbeat/instances=9-12   	 1000	  1090 ns/op	 85 bytes/s
BenchmarkHeartbeat/instances=100-12 	 1000	  2000 ns/op	 85 bytes/s
BenchmarkHeartbeat/instances=340-12 	 1000	  4300 ns/op	 85 bytes/s
BenchmarkHeartbeat/instances=340-12 	 1000	  4500 ns/op	 85 bytes/s
BenchmarkOther/instances=340-12     	 1000	  9999 ns/op
PASS
`

func TestFitExtrapolatesToTargetSize(t *testing.T) {
	results, err := ReadResults(strings.NewReader(benchmarkOutput), "test")
	assert.NilError(t, err)
	series := Series{Title: "Heartbeat", Benchmark: "Heartbeat", Unit: "sec/op", SizeName: "instances", TargetSize: 1000, Limit: 5e-6}
	fit, err := NewFit(series, results)
	assert.NilError(t, err)
	assert.Equal(t, len(fit.Points), 3)
	assert.Equal(t, fit.Points[0].Size, 9.0)
	assert.Assert(t, math.Abs(fit.Points[0].Cost-1090e-9) < 1e-15)
	assert.Assert(t, math.Abs(fit.Points[2].Cost-4400e-9) < 1e-15)
	assert.Assert(t, math.Abs(fit.TargetCost-11e-6) < 0.1e-6, "cost at the target size is %g", fit.TargetCost)
	assert.Assert(t, fit.Extrapolated && fit.ExceedsLimit())

	var table, drawing strings.Builder
	assert.NilError(t, WriteTable(&table, []Fit{fit}))
	assert.Assert(t, strings.Contains(table.String(), "**misses**"), table.String())
	assert.NilError(t, fit.WriteSVG(&drawing))
	assert.Assert(t, strings.Contains(drawing.String(), "<svg"))
}

// A straight line fits any two points, so a fit over fewer than three sizes would
// hide a cost that does not grow linearly.
func TestFitRejectsFewerThanThreeSizes(t *testing.T) {
	results, err := ReadResults(strings.NewReader(benchmarkOutput), "test")
	assert.NilError(t, err)
	_, err = NewFit(Series{Title: "Other", Benchmark: "Other", Unit: "sec/op"}, results)
	var tooFew *TooFewSizesError
	assert.Assert(t, errors.As(err, &tooFew))
	assert.Equal(t, tooFew.Sizes, 1)
}

// A benchmark with two size parameters feeds one series for each parameter. Parsing
// the wrong part of the name would fit a cost against the other parameter.
func TestSizeSelectedByKey(t *testing.T) {
	series := Series{Benchmark: "Decision", SizeKey: "endpoints", NameContains: "/blocks=10000/"}
	for _, test := range []struct {
		name string
		size float64
		ok   bool
	}{
		{"Decision/endpoints=138/blocks=10000-12", 138, true},
		{"Decision/endpoints=138/blocks=1000000-12", 0, false},
		{"Decision/blocks=10000-12", 0, false},
		{"Other/endpoints=138/blocks=10000-12", 0, false},
	} {
		size, ok := series.sizeFromName(test.name)
		assert.Equal(t, ok, test.ok, test.name)
		assert.Equal(t, size, test.size, test.name)
	}
}
