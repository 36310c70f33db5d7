package forward

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/tables"
)

// backupEngines are engines that back runs of streams up at each other. What an engine does
// depends on the request, so that a test need not know which engine is chosen.
type backupEngines struct {
	fakeEndpoints
	// length is the number of events of a stream. A new run ends in the way of failRun after
	// event runUntil, and a continuation in that of failContinuation after continueUntil.
	length, runUntil, continueUntil int
	failRun, failContinuation       func(engine int, w http.ResponseWriter)
	// answerContinuation responds to a continuation instead of the engine if it is set.
	answerContinuation http.HandlerFunc
	// replays has a continuation repeat events that the caller has received.
	replays bool
	// whileRunning is called before a new run fails.
	whileRunning func()
	// weights is the version that the response to a new run names; empty for the usual one.
	weights string

	mu sync.Mutex
	// copies holds the handles "address/request" of the copies. runs counts runs by request,
	// and handles the continuations that used a copy.
	copies           map[string]bool
	runs             map[string]int
	handles, refused int
	continuation     *http.Request
	continuationBody string
}

func newBackupEngines(t *testing.T, count int) *backupEngines {
	t.Helper()
	e := &backupEngines{length: 6, runUntil: 3, continueUntil: 6, copies: map[string]bool{}, runs: map[string]int{}, whileRunning: func() {}}
	e.failRun = e.crash
	handlers := make([]http.HandlerFunc, count)
	for i := range handlers {
		handlers[i] = func(w http.ResponseWriter, r *http.Request) { e.serve(i, w, r) }
	}
	e.fakeEndpoints = newFakeEndpoints(t, handlers...)
	return e
}

// crash ends the engine's process: it accepts no connections any more, and its stream breaks in
// the middle of an event.
func (e *backupEngines) crash(engine int, w http.ResponseWriter) {
	_ = e.servers[engine].Listener.Close()
	e.breakConnection(engine, w)
}

// breakConnection breaks the connection of an engine that keeps running.
func (e *backupEngines) breakConnection(_ int, w http.ResponseWriter) {
	_, _ = io.WriteString(w, "id: 99\ndata: cu")
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

func (e *backupEngines) serve(engine int, w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-From") != "" {
		e.serveContinuation(engine, w, r)
		return
	}
	e.mu.Lock()
	e.runs[r.Header.Get("X-Request")]++
	if backup := r.Header.Get("X-Backup"); backup != "" {
		e.copies[backup+"/"+r.Header.Get("X-Request")] = true
	}
	e.mu.Unlock()
	if e.weights != "" {
		w.Header().Set("X-Weights", e.weights)
	}
	sendEvents(w, 1, e.runUntil)
	if e.runUntil < e.length {
		e.whileRunning()
		e.failRun(engine, w)
	}
}

func (e *backupEngines) serveContinuation(engine int, w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	e.continuation, e.continuationBody = r, string(body)
	address := strings.TrimPrefix(e.servers[engine].URL, "http://")
	held := e.copies[r.Header.Get("X-From")] && strings.HasPrefix(r.Header.Get("X-From"), address+"/")
	if held && e.answerContinuation == nil {
		e.handles++
	} else {
		e.refused++
	}
	e.mu.Unlock()
	switch {
	case e.answerContinuation != nil:
		e.answerContinuation(w, r)
		return
	case !held:
		decline(w, r)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if e.replays {
		last = 0
	}
	sendEvents(w, last+1, e.continueUntil)
	if e.continueUntil < e.length {
		e.failContinuation(engine, w)
	}
}

// sendEvents sends the events of a stream from one number to another.
func sendEvents(w http.ResponseWriter, from, to int) {
	w.Header().Set("X-Signature", "s")
	if w.Header().Get("X-Weights") == "" {
		w.Header().Set("X-Weights", "3")
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := from; i <= to; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: t%d\n\n", i, i)
		_ = http.NewResponseController(w).Flush()
	}
}

// counts returns how often the request ran, and how many continuations the engines accepted and
// refused.
func (e *backupEngines) counts(request string) (runs, handles, refused int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[request], e.handles, e.refused
}

// withBackups turns backups on.
func withBackups(o *Options) {
	o.Dispatch.Capacity.Backups = dispatch.On
	o.Registry = metrics.NewRegistry()
}

// newBackupHarness returns a harness with the engines, whose service has backups. Each change
// modifies the options.
func newBackupHarness(t *testing.T, e *backupEngines, changes ...func(*Options)) *harness {
	t.Helper()
	h := newHarnessWith(t, func() tables.Instant { return time.Since(testStart) }, e.fakeEndpoints, changes...)
	h.declareBackups(t)
	return h
}

// declareBackups configures that the engines can back runs up.
func (h *harness) declareBackups(t *testing.T) {
	t.Helper()
	h.configure(t, initialRevision+1, func(c *routes.Configuration) { c.Services[1].Backups = true })
}

// streamOf sends a request for a stream that may not be resumed, and returns the events that
// the caller received, and whether the response was complete.
func (h *harness) streamOf(t *testing.T, headers ...string) (received []string, complete bool) {
	t.Helper()
	resp := h.send(t, "POST", "/stream/x", "prompt", append([]string{"X-Model", "m", "X-Tokens", "100,50"}, headers...)...)
	assert.Equal(t, resp.StatusCode, 200)
	body, err := io.ReadAll(resp.Body)
	for _, event := range strings.Split(string(body), "\n\n") {
		if event != "" {
			received = append(received, event)
		}
	}
	return received, err == nil
}

// wantEvents returns the events of a stream up to a number.
func wantEvents(to int) (events []string) {
	for i := 1; i <= to; i++ {
		events = append(events, fmt.Sprintf("id: %d\ndata: t%d", i, i))
	}
	return events
}

// retries returns the metric of retries.
func (h *harness) retries() int64 {
	return h.server.options.Registry.Counter("carawaystile_repeats_total", "", metrics.Label{Name: "service", Value: "models"}).Count()
}

// continuations returns the metric of continuations with the given outcome.
func (h *harness) continuations(outcome string) int64 {
	return h.server.options.Registry.Counter("carawaystile_stream_continuations_total", "",
		metrics.Label{Name: "service", Value: "models"}, metrics.Label{Name: "outcome", Value: outcome}).Count()
}
