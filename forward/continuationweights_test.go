package forward

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// setModels replaces the row of an engine.
func (h *harness) setModels(engine int, change func(*fleet.Endpoint)) {
	listed := maps.Clone(*h.server.endpoints.Load())
	id := tables.EndpointID(h.endpoints[engine].id + "models")
	row := listed[id]
	row = row.Clone()
	change(&row)
	listed[id] = row
	h.server.SetEndpoints(listed)
}

// Guards against a run that goes on at a backup on older weights than those that made a part of its memory.
func TestRunWithMemoryOfOtherWeightsIsNotContinued(t *testing.T) {
	write := func(text string) func(*harness, int, http.ResponseWriter) {
		return func(_ *harness, _ int, w http.ResponseWriter) {
			_, _ = io.WriteString(w, text)
			_ = http.NewResponseController(w).Flush()
		}
	}
	const named = "x-weights: 4\nid: 4\ndata: t4\n\n"
	for name, c := range map[string]struct {
		weights  string
		change   func(h *harness, engine int, w http.ResponseWriter)
		received []string
		// cut is set if the stream ends with what change has written.
		cut bool
	}{
		"an event names them":             {change: write(named), received: []string{"x-weights: 4\nid: 4\ndata: t4"}},
		"an earlier event names them":     {change: write(named + "id: 5\ndata: t5\n\n"), received: []string{"x-weights: 4\nid: 4\ndata: t4", "id: 5\ndata: t5"}},
		"an event that is cut names them": {change: write("x-weights: 4\nid: 4\nda"), cut: true},
		"the line that names them is cut": {change: write("x-weig"), cut: true},
		"the version is cut":              {change: write("x-weights: 3"), cut: true},
		"the response names them":         {weights: "4", change: write("")},
		"the list shows them at the first engine": {change: func(h *harness, engine int, _ http.ResponseWriter) {
			h.setModels(engine, func(e *fleet.Endpoint) { e.Weights["m"] = 4 })
		}},
		"the first engine is loading": {change: func(h *harness, engine int, _ http.ResponseWriter) {
			h.setModels(engine, func(e *fleet.Endpoint) { e.Loading = true })
		}},
		"they are the target": {change: func(h *harness, _ int, _ http.ResponseWriter) { h.server.RecordWeightsVersion("m", 4, 0) }},
	} {
		t.Run(name, func(t *testing.T) {
			engines := newBackupEngines(t, 3)
			h := newBackupHarness(t, engines, withBackups)
			engines.weights = c.weights
			engines.failRun = func(engine int, w http.ResponseWriter) {
				c.change(h, engine, w)
				if !c.cut {
					engines.crash(engine, w)
				}
				_ = engines.servers[engine].Listener.Close()
				panic(http.ErrAbortHandler)
			}
			received, complete := h.streamOf(t)
			assert.DeepEqual(t, received, append(wantEvents(3), c.received...))
			assert.Assert(t, !complete)
			assert.Equal(t, h.deliveredCount(), 1)
			assert.Equal(t, h.continuations("weights changed"), int64(1))
		})
	}
}

// Guards against runs that are given up although all of their memory was made by the weights of the backup.
func TestRunOnTheTargetWeightsIsContinued(t *testing.T) {
	engines := newBackupEngines(t, 3)
	h := newBackupHarness(t, engines, withBackups)
	h.server.RecordWeightsVersion("m", 3, 0)
	engines.failRun = func(engine int, w http.ResponseWriter) {
		_, _ = io.WriteString(w, "x-weights: 3\nid: 4\ndata: t4\n\nx-other: 4\nid: 5\ndata: t5\n\n")
		engines.crash(engine, w)
	}
	received, complete := h.streamOf(t)
	assert.Equal(t, len(received), 6)
	assert.Assert(t, complete)
	assert.Equal(t, h.continuations("completed"), int64(1))
}

// Guards against a run that goes on although its engine may have loaded weights that became the target after the
// instance last heard of the control group.
func TestRunIsContinuedOnlyAfterItsTargetWeightsAreConfirmed(t *testing.T) {
	for outcome, answer := range map[string]func() (uint64, error){
		"completed":              func() (uint64, error) { return 3, nil },
		"weights changed":        func() (uint64, error) { return 4, nil },
		"target weights unknown": func() (uint64, error) { return 0, errors.New("no quorum") },
	} {
		t.Run(outcome, func(t *testing.T) {
			engines := newBackupEngines(t, 3)
			crashed, askedEarly := atomic.Bool{}, atomic.Bool{}
			h := newBackupHarness(t, engines, withBackups, func(o *Options) {
				o.TargetWeights = func(_ context.Context, model string) (uint64, error) {
					askedEarly.Store(!crashed.Load())
					assert.Check(t, model == "m")
					return answer()
				}
			})
			h.server.RecordWeightsVersion("m", 3, 0)
			engines.failRun = func(engine int, w http.ResponseWriter) {
				h.server.RecordControlSync(0)
				crashed.Store(true)
				engines.crash(engine, w)
			}
			_, complete := h.streamOf(t)
			assert.Equal(t, complete, outcome == "completed")
			assert.Equal(t, h.continuations(outcome), int64(1))
			assert.Assert(t, !askedEarly.Load())
		})
	}
}
