package metrics

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"sync"

	gometrics "github.com/rcrowley/go-metrics"
)

// Label is one dimension of a measurement.
type Label struct{ Name, Value string }

// Registry holds measurements by family and labels. It is safe for concurrent
// use.
type Registry struct {
	registry gometrics.Registry

	mu       sync.RWMutex
	families map[string]string // family to help text
	before   []func()
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{registry: gometrics.NewRegistry(), families: make(map[string]string)}
}

// describe remembers the help text of a family.
func (r *Registry) describe(family, help string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.families[family] = help
}

// Counter returns the counter of a family with these labels, made at its first
// use. Its name ends in _total.
func (r *Registry) Counter(family, help string, labels ...Label) gometrics.Counter {
	name := seriesName(family, labels)
	if found := r.registry.Get(name); found != nil {
		return found.(gometrics.Counter)
	}
	r.describe(family, help)
	return r.registry.GetOrRegister(name, gometrics.NewCounter).(gometrics.Counter)
}

// Gauge returns the gauge of a family with these labels, made at its first use.
func (r *Registry) Gauge(family, help string, labels ...Label) gometrics.GaugeFloat64 {
	name := seriesName(family, labels)
	if found := r.registry.Get(name); found != nil {
		return found.(gometrics.GaugeFloat64)
	}
	r.describe(family, help)
	return r.registry.GetOrRegister(name, gometrics.NewGaugeFloat64).(gometrics.GaugeFloat64)
}

// Histogram returns the histogram of a family with these labels, made at its
// first use. Values are given in millionths of the family's unit.
func (r *Registry) Histogram(family, help string, bounds Bounds, labels ...Label) gometrics.Histogram {
	name := seriesName(family, labels)
	if found := r.registry.Get(name); found != nil {
		return found.(gometrics.Histogram)
	}
	r.describe(family, help)
	make := func() gometrics.Histogram { return gometrics.NewHistogram(newBucketSample(bounds)) }
	return r.registry.GetOrRegister(name, make).(gometrics.Histogram)
}

// seriesName joins family and labels the way the text format writes them.
func seriesName(family string, labels []Label) string {
	if len(labels) == 0 {
		return family
	}
	var b strings.Builder
	b.WriteString(family)
	b.WriteByte('{')
	for i, l := range labels {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(l.Name)
		b.WriteByte('=')
		b.WriteString(strconv.Quote(l.Value))
	}
	b.WriteByte('}')
	return b.String()
}

// series is one measurement with its name taken apart.
type series struct {
	family, labels string
	value          any
}

// sorted returns all series, families together.
func (r *Registry) sorted() []series {
	var all []series
	r.registry.Each(func(name string, value any) {
		family, labels, _ := strings.Cut(name, "{")
		all = append(all, series{family: family, labels: strings.TrimSuffix(labels, "}"), value: value})
	})
	sort.Slice(all, func(i, j int) bool {
		if all[i].family != all[j].family {
			return all[i].family < all[j].family
		}
		return all[i].labels < all[j].labels
	})
	return all
}

// BeforeWrite has a function called each time before measurements are written,
// to update those that are ages.
func (r *Registry) BeforeWrite(update func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.before = append(r.before, update)
}

// WriteText writes all measurements in the text exposition format.
func (r *Registry) WriteText(w io.Writer) error {
	r.mu.RLock()
	before := r.before
	r.mu.RUnlock()
	for _, update := range before {
		update()
	}
	out := bufio.NewWriter(w)
	family := ""
	for _, s := range r.sorted() {
		if s.family != family {
			family = s.family
			r.writeHead(out, s)
		}
		s.write(out)
	}
	return out.Flush()
}

func (r *Registry) writeHead(out *bufio.Writer, s series) {
	r.mu.RLock()
	help := r.families[s.family]
	r.mu.RUnlock()
	kind := "gauge"
	switch s.value.(type) {
	case gometrics.Counter:
		kind = "counter"
	case gometrics.Histogram:
		kind = "histogram"
	}
	fmt.Fprintf(out, "# HELP %s %s\n# TYPE %s %s\n", s.family, help, s.family, kind)
}

func (s series) write(out *bufio.Writer) {
	switch m := s.value.(type) {
	case gometrics.Counter:
		fmt.Fprintf(out, "%s %d\n", braced(s.family, s.labels), m.Count())
	case gometrics.GaugeFloat64:
		fmt.Fprintf(out, "%s %g\n", braced(s.family, s.labels), m.Value())
	case gometrics.Histogram:
		s.writeHistogram(out, m.Sample().Snapshot().(*bucketSample))
	}
}

func (s series) writeHistogram(out *bufio.Writer, sample *bucketSample) {
	prefix := s.labels
	if prefix != "" {
		prefix += ","
	}
	var seen uint64
	for i, bound := range sample.bounds {
		seen += uint64(sample.counts[i].Load())
		fmt.Fprintf(out, "%s_bucket{%sle=\"%g\"} %d\n", s.family, prefix, bound, seen)
	}
	total := sample.Count()
	fmt.Fprintf(out, "%s_bucket{%sle=\"+Inf\"} %d\n", s.family, prefix, total)
	fmt.Fprintf(out, "%s %g\n", braced(s.family+"_sum", s.labels), float64(sample.Sum())*unit)
	fmt.Fprintf(out, "%s %d\n", braced(s.family+"_count", s.labels), total)
}

func braced(name, labels string) string {
	if labels == "" {
		return name
	}
	return name + "{" + labels + "}"
}

// HistogramSummary is one histogram in brief, for a terminal.
type HistogramSummary struct {
	Family string  `json:"family"`
	Labels string  `json:"labels"`
	Count  int64   `json:"count"`
	Mean   float64 `json:"mean"`
	P50    float64 `json:"p50"`
	P95    float64 `json:"p95"`
	P99    float64 `json:"p99"`
}

// HistogramSummaries returns the histograms whose family starts with the given text, in
// brief. Percentiles are upper bounds of buckets.
func (r *Registry) HistogramSummaries(prefix string) []HistogramSummary {
	var rows []HistogramSummary
	for _, s := range r.sorted() {
		h, ok := s.value.(gometrics.Histogram)
		if !ok || !strings.HasPrefix(s.family, prefix) {
			continue
		}
		p := h.Percentiles([]float64{0.5, 0.95, 0.99})
		rows = append(rows, HistogramSummary{
			Family: s.family, Labels: s.labels, Count: h.Count(), Mean: h.Mean() * unit,
			P50: p[0] * unit, P95: p[1] * unit, P99: p[2] * unit,
		})
	}
	return rows
}
