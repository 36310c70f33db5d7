package measure

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/carawaystile/carawaystile/prefix"
	"github.com/carawaystile/carawaystile/tables"
)

// Report is the outcome of all runs.
type Report struct {
	// Load is the offered load as a part of capacity.
	Load  float64  `json:"load"`
	Seeds []uint64 `json:"seeds"`
	Rows  []Row    `json:"rows"`
}

// Row is the outcome for one site, fault and policy, over all seeds.
type Row struct {
	Site     string `json:"site"`
	Fault    Fault  `json:"fault"`
	Policy   string `json:"policy"`
	Requests int    `json:"requests"`
	// HitRate is the part of the tokens in whole blocks that were found in a
	// cache at the first attempt that gave a token.
	HitRate float64 `json:"hit_rate"`
	// ComputedTokens is all prefill work; RecomputedTokens is the part of it
	// that some engine had computed before.
	ComputedTokens   int `json:"computed_tokens"`
	RecomputedTokens int `json:"recomputed_tokens"`
	Refused          int `json:"refused"`
	Failed           int `json:"failed"`
	// Unanswered requests were neither completed nor refused in time.
	Unanswered int `json:"unanswered"`
	// GoodPerSecond is the rate of requests completed within their timeout.
	GoodPerSecond float64 `json:"good_per_second"`
	// Fairness is the p99 time to first token of the urgent class for the
	// five smallest organisations over that for the three largest.
	Fairness float64 `json:"fairness"`
	// SmallP99 is that of the five smallest alone.
	SmallP99 float64 `json:"small_ttft_p99_seconds"`
	// Busy is the busiest resource's mean use, prefill or slots.
	Busy float64 `json:"busy"`
	// PeerBytes is what an instance sent to its peers, in bytes a second.
	PeerBytes float64 `json:"peer_bytes_per_second"`
	Classes   []Class `json:"classes"`
}

// Class is the time to first token of one class in seconds.
type Class struct {
	Name    string  `json:"name"`
	Count   int     `json:"count"`
	P50     float64 `json:"ttft_p50_seconds"`
	P95     float64 `json:"ttft_p95_seconds"`
	P99     float64 `json:"ttft_p99_seconds"`
	Refused int     `json:"refused"`
	Late    int     `json:"late"`
}

// WriteTable writes the report for people.
func (r Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 2, 0, 2, ' ', 0)
	fmt.Fprintln(t, "site\tfault\tpolicy\trequests\thit\tcomputed Mtok\trecomputed Mtok\trefused\tfailed\tlate\tgood/s\tsmall/large\tsmall p99\tbusy\tpeer B/s\tclass\tp50 s\tp95 s\tp99 s\trefused\tlate")
	for _, row := range r.Rows {
		head := fmt.Sprintf("%s\t%s\t%s\t%d\t%.3f\t%.2f\t%.2f\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f", row.Site, row.Fault, row.Policy, row.Requests,
			row.HitRate, float64(row.ComputedTokens)/1e6, float64(row.RecomputedTokens)/1e6, row.Refused, row.Failed, row.Unanswered,
			row.GoodPerSecond, row.Fairness, row.SmallP99, row.Busy, row.PeerBytes)
		for _, c := range row.Classes {
			fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%.3f\t%d\t%d\n", head, c.Name, c.P50, c.P95, c.P99, c.Refused, c.Late)
			head = "\t\t\t\t\t\t\t\t\t\t\t\t\t\t"
		}
	}
	return t.Flush()
}

// Find returns the row of a site, fault and policy.
func (r Report) Find(site string, fault Fault, policy string) (Row, bool) {
	for _, row := range r.Rows {
		if row.Site == site && row.Fault == fault && row.Policy == policy {
			return row, true
		}
	}
	return Row{}, false
}

// tally sums up runs.
type tally struct {
	out                 Row
	site                site
	ttft                map[tables.ProfileName][]time.Duration
	small, large        []time.Duration
	hits, blockTokens   int
	seconds, busy, runs float64
	good                int
	peerBytes           float64
	refused, late       map[tables.ProfileName]int
}

func newTally(s site, fault Fault, policy string) *tally {
	return &tally{
		site: s, out: Row{Site: s.name, Fault: fault, Policy: policy},
		ttft:    make(map[tables.ProfileName][]time.Duration),
		refused: make(map[tables.ProfileName]int), late: make(map[tables.ProfileName]int),
	}
}

func (t *tally) add(c *cluster, duration time.Duration) {
	for _, id := range c.sortedRecords() {
		if r := c.records[id]; r.request.Arrived >= warmUp {
			t.addRecord(r)
		}
	}
	for _, e := range c.order {
		t.out.ComputedTokens += e.computed
		t.out.RecomputedTokens += e.recomputed
	}
	t.busy += c.busy(duration)
	for _, i := range c.instances {
		t.peerBytes += i.peers.spent / duration.Seconds() / float64(len(c.instances))
	}
	t.seconds += (duration - warmUp).Seconds()
	t.runs++
}

func (t *tally) addRecord(r *record) {
	t.out.Requests++
	name := r.request.Profile
	switch {
	case r.completed && r.endedAt <= r.request.Deadline:
		t.good++
	case r.refused:
		t.out.Refused++
		t.refused[name]++
	case r.failed:
		t.out.Failed++
	default:
		t.out.Unanswered++
		t.late[name]++
	}
	if r.firstAt == 0 {
		return
	}
	t.blockTokens += len(r.request.Blocks) * prefix.BlockTokens
	t.hits += r.cached
	wait := r.firstAt - r.request.Arrived
	t.ttft[name] = append(t.ttft[name], wait)
	if name != t.site.classes[0].profile.Name {
		return
	}
	if r.request.Organisation < organisationID(3) {
		t.large = append(t.large, wait)
	} else {
		t.small = append(t.small, wait)
	}
}

func (t *tally) row() Row {
	out := t.out
	if t.blockTokens > 0 {
		out.HitRate = float64(t.hits) / float64(t.blockTokens)
	}
	out.GoodPerSecond = float64(t.good) / t.seconds
	out.Busy = t.busy / t.runs
	out.PeerBytes = t.peerBytes / t.runs
	if large := percentile(t.large, 0.99); large > 0 {
		out.SmallP99 = percentile(t.small, 0.99)
		out.Fairness = percentile(t.small, 0.99) / large
	}
	for _, k := range t.site.classes {
		all := t.ttft[k.profile.Name]
		out.Classes = append(out.Classes, Class{
			Name: string(k.profile.Name), Count: len(all),
			P50: percentile(all, 0.5), P95: percentile(all, 0.95), P99: percentile(all, 0.99),
			Refused: t.refused[k.profile.Name], Late: t.late[k.profile.Name],
		})
	}
	return out
}

// percentile is in seconds.
func percentile(all []time.Duration, p float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[min(len(all)-1, int(p*float64(len(all))))].Seconds()
}

func (c *cluster) sortedRecords() []tables.RequestID {
	ids := make([]tables.RequestID, 0, len(c.records))
	for id := range c.records {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// busy is the mean use of prefill, or of slots if that is higher.
func (c *cluster) busy(duration time.Duration) float64 {
	duration -= warmUp
	var prefill, slots, all float64
	for _, e := range c.order {
		prefill += e.prefillTime.Seconds() / duration.Seconds() / float64(len(c.order))
		slots += e.slotTime.Seconds() / duration.Seconds()
		all += float64(e.spec.Slots)
	}
	return max(prefill, slots/all)
}
