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

// Label is one label of a time series.
type Label struct{ Name, Value string }

// Registry holds time series by metric family and labels. It is safe for concurrent
// use.
type Registry struct {
	registry gometrics.Registry

	mu           sync.RWMutex
	helpTexts    map[string]string // family to help text
	collectHooks []func()
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{registry: gometrics.NewRegistry(), helpTexts: make(map[string]string)}
}

// setHelp sets the help text of a family.
func (r *Registry) setHelp(family, help string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.helpTexts[family] = help
}

// Counter returns the counter of a family with these labels and creates it on first
// use. Names of counter families end in _total.
func (r *Registry) Counter(family, help string, labels ...Label) gometrics.Counter {
	name := seriesName(family, labels)
	if found := r.registry.Get(name); found != nil {
		return found.(gometrics.Counter)
	}
	r.setHelp(family, help)
	return r.registry.GetOrRegister(name, gometrics.NewCounter).(gometrics.Counter)
}

// Gauge returns the gauge of a family with these labels and creates it on first use.
func (r *Registry) Gauge(family, help string, labels ...Label) gometrics.GaugeFloat64 {
	name := seriesName(family, labels)
	if found := r.registry.Get(name); found != nil {
		return found.(gometrics.GaugeFloat64)
	}
	r.setHelp(family, help)
	return r.registry.GetOrRegister(name, gometrics.NewGaugeFloat64).(gometrics.GaugeFloat64)
}

// Remove removes the time series of a family with these labels, if there is one.
func (r *Registry) Remove(family string, labels ...Label) {
	r.registry.Unregister(seriesName(family, labels))
}

// Histogram returns the histogram of a family with these labels and creates it on first
// use. It takes values in millionths of the family's unit.
func (r *Registry) Histogram(family, help string, bounds Bounds, labels ...Label) gometrics.Histogram {
	name := seriesName(family, labels)
	if found := r.registry.Get(name); found != nil {
		return found.(gometrics.Histogram)
	}
	r.setHelp(family, help)
	newHistogram := func() gometrics.Histogram { return gometrics.NewHistogram(newBucketSample(bounds)) }
	return r.registry.GetOrRegister(name, newHistogram).(gometrics.Histogram)
}

// seriesName returns the name of a time series as the text format writes it.
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

// series is one time series with its name split into family and labels.
type series struct {
	family, labels string
	value          any
}

// sortedSeries returns all time series, sorted by family and then by labels.
func (r *Registry) sortedSeries() []series {
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

// BeforeWrite registers a hook that runs before each WriteText, to update gauges that
// depend on the current time, such as ages.
func (r *Registry) BeforeWrite(update func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collectHooks = append(r.collectHooks, update)
}

// WriteText writes all time series in the Prometheus text exposition format.
func (r *Registry) WriteText(w io.Writer) error {
	r.mu.RLock()
	before := r.collectHooks
	r.mu.RUnlock()
	for _, update := range before {
		update()
	}
	out := bufio.NewWriter(w)
	family := ""
	for _, s := range r.sortedSeries() {
		if s.family != family {
			family = s.family
			r.writeMetadata(out, s)
		}
		s.write(out)
	}
	return out.Flush()
}

func (r *Registry) writeMetadata(out *bufio.Writer, s series) {
	r.mu.RLock()
	help := r.helpTexts[s.family]
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
		fmt.Fprintf(out, "%s %d\n", withLabels(s.family, s.labels), m.Count())
	case gometrics.GaugeFloat64:
		fmt.Fprintf(out, "%s %g\n", withLabels(s.family, s.labels), m.Value())
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
	fmt.Fprintf(out, "%s %g\n", withLabels(s.family+"_sum", s.labels), float64(sample.Sum())*recordedUnit)
	fmt.Fprintf(out, "%s %d\n", withLabels(s.family+"_count", s.labels), total)
}

func withLabels(name, labels string) string {
	if labels == "" {
		return name
	}
	return name + "{" + labels + "}"
}

// HistogramSummary is the count, mean and percentiles of one histogram, for display in a
// terminal.
type HistogramSummary struct {
	Family string  `json:"family"`
	Labels string  `json:"labels"`
	Count  int64   `json:"count"`
	Mean   float64 `json:"mean"`
	P50    float64 `json:"p50"`
	P95    float64 `json:"p95"`
	P99    float64 `json:"p99"`
}

// HistogramSummaries summarises the histograms whose family starts with the prefix. A
// percentile is the upper bound of its bucket, or the maximum if that is lower.
func (r *Registry) HistogramSummaries(prefix string) []HistogramSummary {
	var rows []HistogramSummary
	for _, s := range r.sortedSeries() {
		h, ok := s.value.(gometrics.Histogram)
		if !ok || !strings.HasPrefix(s.family, prefix) {
			continue
		}
		p := h.Percentiles([]float64{0.5, 0.95, 0.99})
		rows = append(rows, HistogramSummary{
			Family: s.family, Labels: s.labels, Count: h.Count(), Mean: h.Mean() * recordedUnit,
			P50: p[0] * recordedUnit, P95: p[1] * recordedUnit, P99: p[2] * recordedUnit,
		})
	}
	return rows
}
