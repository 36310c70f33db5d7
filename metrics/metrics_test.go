package metrics

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/carawaystile/carawaystile/tables"
)

func TestTextFormat(t *testing.T) {
	registry := NewRegistry()
	requests := NewRequests(registry)
	requests.ObserveTTFT("o1", "p", tables.Urgent, 300*time.Microsecond)
	requests.ObserveTTFT("o1", "p", tables.Urgent, time.Hour*2)
	requests.CountFailure("o1", tables.CodeOverloaded, tables.OutcomeNotRun)
	var b strings.Builder
	assert.NilError(t, registry.WriteText(&b))
	for _, line := range []string{
		"# TYPE carawaystile_time_to_first_token_seconds histogram",
		`carawaystile_time_to_first_token_seconds_bucket{class="urgent",le="0.00025"} 0`,
		`carawaystile_time_to_first_token_seconds_bucket{class="urgent",le="0.0005"} 1`,
		`carawaystile_time_to_first_token_seconds_bucket{class="urgent",le="+Inf"} 2`,
		`carawaystile_organisation_time_to_first_token_seconds_count{organisation="o1"} 2`,
		`carawaystile_requests_failed_total{code="4291",outcome="not_run"} 1`,
	} {
		assert.Assert(t, strings.Contains(b.String(), line+"\n"), "missing %s in\n%s", line, b.String())
	}
}

// A reported percentile must not be below the true one, and at most one bucket above it.
func TestPercentileAgainstSortedValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		values := rapid.SliceOfN(rapid.Int64Range(250, 60_000_000), 1, 200).Draw(t, "values")
		sample := newBucketSample(SecondsBounds)
		for _, v := range values {
			sample.Update(v)
		}
		p := rapid.SampledFrom([]float64{0.5, 0.95, 0.99, 1}).Draw(t, "p")
		got := sample.Percentile(p)
		reached := 0
		for _, v := range values {
			if float64(v) <= got {
				reached++
			}
		}
		if float64(reached) < p*float64(len(values)) {
			t.Fatalf("only %d of %d values are at most %v", reached, len(values), got)
		}
		below := 0
		for _, v := range values {
			if float64(v) <= got/2 {
				below++
			}
		}
		if got > 500 && float64(below) >= p*float64(len(values)) {
			t.Fatalf("%d of %d values are at most half of %v", below, len(values), got)
		}
	})
}

// Guards against memory growth without bound when very many organisations send requests:
// those beyond the limit share one set of histograms.
func TestOrganisationsAreBounded(t *testing.T) {
	registry := NewRegistry()
	requests := NewRequests(registry)
	for i := range MaxOrganisations + 50 {
		requests.ObserveTTFT(tables.OrganisationID(fmt.Sprintf("o%d", i)), "p", tables.Normal, time.Millisecond)
	}
	assert.Equal(t, len(requests.organisations), MaxOrganisations+1)
	assert.Equal(t, requests.organisations[overflowOrganisation].ttft.Count(), int64(50))
}

func TestConcurrentUse(t *testing.T) {
	requests := NewRequests(NewRegistry())
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for i := range 500 {
				requests.ObservePrefixHitRatio(tables.OrganisationID(fmt.Sprintf("o%d", i%7)), tables.Urgent, 1, 2)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, requests.classes[tables.Urgent].prefixHitRatio.Count(), int64(4000))
}

// BenchmarkOrganisations reports the heap use of request metrics by number of
// organisations, for docs/CAPACITY.md.
func BenchmarkOrganisations(b *testing.B) {
	for _, n := range []int{8, 860, 8600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			requests := NewRequests(NewRegistry())
			ids := make([]tables.OrganisationID, n)
			for i := range ids {
				ids[i] = tables.OrganisationID(fmt.Sprintf("organisation-%d", i))
				requests.ObserveTTFT(ids[i], "p", tables.Normal, time.Millisecond)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for i := range b.N {
				requests.ObserveTTFT(ids[i%n], "p", tables.Normal, time.Millisecond)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
		})
	}
}
