package fleet

import "github.com/carawaystile/carawaystile/tables"

// reportedWeights is what one incarnation of an endpoint has reported to this instance.
type reportedWeights struct {
	startUnixMilli int64
	// refuted holds the version of a model's weights that was taken for the endpoint's, and that is higher than
	// the one it reported then: by an entry of another writer, or before the endpoint went back.
	refuted map[string]uint64
}

// refutes reports whether the endpoint's own report has refuted a version. A nil report refutes nothing.
func (r *reportedWeights) refutes(model string, version uint64) bool {
	return r != nil && version != 0 && r.refuted[model] == version
}

// reportOf returns what the incarnation of an endpoint has reported, nil if it has reported nothing.
func (t *Table) reportOf(e *Endpoint) *reportedWeights {
	report := t.reports[e.ID]
	if report == nil || report.startUnixMilli != e.StartUnixMilli {
		return nil
	}
	return report
}

// RecordWeights sets the version of a model's weights to the one that an endpoint serves by its own report. A
// higher version that was known is not taken from the list again. Nothing is recorded if the row is of a process
// with another start time than the given one. Zero is unknown.
func (t *Table) RecordWeights(id tables.EndpointID, startUnixMilli int64, model string, version uint64) {
	t.mutate(id, func(e *Endpoint) {
		if !e.mayStartAt(startUnixMilli) {
			return
		}
		report := t.reportOf(e)
		if report == nil {
			report = &reportedWeights{startUnixMilli: e.StartUnixMilli, refuted: map[string]uint64{}}
			t.reports[id] = report
		}
		if e.Weights == nil {
			e.Weights = map[string]uint64{}
		}
		switch known := e.Weights[model]; {
		case known > version:
			report.refuted[model] = known
		case version >= report.refuted[model]:
			delete(report.refuted, model)
		}
		e.Weights[model] = version
	})
}

// ForgetReports makes the table follow the list and the leader again. It is called when this instance no longer
// asks endpoints for reports.
func (t *Table) ForgetReports() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.reports)
}
