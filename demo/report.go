package demo

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/carawaystile/carawaystile/standin"
	"github.com/carawaystile/carawaystile/tables"
)

// Promise is a sentence on a promise that did not hold.
type Promise string

// ClassReport sums up the requests of one profile. Times are those of the run,
// whose engines are Speedup times faster than declared.
type ClassReport struct {
	Profile   tables.ProfileName `json:"profile"`
	Requests  int                `json:"requests"`
	Complete  int                `json:"complete"`
	Left      int                `json:"left"`
	Refused   int                `json:"refused"`
	Failed    int                `json:"failed"`
	Unreached int                `json:"unreached"`
	// The times to first token, or to the whole answer for requests that are
	// not streamed, in milliseconds.
	P50 float64 `json:"ttft_p50_ms"`
	P95 float64 `json:"ttft_p95_ms"`
	P99 float64 `json:"ttft_p99_ms"`
}

// Report is the result of a run.
type Report struct {
	Seed     uint64  `json:"seed"`
	Fault    Fault   `json:"fault,omitempty"`
	Seconds  float64 `json:"seconds"`
	Speedup  int     `json:"speedup"`
	Requests int     `json:"requests"`
	// Resends are further tries of the same work.
	Resends         int `json:"resends"`
	CompleteStreams int `json:"complete_streams"`
	Refused         int `json:"refused"`
	Failed          int `json:"failed"`
	// HitRate is the part of all prompt tokens that engines took from their
	// caches.
	HitRate          float64 `json:"hit_rate"`
	RecomputedTokens int     `json:"recomputed_tokens"`
	// DuplicatesRun counts runs of once-only work beyond the first.
	DuplicatesRun int `json:"duplicates_run"`
	// PoisonCrashes is how many engines the two requests that crash engines
	// took down together.
	PoisonCrashes int `json:"poison_crashes"`
	// InnocentUnanswered is how many requests that may be repeated got no
	// answer, those that crash engines aside.
	InnocentUnanswered int            `json:"innocent_unanswered"`
	Classes            []ClassReport  `json:"classes"`
	Codes              map[string]int `json:"codes,omitempty"`
	StandIns           standin.Totals `json:"stand_ins"`
	Broken             []Promise      `json:"broken_promises"`
}

func (r *Report) broken(format string, args ...any) {
	r.Broken = append(r.Broken, Promise(fmt.Sprintf(format, args...)))
}

func (w *world) report(results []result, took time.Duration) Report {
	r := Report{
		Seed: w.options.Seed, Fault: w.options.Fault, Seconds: took.Seconds(), Speedup: speedup,
		StandIns: w.fleet.records.Totals(),
		Codes:    make(map[string]int), Broken: []Promise{},
	}
	r.PoisonCrashes = r.StandIns.Crashes - int(w.chosenCrashes.Load())
	r.count(results)
	r.RecomputedTokens = r.StandIns.RecomputedTokens
	if prompt := r.StandIns.CachedTokens + r.StandIns.ComputedTokens; prompt > 0 {
		r.HitRate = float64(r.StandIns.CachedTokens) / float64(prompt)
	}
	w.check(&r, results)
	return r
}

func (r *Report) count(results []result) {
	byClass := make(map[tables.ProfileName]*ClassReport)
	times := make(map[tables.ProfileName][]time.Duration)
	for i := range results {
		got := &results[i]
		if got.resent {
			r.Resends++
			continue
		}
		r.Requests++
		class := byClass[got.item.profile]
		if class == nil {
			class = &ClassReport{Profile: got.item.profile}
			byClass[got.item.profile] = class
		}
		r.countOne(class, got)
		if got.ending == complete || got.ending == left {
			times[got.item.profile] = append(times[got.item.profile], got.ttft)
		}
	}
	for name, class := range byClass {
		class.P50, class.P95, class.P99 = quantiles(times[name])
		r.Classes = append(r.Classes, *class)
	}
	slices.SortFunc(r.Classes, func(a, b ClassReport) int { return strings.Compare(string(a.Profile), string(b.Profile)) })
}

func (r *Report) countOne(class *ClassReport, got *result) {
	class.Requests++
	if got.code != 0 {
		r.Codes[fmt.Sprint(got.code)]++
	}
	if got.ending != complete && got.ending != left && !got.item.poisoned && got.item.key == "" {
		r.InnocentUnanswered++
	}
	switch got.ending {
	case complete:
		class.Complete++
		if got.item.stream {
			r.CompleteStreams++
		}
	case left:
		class.Left++
	case refused:
		class.Refused++
		r.Refused++
	case unreached:
		class.Unreached++
	default:
		class.Failed++
		r.Failed++
	}
}

func quantiles(times []time.Duration) (p50, p95, p99 float64) {
	if len(times) == 0 {
		return 0, 0, 0
	}
	slices.Sort(times)
	at := func(q float64) float64 {
		return float64(times[int(q*float64(len(times)-1))].Microseconds()) / 1000
	}
	return at(0.50), at(0.95), at(0.99)
}

// WriteTable writes the report for people.
func (r Report) WriteTable(out io.Writer) {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "profile\trequests\tcomplete\tleft\trefused\tfailed\tunreached\tfirst token p50 ms\tp95 ms\tp99 ms\t")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n",
			c.Profile, c.Requests, c.Complete, c.Left, c.Refused, c.Failed, c.Unreached, c.P50, c.P95, c.P99)
	}
	_ = t.Flush()
	s := r.StandIns
	fmt.Fprintf(out, "\n%d requests and %d resends in %.1f s; engines run %d times faster than declared\n", r.Requests, r.Resends, r.Seconds, r.Speedup)
	fmt.Fprintf(out, "complete streams %d, refused %d, failed %d\n", r.CompleteStreams, r.Refused, r.Failed)
	for _, code := range slices.Sorted(maps.Keys(r.Codes)) {
		fmt.Fprintf(out, "  with code %s: %d\n", code, r.Codes[code])
	}
	fmt.Fprintf(out, "hit rate %.1f %%, recomputed tokens %d, prefilled again to resume %d\n", 100*r.HitRate, r.RecomputedTokens, s.ResumedTokens)
	fmt.Fprintf(out, "attempts %d: completed %d, cancelled %d, cut %d, declined %d; engine crashes %d\n",
		s.Attempts, s.Completed, s.Cancelled, s.Cut, s.Declined, s.Crashes)
	if r.Fault == FaultCrash {
		fmt.Fprintf(out, "engines lost to two requests that crash engines: %d; other repeatable requests without an answer: %d\n",
			r.PoisonCrashes, r.InnocentUnanswered)
	}
	fmt.Fprintf(out, "duplicates run %d\n", r.DuplicatesRun)
	if len(r.Broken) == 0 {
		fmt.Fprintln(out, "every promise held")
		return
	}
	fmt.Fprintln(out, "BROKEN PROMISES:")
	for _, p := range r.Broken {
		fmt.Fprintln(out, "  "+string(p))
	}
}
