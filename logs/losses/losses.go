// Package losses tells from collected logs which requests of a forwarding deployment
// came late or not at all, for what reason and at which moments. It reads the lines
// that entry and control instances write, from any number of files.
package losses

import (
	"cmp"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/logs/trail"
)

// Reason says why a request was not answered in time.
type Reason string

// The reasons, of which the first that holds is taken.
const (
	// Refused: told to come back, since it could not be placed.
	Refused Reason = "refused"
	// Failed: an endpoint had it and gave no whole answer.
	Failed Reason = "failed at an endpoint"
	// CallerLeft: its caller left before it was whole.
	CallerLeft Reason = "caller left"
	// Retried: answered late by a further endpoint.
	Retried Reason = "late after a failed attempt"
	// WaitedForPlacement: it waited long for a place, or for a part of its prompt to be read.
	WaitedForPlacement Reason = "late after waiting for a place"
	// LongPrefill: no endpoint was expected to be in time, and it had most of its
	// prompt to read.
	LongPrefill Reason = "late since its prompt had to be read"
	// LongQueue: no endpoint was expected to be in time.
	LongQueue Reason = "late in a queue that was known"
	// SlowCacheFetch: a part of its prompt came later than expected from elsewhere.
	SlowCacheFetch Reason = "late while a prompt was fetched"
	// Unexpected: everything else that took longer than expected.
	Unexpected Reason = "later than expected"
)

// Moment says what happened just before a request.
type Moment string

// The moments, of which the first that holds is taken.
const (
	// InstanceStarted: an entry instance had just started.
	InstanceStarted Moment = "after a start of an entry instance"
	// WeightsRollout: new weights were being rolled out.
	WeightsRollout Moment = "while weights were new"
	// EndpointLost: an endpoint had crashed or taken no connections.
	EndpointLost Moment = "after an endpoint was lost"
	// Ordinary is any other.
	Ordinary Moment = "otherwise"
)

// spans is how long each moment lasts after the line that begins it: a rollout takes
// some seconds, and so does it until queues are short again.
var spans = map[Moment]time.Duration{InstanceStarted: 2 * time.Second, WeightsRollout: 6 * time.Second, EndpointLost: 3 * time.Second}

// heldPart is the part of the target that a request waited for a place in, for that
// to be the reason.
const heldPart = 0.4

// LossCount counts the losses of a route with one reason at one kind of moment.
type LossCount struct {
	Route  string `json:"route"`
	Reason Reason `json:"reason"`
	Moment Moment `json:"moment"`
	Count  int    `json:"count"`
}

// Route counts the requests of a route.
type Route struct {
	Name   string `json:"name"`
	Asked  int    `json:"asked"`
	InTime int    `json:"in_time"`
}

// Table is what logs come to.
type Table struct {
	Routes []Route `json:"routes"`
	Losses []LossCount   `json:"losses"`
}

// loss is a request that was not answered in time.
type loss struct {
	route  string
	reason Reason
	at     time.Time
}

// Reader collects lines.
type Reader struct {
	routes map[string]*Route
	lost   []loss
	// began are the times at which each kind of moment began.
	began map[Moment][]time.Time
}

// NewReader returns a reader that has read nothing.
func NewReader() *Reader {
	return &Reader{routes: map[string]*Route{}, began: map[Moment][]time.Time{}}
}

// Read reads a log.
func (r *Reader) Read(file string, log io.Reader) error {
	return trail.Scan(file, log, r.take)
}

func (r *Reader) take(line trail.Line) {
	switch line.Event {
	case events.DaemonStarted.Number:
		if line.Field("entry") == "true" {
			r.begin(InstanceStarted, line.At)
		}
	case events.WeightsWanted.Number:
		r.begin(WeightsRollout, line.At)
	case events.EndpointCrashed.Number, events.EndpointUnreachable.Number:
		r.begin(EndpointLost, line.At)
	case events.RequestAnswered.Number:
		r.answered(line)
	case events.RequestFailed.Number:
		if line.Int("status") < http.StatusInternalServerError {
			return // it was not one that the configuration allows
		}
		reason := Failed
		if line.Field("outcome") == "not_run" {
			reason = Refused
		}
		r.lose(line, reason)
	case events.StreamAborted.Number:
		r.lose(line, Failed)
	case events.ClientDisconnected.Number:
		r.lose(line, CallerLeft)
	}
}

func (r *Reader) begin(m Moment, at time.Time) { r.began[m] = append(r.began[m], at) }

// route counts a request; nil for one that was matched to none.
func (r *Reader) route(line trail.Line) *Route {
	name := line.Field("route")
	if name == "" {
		return nil
	}
	if r.routes[name] == nil {
		r.routes[name] = &Route{Name: name}
	}
	r.routes[name].Asked++
	return r.routes[name]
}

func (r *Reader) lose(line trail.Line, reason Reason) {
	if r.route(line) != nil {
		r.lost = append(r.lost, loss{route: line.Field("route"), reason: reason, at: line.At.Add(-line.Duration("took"))})
	}
}

func (r *Reader) answered(line trail.Line) {
	target := line.Duration("target")
	took := line.Duration("first")
	if took == 0 {
		took = line.Duration("took")
	}
	if line.Int("status") >= http.StatusBadRequest {
		r.lose(line, Failed)
		return
	}
	if target == 0 || took <= target {
		if route := r.route(line); route != nil {
			route.InTime++
		}
		return
	}
	r.lose(line, lateness(line, target))
}

// lateness is why an answer came late.
func lateness(line trail.Line, target time.Duration) Reason {
	switch {
	case line.Int("sends") > 1:
		return Retried
	case line.Duration("placed").Seconds() > heldPart*target.Seconds():
		return WaitedForPlacement
	case line.Duration("expected") > target && 2*line.Int("to_read") > line.Int("prompt"):
		return LongPrefill
	case line.Duration("expected") > target:
		return LongQueue
	case line.Field("source") != "":
		return SlowCacheFetch
	}
	return Unexpected
}

// Table sums up what was read, the largest losses first.
func (r *Reader) Table() Table {
	for _, began := range r.began {
		slices.SortFunc(began, time.Time.Compare)
	}
	var t Table
	for _, name := range slices.Sorted(maps.Keys(r.routes)) {
		t.Routes = append(t.Routes, *r.routes[name])
	}
	counts := map[LossCount]int{}
	for _, l := range r.lost {
		counts[LossCount{Route: l.route, Reason: l.reason, Moment: r.momentOf(l.at)}]++
	}
	for row, n := range counts {
		row.Count = n
		t.Losses = append(t.Losses, row)
	}
	slices.SortFunc(t.Losses, func(a, b LossCount) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Route, b.Route),
			cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.Moment, b.Moment))
	})
	return t
}

func (r *Reader) momentOf(at time.Time) Moment {
	for _, m := range []Moment{InstanceStarted, WeightsRollout, EndpointLost} {
		if r.isDuring(m, at) {
			return m
		}
	}
	return Ordinary
}

// isDuring says whether a moment of the kind began less than its span before.
func (r *Reader) isDuring(m Moment, at time.Time) bool {
	began := r.began[m]
	after, _ := slices.BinarySearchFunc(began, at, func(b, at time.Time) int {
		if b.After(at) {
			return 1
		}
		return -1
	})
	return after > 0 && at.Sub(began[after-1]) < spans[m]
}
