package soak

import (
	"bufio"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/carawaystile/carawaystile/platform/platformtest"
)

const (
	// memoryLook is the time between two looks at the memory of instances.
	memoryLook = 250 * time.Millisecond
	// timeoutSlack is how long after its deadline a request may still be open or start to run,
	// beyond the longest stall of the machine.
	timeoutSlack = 300 * time.Millisecond
	// shareWindow is a time in which an organisation that sends shareLeast generations or more
	// gets some if another one gets shareLeast.
	shareWindow = 5 * time.Second
	shareLeast  = 60
)

// leftGauges are the metrics of an instance that are zero once no request is open. Those that are
// required are there at all times; the last one exists only while an endpoint is known.
var (
	requiredGauges = []string{"carawaystile_admission_waiting", "carawaystile_buffered_bytes", "carawaystile_streams_backpressured"}
	leftGauges     = append(slices.Clone(requiredGauges), "carawaystile_unanswered_body_bytes")
)

// callerHeaderGauge is zero too then. Those of other listeners count the header of the scrape.
const callerHeaderGauge = `carawaystile_header_bytes{listener="callers"}`

// begunRuns returns the runs that continue no other one.
func (r *request) begunRuns() []platformtest.Run {
	return slices.DeleteFunc(slices.Clone(r.runs), func(run platformtest.Run) bool { return run.Continued })
}

// judgeCapacity checks what is promised of the capacity decisions beyond what is promised
// anyway.
func (l *ledger) judgeCapacity(all []*request) {
	for _, r := range all {
		l.judgeContinuations(r)
		l.judgeWait(r)
		refused := r.result.Status == http.StatusServiceUnavailable || r.result.Status == http.StatusTooManyRequests
		if refused && !r.result.Forwarded && len(r.runs) > 0 {
			l.breachLocked("what is refused has not run", r.ID, "was answered %d and ran at %s", r.result.Status, r.runs[0].Endpoint)
		}
	}
	if !l.limited {
		l.judgeShares(all)
	}
}

// judgeContinuations checks that a run goes on at one endpoint at a time, and is continued once.
func (l *ledger) judgeContinuations(r *request) {
	continued := 0
	for _, run := range r.runs {
		if !run.Continued {
			continue
		}
		continued++
		if run.SourceActive {
			l.breachLocked("a run goes on at one endpoint", r.ID, "was continued at %s while its first endpoint ran it", run.Endpoint)
		}
	}
	if continued > 1 || continued > 0 && len(r.begunRuns()) == 0 {
		l.breachLocked("a run is continued once", r.ID, "was continued %d times after %d runs", continued, len(r.begunRuns()))
	}
}

// judgeWait checks that a request doesn't wait for capacity beyond its deadline.
func (l *ledger) judgeWait(r *request) {
	late := r.sent.Add(r.Timeout + timeoutSlack + l.stalled)
	if r.cancelled || r.life != r.lifeEnd || l.disturbed(r) {
		return
	}
	ranLate := slices.ContainsFunc(r.runs, func(run platformtest.Run) bool { return !run.At.Before(late) })
	if ranLate || len(r.runs) == 0 && r.done.After(late) {
		l.breachLocked("nothing waits beyond its deadline", r.ID, "to %s began to run or had no answer %v after it was sent", r.entry.Name, late.Sub(r.sent))
	}
}

// disturbed says whether the entry instance of a request was paused, or its links to callers or
// endpoints were disturbed, while the request was open.
func (l *ledger) disturbed(r *request) bool {
	return slices.ContainsFunc(l.disruptions, func(d disruption) bool {
		return d.strikes != nil && d.overlaps(r.sent, r.done) && d.strikes(r.entry)
	})
}

// judgeShares checks that no organisation is starved while another one is served.
func (l *ledger) judgeShares(all []*request) {
	type slot struct {
		window int64
		key    string
	}
	sent, served, most := map[slot]int{}, map[slot]int{}, map[int64]int{}
	for _, r := range all {
		if r.kind.service != serviceModels || r.cancelled {
			continue
		}
		at := slot{r.sent.UnixNano() / int64(shareWindow), r.Key}
		sent[at]++
		if r.result.Complete {
			served[at]++
			most[at.window] = max(most[at.window], served[at])
		}
	}
	for at, n := range sent {
		if n >= shareLeast && served[at] == 0 && most[at.window] >= shareLeast {
			l.breachLocked("no organisation is starved", "", "%s got none of %d generations within %v, another one got %d",
				at.key, n, shareWindow, most[at.window])
		}
	}
}

// watchMemory checks the memory of instances until one exceeds its limit or it is stopped.
func (w *world) watchMemory(stop <-chan struct{}) {
	ticker := time.NewTicker(memoryLook)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for _, i := range w.d.instances() {
			peak, err := i.peakMemory()
			if err != nil {
				w.d.ledger.breach("the soak works", "", "memory of %s: %v", i.Name, err)
				return
			}
			if peak > memoryMB<<20 {
				w.d.ledger.breach("memory stays within its limit", "", "%s used %d MB of %d", i.Name, peak>>20, memoryMB)
				return
			}
		}
	}
}

// checkNothingIsLeft checks that no endpoint runs and no instance holds anything once all
// callers have gone. An endpoint that hangs may not learn that its caller has gone if its
// connection carries nothing any more.
func (w *world) checkNothingIsLeft() {
	l := w.d.ledger
	l.mu.Lock()
	hung := l.excused(time.Time{}, time.Now(), "an endpoint hangs")
	l.mu.Unlock()
	if !hung && !until(func() bool { return w.d.fleet.Executing() == 0 }) {
		l.breach("no run is left over", "", "endpoints still execute %d requests", w.d.fleet.Executing())
	}
	for _, i := range w.d.entries {
		var left []string
		if !until(func() bool { left = held(i); return len(left) == 0 }) {
			l.breach("nothing is held for nobody", "", "%s has %s", i.Name, strings.Join(left, ", "))
		}
	}
}

// held returns the metrics of an instance that say that it holds something for requests, or the
// error that hides them.
func held(i *instance) (left []string) {
	resp, err := checks.Get("http://" + i.at(portMetrics).String() + "/metrics")
	if err != nil {
		return []string{err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return []string{resp.Status}
	}
	return heldIn(resp.Body)
}

// heldIn does the same for the text of the metrics. A required metric that is missing counts as
// held: without it, nothing shows that the instance holds nothing.
func heldIn(text io.Reader) (left []string) {
	present := map[string]bool{}
	lines := bufio.NewScanner(text)
	for lines.Scan() {
		name, text, _ := strings.Cut(lines.Text(), " ")
		family, _, _ := strings.Cut(name, "{")
		present[family] = true
		empty := slices.Contains(leftGauges, family) || name == callerHeaderGauge
		if value, err := strconv.ParseFloat(text, 64); empty && (err != nil || value != 0) {
			left = append(left, lines.Text())
		}
	}
	if err := lines.Err(); err != nil {
		return []string{err.Error()}
	}
	for _, family := range requiredGauges {
		if !present[family] {
			left = append(left, "no metric "+family)
		}
	}
	return left
}
