package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/tables"
)

// logLength is how many cache changes a stand-in remembers.
const logLength = 4096

// lateChange is a cache change and when it may be read.
type lateChange struct {
	engine.CacheChange
	readable time.Time
}

// eventLog keeps cache changes late and with gaps.
type eventLog struct {
	delay time.Duration
	loss  int

	mu       sync.Mutex
	sequence uint64
	changes  []lateChange
	// grown is closed and replaced when a change is added.
	grown chan struct{}
}

func (l *eventLog) init(delay time.Duration, loss int) {
	l.delay = delay
	l.loss = loss
	l.grown = make(chan struct{})
}

func (l *eventLog) add(stored, evicted []tables.BlockHash, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	if l.loss > 0 && l.sequence%uint64(l.loss) == 0 {
		return
	}
	change := engine.CacheChange{Sequence: l.sequence, Stored: stored, Evicted: evicted}
	l.changes = append(l.changes, lateChange{CacheChange: change, readable: now.Add(l.delay)})
	if len(l.changes) > 2*logLength {
		l.changes = append([]lateChange(nil), l.changes[logLength:]...)
	}
	close(l.grown)
	l.grown = make(chan struct{})
}

// after returns the readable changes behind a sequence number, when the next
// one becomes readable (zero if none is waiting), and a channel that is closed
// when another comes.
func (l *eventLog) after(sequence uint64, now time.Time) (changes []engine.CacheChange, next time.Time, grown <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, change := range l.changes {
		if change.Sequence <= sequence {
			continue
		}
		if change.readable.After(now) {
			return changes, change.readable, l.grown
		}
		changes = append(changes, change.CacheChange)
	}
	return changes, time.Time{}, l.grown
}

// datedLoad is a load report and when it was true.
type datedLoad struct {
	engine.Load
	at time.Time
}

// loadHistory keeps load reports for as long as they lag. It is guarded by the
// lock of its life.
type loadHistory struct {
	lag     time.Duration
	reports []datedLoad
}

// reportsPerLag bounds how many reports are kept for one lag.
const reportsPerLag = 8

// note takes a report unless the last one is fresh.
func (h *loadHistory) note(report func() engine.Load, now time.Time) {
	last := len(h.reports) - 1
	if h.lag == 0 || last >= 0 && now.Sub(h.reports[last].at) < h.lag/reportsPerLag {
		return
	}
	for len(h.reports) > 1 && now.Sub(h.reports[1].at) >= h.lag {
		h.reports = h.reports[1:]
	}
	h.reports = append(h.reports, datedLoad{Load: report(), at: now})
}

// lagging returns the newest report that is as old as the lag, or the oldest.
func (h *loadHistory) lagging(report func() engine.Load, now time.Time) engine.Load {
	if h.lag == 0 || len(h.reports) == 0 {
		return report()
	}
	h.note(report, now)
	chosen := h.reports[0]
	for _, r := range h.reports {
		if now.Sub(r.at) < h.lag {
			break
		}
		chosen = r
	}
	chosen.AgeMillis = now.Sub(chosen.at).Milliseconds()
	return chosen.Load
}

// loadSource is where the load reports of a stand-in come from.
type loadSource struct {
	hang *gate
	// ended is closed when the stand-in's life ends; nil means never.
	ended  <-chan struct{}
	report func() engine.Load
}

// serveLoads answers with one report, or with a stream of them if asked to.
func serveLoads(w http.ResponseWriter, r *http.Request, from loadSource) {
	interval, stream := engine.WantsLoadStream(r)
	if !stream {
		answerJSON(w, http.StatusOK, from.report())
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	out := &eventWriter{w: w, flusher: w.(http.Flusher)}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var last engine.Load
	for {
		select {
		case <-from.hang.opened():
		case <-from.ended:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		load := from.report()
		data, err := json.Marshal(engine.NewLoadDelta(last, load))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		out.text("data: " + string(data) + "\n\n")
		last = load
		select {
		case <-ticker.C:
		case <-from.ended:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}
