package capacity

import (
	"errors"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const output = `goos: linux
pkg: example
BenchmarkHeartbeat/instances=9-12   	 1000	  1090 ns/op	 85 bytes/s
BenchmarkHeartbeat/instances=100-12 	 1000	  2000 ns/op	 85 bytes/s
BenchmarkHeartbeat/instances=340-12 	 1000	  4300 ns/op	 85 bytes/s
BenchmarkHeartbeat/instances=340-12 	 1000	  4500 ns/op	 85 bytes/s
BenchmarkOther/instances=340-12     	 1000	  9999 ns/op
PASS
`

func TestFitReadsSizesAndCarriesOn(t *testing.T) {
	results, err := ReadResults(strings.NewReader(output), "test")
	assert.NilError(t, err)
	line := Series{Title: "Heartbeat", Benchmark: "Heartbeat", Unit: "sec/op", SizeName: "instances", TargetSize: 1000, Limit: 5e-6}
	fit, err := NewFit(line, results)
	assert.NilError(t, err)
	assert.Equal(t, len(fit.Points), 3)
	assert.Equal(t, fit.Points[0].Size, 9.0)
	assert.Assert(t, math.Abs(fit.Points[0].Cost-1090e-9) < 1e-15)
	assert.Assert(t, math.Abs(fit.Points[2].Cost-4400e-9) < 1e-15)
	assert.Assert(t, math.Abs(fit.TargetCost-11e-6) < 0.1e-6, "at target %g", fit.TargetCost)
	assert.Assert(t, fit.Extrapolated && fit.ExceedsLimit())

	var table, drawing strings.Builder
	assert.NilError(t, WriteTable(&table, []Fit{fit}))
	assert.Assert(t, strings.Contains(table.String(), "**misses**"), table.String())
	assert.NilError(t, fit.WriteSVG(&drawing))
	assert.Assert(t, strings.Contains(drawing.String(), "<svg"))
}

// Two sizes always fit a straight line, so they would hide that a cost bends.
func TestTwoSizesAreRefused(t *testing.T) {
	results, err := ReadResults(strings.NewReader(output), "test")
	assert.NilError(t, err)
	_, err = NewFit(Series{Title: "Other", Benchmark: "Other", Unit: "sec/op"}, results)
	var few *TooFewSizesError
	assert.Assert(t, errors.As(err, &few))
	assert.Equal(t, few.Sizes, 1)
}

// A benchmark over two sizes gives a line for each of them, and the sizes of one
// must not be taken for those of the other.
func TestSizeIsReadByItsKey(t *testing.T) {
	line := Series{Benchmark: "Decision", SizeKey: "endpoints", NameContains: "/blocks=10000/"}
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
		size, ok := line.size(test.name)
		assert.Equal(t, ok, test.ok, test.name)
		assert.Equal(t, size, test.size, test.name)
	}
}
