package daemon

import (
	"net/http"
	"runtime"
	"time"

	"github.com/carawaystile/carawaystile/metrics"
)

// refreshGauges updates the gauges. It is called on each scrape instead of
// periodically, so that an instance that is never scraped has no cost.
func (d *Daemon) refreshGauges() {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	gauge := func(name, help string, value float64, labels ...metrics.Label) {
		d.registry.Gauge(name, help, labels...).Update(value)
	}
	gauge("carawaystile_heap_bytes", "Bytes of the heap in use.", float64(memory.HeapInuse))
	gauge("carawaystile_goroutines", "Goroutines that exist.", float64(runtime.NumGoroutine()))
	gauge("carawaystile_uptime_seconds", "Time since the start of the process.", d.now().Seconds())
	if active := d.active.Load(); active != nil {
		gauge("carawaystile_revision", "Revision of the configuration in force.", float64(active.configuration.Revision))
		gauge("carawaystile_revision_age_seconds", "Time since that revision is in force.", time.Since(active.since).Seconds())
	}
	d.refreshMembershipGauges(gauge)
	if d.replica != nil {
		status := d.replica.Status()
		gauge("carawaystile_control_claims", "Claims that the control state keeps.", float64(status.ClaimCount))
		gauge("carawaystile_control_leader", "1 if this instance leads the control group.", indicator(status.IsLeader))
		gauge("carawaystile_control_voter", "1 if this instance votes in the control group; 0 during a repair.", indicator(status.IsVoter))
	}
}

// indicator returns the gauge value of a condition: 1 or 0.
func indicator(met bool) float64 {
	if met {
		return 1
	}
	return 0
}

// refreshMembershipGauges updates the gauges of membership, once the instance has
// joined.
func (d *Daemon) refreshMembershipGauges(gauge func(string, string, float64, ...metrics.Label)) {
	joined := d.members.Load()
	if joined == nil {
		return
	}
	counts := make(map[string]int)
	for _, m := range joined.Members() {
		counts[memberStateNames[m.State]]++
	}
	for _, word := range memberStateNames {
		gauge("carawaystile_instances", "Instances known, by state.", float64(counts[word]), metrics.Label{Name: "state", Value: word})
	}
	traffic := joined.Traffic()
	gauge("carawaystile_membership_sent_bytes", "Bytes of failure detection sent since the start.", float64(traffic.SentBytes))
	gauge("carawaystile_membership_received_bytes", "Bytes of failure detection received since the start.", float64(traffic.ReceivedBytes))
	gauge("carawaystile_membership_dropped_datagrams", "Datagrams that were not sent, not sealed by a known key, or not readable.", float64(traffic.Dropped))
}

// serveMetrics writes all metrics in the Prometheus text format.
func (d *Daemon) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	d.refreshGauges()
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_ = d.registry.WriteText(w)
}
