package soak

import (
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
// also over the requests that resume it.
func (l *ledger) judgeSoftware(all []*request) {
	runs := map[string][]platformtest.Run{}
	for _, r := range all {
		stream := r.ID
		if r.Resumes != "" {
			stream = r.Resumes
		}
		if r.kind.service == serviceModels {
			runs[stream] = append(runs[stream], r.runs...)
		}
	}
	for stream, of := range runs {
		slices.SortFunc(of, func(a, b platformtest.Run) int { return a.At.Compare(b.At) })
		var began platformtest.Run
		for _, run := range of {
			if run.After == 0 && !run.Continued {
				began = run
				continue
			}
			if run.Software != began.Software {
				l.breachLocked("a stream keeps its software version", stream, "began at %s (%s) and continues at %s (%s) after event %d",
					began.Endpoint, began.Software, run.Endpoint, run.Software, run.After)
			}
		}
	}
}
