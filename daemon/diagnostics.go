package daemon

import (
	"encoding/json"
	"net/http"

	"github.com/carawaystile/carawaystile/control/server"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

// measurementsPrefix selects the histograms that Measurements returns. Those of
// priority classes are meant for a terminal, those of organisations for scrapers;
// this prefix matches both.
const measurementsPrefix = "carawaystile_"

// Paths that the operators' command requests from an instance in addition to the
// Twirp service. They require an operator key.
const (
	MeasurementsPath = "/operator/measurements"
	ExplainPath      = "/operator/explain"
	InstancesPath    = "/operator/instances"
	QuorumPath       = "/operator" + server.QuorumPath
)

// Explain returns the latest routing decision of this instance on a request, while
// it is remembered. Explanations name endpoints and the cached fractions of
// prompts, and are therefore available to operators only.
func (d *Daemon) Explain(id tables.RequestID) (router.Explanation, bool) {
	var explanation router.Explanation
	found := false
	if d.entry == nil {
		return explanation, false
	}
	d.entry.RunInEventLoop(func() { explanation, found = d.router.Explain(id) })
	return explanation, found
}

// Measurements returns summaries of the histograms: count, mean and percentiles.
func (d *Daemon) Measurements() []metrics.HistogramSummary {
	return d.registry.HistogramSummaries(measurementsPrefix)
}

// serveExplain writes the Explanation of the request that the query names, as JSON.
func (d *Daemon) serveExplain(w http.ResponseWriter, req *http.Request) {
	explanation, found := d.Explain(tables.RequestID(req.URL.Query().Get("request")))
	if !found {
		http.Error(w, "this instance does not remember the request", http.StatusNotFound)
		return
	}
	writeJSON(w, explanation)
}

// serveMeasurements writes Measurements as JSON.
func (d *Daemon) serveMeasurements(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, d.Measurements())
}

// serveInstances writes the sizes and loads of the known instances as JSON.
func (d *Daemon) serveInstances(w http.ResponseWriter, _ *http.Request) {
	joined := d.members.Load()
	if joined == nil {
		http.Error(w, "this instance has not joined the others yet", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, joined.Sizes())
}

// serveQuorum writes what this control instance knows of the voters of its group as JSON.
func (d *Daemon) serveQuorum(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, d.replica.Status().Quorum)
}

// writeJSON writes a value as a JSON response.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
