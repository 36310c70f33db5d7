// Package capacity builds the linear cost models behind docs/CAPACITY.md. It
// reads the output of go test -bench, fits each cost as a function of one size by
// weighted linear regression, extrapolates the fit to the target size of the
// fleet, compares the result with a limit, and reports it as an SVG plot and a
// Markdown table.
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

// Series describes a cost as a function of one size: the benchmark results that
// measure it, the target size, and the limit for the cost at the target size.
type Series struct {
	// Title is the heading of the plot and the first cell of the table row. Command
	// slopes also derives the file name of the plot from it.
	Title string
	// Benchmark is the name of the top-level benchmark: the part of a result's
	// name before the first slash, without the prefix "Benchmark".
	Benchmark string
	// SizeKey is the key of the sub-benchmark that holds the size, such as
	// instances in instances=9. If SizeKey is empty, the last part of the name
	// holds the size, either alone or as key=size.
	SizeKey string
	// NameContains restricts the series to results whose name, without the
	// processor count and with a trailing slash, contains this text. An empty
	// text matches every name.
	NameContains string
	// Unit is the unit of the benchmark value to fit, such as sec/op or B/endpoint.
	Unit string
	// SizeName is the label of the size, such as instances.
	SizeName string
	// TargetSize is the size for which the cost is predicted.
	TargetSize float64
	// Limit is the maximum cost at the target size, in Unit; 0 means no limit.
	Limit float64
}

// Point is a data point of the regression: a measured size and its mean cost.
type Point struct{ Size, Cost float64 }

// Fit is the result of a weighted linear regression over the points of a series.
type Fit struct {
	Series Series
	// Points holds the data points by rising size.
	Points []Point
	// Intercept and Slope are the coefficients of the fitted cost,
	// Intercept + Slope × size.
	Intercept, Slope float64
	// TargetCost is the cost at the target size: the measured mean if that size
	// was benchmarked, otherwise the prediction of the fit.
	TargetCost float64
	// Extrapolated reports whether the target size is outside the range of the
	// measured sizes.
	Extrapolated bool
}

// ExceedsLimit reports whether the series has a limit and the cost at the target
// size is above it.
func (f Fit) ExceedsLimit() bool { return f.Series.Limit > 0 && f.TargetCost > f.Series.Limit }

// TooFewSizesError reports that the results of a series cover fewer distinct sizes
// than a fit needs.
type TooFewSizesError struct {
	// Title is the title of the series.
	Title string
	// Sizes is the number of distinct sizes found.
	Sizes int
}

// Error returns the title of the series, the number of sizes found and the minimum.
func (e *TooFewSizesError) Error() string {
	return fmt.Sprintf("%s: %d sizes measured, 3 are needed", e.Title, e.Sizes)
}

// minSizes is the minimum number of distinct sizes in a fit. Two points always fit
// a straight line, which would hide a cost that does not grow linearly.
const minSizes = 3

// Result is one line of benchmark output.
type Result struct {
	// Name is the full name without the prefix "Benchmark", with the parts of
	// sub-benchmarks and the processor count.
	Name string
	// Values maps a unit, such as sec/op, to the measured value.
	Values map[string]float64
}

// ReadResults parses the output of go test -bench from r; name identifies the
// input in errors. Each run of a benchmark is a result of its own. Lines that are
// not benchmark results, malformed ones included, are skipped.
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

// NewFit fits a straight line to those results that belong to the series. Costs of
// several runs at one size are averaged first. It returns a *TooFewSizesError if
// the results cover fewer than 3 sizes.
func NewFit(series Series, results []Result) (Fit, error) {
	fit := Fit{Series: series, Points: series.meanCosts(results)}
	if len(fit.Points) < minSizes {
		return fit, &TooFewSizesError{Title: series.Title, Sizes: len(fit.Points)}
	}
	sizes := make([]float64, len(fit.Points))
	costs := make([]float64, len(fit.Points))
	weights := make([]float64, len(fit.Points))
	for i, p := range fit.Points {
		sizes[i] = p.Size
		costs[i] = p.Cost
		// Weights of 1/cost² make the regression minimise relative errors. With
		// absolute errors, the largest size alone would determine the fit.
		weights[i] = 1 / math.Max(p.Cost*p.Cost, math.SmallestNonzeroFloat32)
	}
	fit.Intercept, fit.Slope = stat.LinearRegression(sizes, costs, weights, false)
	fit.TargetCost = fit.Intercept + fit.Slope*series.TargetSize
	fit.Extrapolated = series.TargetSize < sizes[0] || series.TargetSize > sizes[len(sizes)-1]
	for _, p := range fit.Points {
		if p.Size == series.TargetSize {
			fit.TargetCost = p.Cost
		}
	}
	return fit, nil
}

// meanCosts returns the mean cost of the series at each size, by rising size.
func (s Series) meanCosts(results []Result) []Point {
	sums := make(map[float64]Point)
	for _, r := range results {
		size, ok := s.sizeFromName(r.Name)
		cost, hasUnit := r.Values[s.Unit]
		if !ok || !hasUnit {
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

// sizeFromName parses the size from the full name of a benchmark result. It returns
// false if the result does not belong to the series.
func (s Series) sizeFromName(name string) (float64, bool) {
	if i := strings.LastIndexByte(name, '-'); i >= 0 {
		name = name[:i] // strip the processor count
	}
	parts := strings.Split(name, "/")
	if parts[0] != s.Benchmark || len(parts) < 2 || !strings.Contains(name+"/", s.NameContains) {
		return 0, false
	}
	for _, part := range parts[1:] {
		key, value, hasKey := strings.Cut(part, "=")
		if s.SizeKey != "" && hasKey && key == s.SizeKey {
			return parseSize(value)
		}
	}
	if s.SizeKey != "" {
		return 0, false
	}
	last := parts[len(parts)-1]
	if _, value, hasKey := strings.Cut(last, "="); hasKey {
		return parseSize(value)
	}
	return parseSize(last)
}

// parseSize parses a size and reports whether the text is a number.
func parseSize(text string) (float64, bool) {
	v, err := strconv.ParseFloat(text, 64)
	return v, err == nil
}
