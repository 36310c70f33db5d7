// Package losses analyses collected logs of a forwarding deployment: which requests missed
// their latency target or failed, for which reason and under which circumstances. It reads
// the lines that entry and control instances write, from any number of files.
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

// Reason classifies why a request was not answered within its target.
type Reason string

// The reasons, in order of precedence: the first that applies is reported.
const (
	// Refused: the request could not be placed and was rejected with a request to retry.
	Refused Reason = "refused"
	// Failed: an endpoint received the request and gave no complete response.
	Failed Reason = "failed at an endpoint"
	// CallerLeft: the caller disconnected before the response was complete.
	CallerLeft Reason = "caller left"
	// Retried: another endpoint answered after a failed attempt, but late.
	Retried Reason = "late after a failed attempt"
	// WaitedForPlacement: the request waited long for its placement on an endpoint or for
	// a part of its prompt to be read.
	WaitedForPlacement Reason = "late after waiting for a place"
	// LongPrefill: no endpoint was expected to meet the target, and most of the prompt had
	// to be prefilled.
	LongPrefill Reason = "late since its prompt had to be read"
	// LongQueue: no endpoint was expected to meet the target.
	LongQueue Reason = "late in a queue that was known"
	// SlowCacheFetch: a part of the prompt's cache was fetched from elsewhere and came
	// later than expected.
	SlowCacheFetch Reason = "late while a prompt was fetched"
	// Unexpected: the response took longer than predicted, for none of the reasons above.
	Unexpected Reason = "later than expected"
)

// Moment classifies what happened in the deployment shortly before a request.
type Moment string

// The moments, of which the first that holds is taken.
const (
	// InstanceStarted: an entry instance had just started.
	InstanceStarted Moment = "after a start of an entry instance"
	// WeightsRollout: new weights were being rolled out.
	WeightsRollout Moment = "while weights were new"
	// EndpointLost: an endpoint had crashed or accepted no connections.
	EndpointLost Moment = "after an endpoint was lost"
	// Ordinary: none of the above.
	Ordinary Moment = "otherwise"
)

// momentDurations is how long each kind of moment lasts after its log line: a rollout takes
// some seconds, and so does the time until queues are short again.
var momentDurations = map[Moment]time.Duration{InstanceStarted: 2 * time.Second, WeightsRollout: 6 * time.Second, EndpointLost: 3 * time.Second}

// placementWaitShare is the share of the target above which the wait for a placement counts
// as the reason of a late answer.
const placementWaitShare = 0.4

// LossCount counts the requests of a route that were lost for one reason at one kind of
// moment.
type LossCount struct {
	Route  string `json:"route"`
	Reason Reason `json:"reason"`
	Moment Moment `json:"moment"`
	Count  int    `json:"count"`
}

// Route counts the requests of a route: all of them, and those answered within the target.
type Route struct {
	Name   string `json:"name"`
	Asked  int    `json:"asked"`
	InTime int    `json:"in_time"`
}

// Table is the result of the analysis.
type Table struct {
	Routes []Route     `json:"routes"`
	Losses []LossCount `json:"losses"`
}

// loss is a request that was not answered within its target.
type loss struct {
	route  string
	reason Reason
	at     time.Time
}

// Reader accumulates log lines for the analysis.
type Reader struct {
	routes map[string]*Route
	lost   []loss
	// began has the start times of each kind of moment.
	began map[Moment][]time.Time
}

// NewReader returns an empty reader.
func NewReader() *Reader {
	return &Reader{routes: map[string]*Route{}, began: map[Moment][]time.Time{}}
}

// Read adds the lines of a log; file names the log.
func (r *Reader) Read(file string, log io.Reader) error {
	return trail.Scan(file, log, r.take)
}

func (r *Reader) take(line trail.Line) {
	switch line.Event {
	case events.DaemonStarted.Number:
		if line.Field("entry") == "true" {
			r.recordMoment(InstanceStarted, line.At)
		}
	case events.WeightsWanted.Number:
		r.recordMoment(WeightsRollout, line.At)
	case events.EndpointCrashed.Number, events.EndpointUnreachable.Number:
		r.recordMoment(EndpointLost, line.At)
	case events.RequestAnswered.Number:
		r.recordAnswer(line)
	case events.RequestFailed.Number:
		if line.Int("status") < http.StatusInternalServerError {
			return // a client error: the configuration does not allow the request
		}
		reason := Failed
		if line.Field("outcome") == "not_run" {
			reason = Refused
		}
		r.recordLoss(line, reason)
	case events.StreamAborted.Number, events.RequestCut.Number, events.RequestLost.Number:
		r.recordLoss(line, Failed)
	case events.ClientDisconnected.Number:
		r.recordLoss(line, CallerLeft)
	}
}

func (r *Reader) recordMoment(m Moment, at time.Time) { r.began[m] = append(r.began[m], at) }

// countRequest counts a request to its route and returns the route, or nil if the request
// matched none.
func (r *Reader) countRequest(line trail.Line) *Route {
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

func (r *Reader) recordLoss(line trail.Line, reason Reason) {
	if r.countRequest(line) != nil {
		r.lost = append(r.lost, loss{route: line.Field("route"), reason: reason, at: line.At.Add(-line.Duration("took"))})
	}
}

func (r *Reader) recordAnswer(line trail.Line) {
	target := line.Duration("target")
	took := line.Duration("first")
	if took == 0 {
		took = line.Duration("took")
	}
	if line.Int("status") >= http.StatusBadRequest {
		r.recordLoss(line, Failed)
		return
	}
	if target == 0 || took <= target {
		if route := r.countRequest(line); route != nil {
			route.InTime++
		}
		return
	}
	r.recordLoss(line, lateReason(line, target))
}

// lateReason returns the reason of an answer that missed its target.
func lateReason(line trail.Line, target time.Duration) Reason {
	switch {
	case line.Int("sends") > 1:
		return Retried
	case line.Duration("placed").Seconds() > placementWaitShare*target.Seconds():
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

// Table returns the analysis of the lines read so far, most frequent losses first.
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

// isDuring reports whether a moment of the kind began less than its duration before at.
func (r *Reader) isDuring(m Moment, at time.Time) bool {
	began := r.began[m]
	after, _ := slices.BinarySearchFunc(began, at, func(b, at time.Time) int {
		if b.After(at) {
			return 1
		}
		return -1
	})
	return after > 0 && at.Sub(began[after-1]) < momentDurations[m]
}
