package daemon

import (
	"encoding/json"
	"net/http"

	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

// histogramPrefix chooses the measurements of classes, which a terminal can
// show; those of organisations are left to scrapers.
const histogramPrefix = "carawaystile_"

// Paths of what the operators' command asks an instance beside the twirp
// service. They need the operators' key.
const (
	MeasurementsPath = "/operator/measurements"
	ExplainPath      = "/operator/explain"
)

// Explain returns the last decision of this instance on a request, while it is
// remembered. Explanations name endpoints and cached shares, so they are for
// operators only.
func (d *Daemon) Explain(id tables.RequestID) (router.Explanation, bool) {
	var explanation router.Explanation
	found := false
	if d.entry == nil {
		return explanation, false
	}
	d.entry.RunInEventLoop(func() { explanation, found = d.router.Explain(id) })
	return explanation, found
}

// Measurements returns the histograms of classes in brief.
func (d *Daemon) Measurements() []metrics.Row { return d.registry.Rows(histogramPrefix) }

func (d *Daemon) serveExplain(w http.ResponseWriter, req *http.Request) {
	explanation, found := d.Explain(tables.RequestID(req.URL.Query().Get("request")))
	if !found {
		http.Error(w, "this instance does not remember the request", http.StatusNotFound)
		return
	}
	writeJSON(w, explanation)
}

func (d *Daemon) serveMeasurements(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, d.Measurements())
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
