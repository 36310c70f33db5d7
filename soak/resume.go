package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/carawaystile/carawaystile/platform/platformtest"
	"github.com/carawaystile/carawaystile/tables"
)

// maxResumptions is how often a caller resumes one stream.
const maxResumptions = 2

// softwareOf is the version of the software of an endpoint with a model. Two versions serve side
// by side all the time.
func softwareOf(id tables.EndpointID) string {
	var n int
	_, _ = fmt.Sscanf(string(id), "i-%d", &n)
	return fmt.Sprintf("v%d", 1+n%2)
}

// resume has the caller of a broken stream continue at another instance.
func (l *load) resume(rng *rand.Rand, first *request) {
	broken := first
	for n := range maxResumptions {
		r := &request{kind: first.kind, entry: l.balance(rng), ClientRequest: first.ClientRequest}
		r.ID = fmt.Sprintf("%s-%d", first.ID, n+1)
		r.Resumes, r.LastEvent = first.ID, broken.LastEvent+broken.result.Events
		ctx, cancel := context.WithTimeout(context.Background(), l.wait(r))
		client := newCaller()
		l.exchange(ctx, client, r, false)
		client.CloseIdleConnections()
		cancel()
		if r.result.Complete {
			return
		}
		broken = r
	}
}

// judgeSoftware checks that each stream has events of one version of an endpoint's software only,
// also over the requests that resume it. A run from the start may belong to an attempt that was given
// up, so the version is that of the caller's first event if there was one.
func (l *ledger) judgeSoftware(all []*request) {
	runs := map[string][]platformtest.Run{}
	origins := map[string]string{}
	for _, r := range all {
		stream := r.ID
		if r.Resumes != "" {
			stream = r.Resumes
		}
		if r.kind.service != serviceModels {
			continue
		}
		runs[stream] = append(runs[stream], r.runs...)
		origin, known := origins[stream]
		if r.result.Events > 0 && !known {
			origins[stream] = r.result.Software
		} else if r.result.Events > 0 && r.LastEvent > 0 && r.result.Software != origin {
			l.breachLocked("a stream keeps its software version", stream, "began at %s and is resumed at %s after event %d", origin, r.result.Software, r.LastEvent)
		}
	}
	for stream, of := range runs {
		l.judgeRunsSoftware(stream, origins[stream], of)
	}
}

// judgeRunsSoftware checks that the runs which continue a stream have its version; origin is empty if its
// caller got no event.
func (l *ledger) judgeRunsSoftware(stream, origin string, runs []platformtest.Run) {
	slices.SortFunc(runs, func(a, b platformtest.Run) int { return a.At.Compare(b.At) })
	var began platformtest.Run
	for _, run := range runs {
		if run.After == 0 && !run.Continued {
			began = run
			continue
		}
		if run.Software != cmp.Or(origin, began.Software) {
			l.breachLocked("a stream keeps its software version", stream, "began at %s (%s), brought its first event from %s, and continues at %s (%s) after event %d",
				began.Endpoint, began.Software, origin, run.Endpoint, run.Software, run.After)
		}
	}
}
