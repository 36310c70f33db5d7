// Package capacity turns benchmark results into the slopes that
// docs/CAPACITY.md is worked out from: it reads them, fits a straight line
// through the sizes that were measured, carries it on to the size of the
// target, and draws both.
package capacity

import (
	"fmt"
	"io"
	"math"
	"sort"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
	"golang.org/x/perf/benchfmt"
	"gonum.org/v1/gonum/stat"
)

// Series says which benchmark measures a cost, by which size it grows, and how
// large it may be at the target.
type Series struct {
	// Title says what is measured, for a heading.
	Title string
	// Benchmark is the name before the first slash, without "Benchmark".
	Benchmark string
	// SizeKey is the part of the full name that holds the size, as in key=9; empty
	// means the last part, which then starts with the size or key=.
	SizeKey string
	// NameContains must stand in the full name; empty matches all.
	NameContains string
	// Unit is the benchmark's unit, such as sec/op or B/endpoint.
	Unit string
	// SizeName names what grows, Target is how much of it the target has.
	SizeName   string
	TargetSize float64
	// Limit is the most the cost may be at the target; 0 means none.
	Limit float64
}

// Point is one measured size and its cost.
type Point struct{ Size, Cost float64 }

// Fit is a line with its measured points and what follows from them.
type Fit struct {
	Series Series
	Points []Point
	// Intercept and Slope are the fitted cost: Intercept + Slope × size.
	Intercept, Slope float64
	// TargetCost is the cost at the target; Extrapolated is set if the target
	// lies outside of the sizes measured.
	TargetCost   float64
	Extrapolated bool
}

// ExceedsLimit says whether the cost at the target is above the limit.
func (f Fit) ExceedsLimit() bool { return f.Series.Limit > 0 && f.TargetCost > f.Series.Limit }

// TooFewSizesError means that a line cannot be fitted.
type TooFewSizesError struct {
	Title string
	Sizes int
}

// Error says how many sizes were found.
func (e *TooFewSizesError) Error() string {
	return fmt.Sprintf("%s: %d sizes measured, 3 are needed", e.Title, e.Sizes)
}

// minSizes is how many sizes a fit needs, so that a bend can be seen.
const minSizes = 3

// Result is one benchmark result: full name, and values by unit.
type Result struct {
	Name   string
	Values map[string]float64
}

// ReadResults reads the output of go test -bench. Several runs of one benchmark
// give several results.
func ReadResults(r io.Reader, name string) ([]Result, error) {
	var results []Result
	reader := benchfmt.NewReader(r, name)
	for reader.Scan() {
		record, ok := reader.Result().(*benchfmt.Result)
		if !ok {
			continue
		}
		result := Result{Name: record.Name.String(), Values: make(map[string]float64)}
		for _, v := range record.Values {
			result.Values[v.Unit] = v.Value
		}
		results = append(results, result)
	}
	return results, trace.Wrap(reader.Err())
}

// NewFit fits a line through the results that belong to it. Costs of several
// runs at one size are averaged.
func NewFit(line Series, results []Result) (Fit, error) {
	fit := Fit{Series: line, Points: line.points(results)}
	if len(fit.Points) < minSizes {
		return fit, &TooFewSizesError{Title: line.Title, Sizes: len(fit.Points)}
	}
	sizes := make([]float64, len(fit.Points))
	costs := make([]float64, len(fit.Points))
	weights := make([]float64, len(fit.Points))
	for i, p := range fit.Points {
		sizes[i] = p.Size
		costs[i] = p.Cost
		// Relative errors count, not absolute ones: otherwise the largest size
		// alone would decide the line.
		weights[i] = 1 / math.Max(p.Cost*p.Cost, math.SmallestNonzeroFloat32)
	}
	fit.Intercept, fit.Slope = stat.LinearRegression(sizes, costs, weights, false)
	fit.TargetCost = fit.Intercept + fit.Slope*line.TargetSize
	fit.Extrapolated = line.TargetSize < sizes[0] || line.TargetSize > sizes[len(sizes)-1]
	for _, p := range fit.Points {
		if p.Size == line.TargetSize {
			fit.TargetCost = p.Cost
		}
	}
	return fit, nil
}

// points returns the mean cost by size, rising.
func (l Series) points(results []Result) []Point {
	sums := make(map[float64]Point)
	for _, r := range results {
		size, ok := l.size(r.Name)
		cost, has := r.Values[l.Unit]
		if !ok || !has {
			continue
		}
		sum := sums[size]
		sums[size] = Point{Size: sum.Size + 1, Cost: sum.Cost + cost}
	}
	points := make([]Point, 0, len(sums))
	for size, sum := range sums {
		points = append(points, Point{Size: size, Cost: sum.Cost / sum.Size})
	}
	sort.Slice(points, func(i, j int) bool { return points[i].Size < points[j].Size })
	return points
}

// size reads the size out of a benchmark's full name if it belongs to the line.
func (l Series) size(name string) (float64, bool) {
	if i := strings.LastIndexByte(name, '-'); i >= 0 {
		name = name[:i] // the number of processors
	}
	parts := strings.Split(name, "/")
	if parts[0] != l.Benchmark || len(parts) < 2 || !strings.Contains(name+"/", l.NameContains) {
		return 0, false
	}
	for _, part := range parts[1:] {
		key, value, keyed := strings.Cut(part, "=")
		if l.SizeKey != "" && keyed && key == l.SizeKey {
			return number(value)
		}
	}
	if l.SizeKey != "" {
		return 0, false
	}
	last := parts[len(parts)-1]
	if _, value, keyed := strings.Cut(last, "="); keyed {
		return number(value)
	}
	return number(last)
}

func number(text string) (float64, bool) {
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil
}
