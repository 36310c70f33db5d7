package dispatch

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/dialect"
	"github.com/carawaystile/carawaystile/routes"
)

// decisionsAtThreeValues plays 3,000 generations and plain calls at 12 endpoints of unlike
// speed, placed by two instances that exchange load reports, and returns a fingerprint of all
// decisions and reports. Load headers have three values.
func decisionsAtThreeValues(t *testing.T, check func(LoadReport)) uint64 {
	t.Helper()
	plain := &routes.Service{Name: "models"}
	var all [2]*Dispatcher
	for i := range all {
		all[i], _ = newTestDispatcher(12)
	}
	random, decisions := rand.New(rand.NewPCG(1, 2)), fnv.New64a()
	type running struct {
		by      *Dispatcher
		attempt *Attempt
		endsAt  time.Duration
	}
	var open []running
	now := time.Second
	for i := range 3000 {
		now += 4 * time.Millisecond
		var still []running
		for _, o := range open {
			if o.endsAt > now {
				still = append(still, o)
				continue
			}
			load, ok := dialect.ParseLoad(fmt.Sprintf("%d,%d,8", random.IntN(9), random.IntN(2)))
			assert.Assert(t, ok)
			o.by.RecordEndpointLoad(now, o.attempt, load)
			o.by.RecordResponseStart(now, o.attempt)
			o.by.RecordOutcome(now, o.attempt, Completed)
		}
		open = still
		d := all[i%2]
		r := newTestRequest(uint64(2 + random.IntN(40)))
		if i%3 == 0 {
			r = &Request{Service: plain, Route: &routes.Route{}, Deadline: time.Hour}
		}
		a, reason := d.Place(now, r)
		_, _ = fmt.Fprintln(decisions, reason)
		if a != nil {
			_, _ = fmt.Fprintln(decisions, a.Endpoint.ID, a.UncachedTokens, a.ExpectedLatency.Milliseconds())
			open = append(open, running{by: d, attempt: a, endsAt: now + a.ExpectedLatency*time.Duration(70+random.IntN(90))/100})
		}
		if i%5 == 0 {
			for _, l := range d.TakeLoadReports(now) {
				check(l)
				_, _ = fmt.Fprintln(decisions, l.Endpoint, l.Running, l.MemoryTokens, l.PrefillTokens, l.LinkBusy, l.AbsentFor)
				all[1-i%2].ApplyLoadReport(now, "other", l)
			}
		}
	}
	return decisions.Sum64()
}

// Guards against a change of decisions or reports in deployments whose load headers have three
// values. The fingerprint has the decisions of the code before slowdowns existed; a deliberate change
// of placement or reports changes it.
func TestThreeValueLoadsKeepDecisionsAndReports(t *testing.T) {
	const before = 12993990526007752200
	fingerprint := decisionsAtThreeValues(t, func(l LoadReport) {
		assert.Equal(t, l.SlowdownPercent, 0)
		assert.Equal(t, l.SlowdownAge, time.Duration(0))
	})
	assert.Equal(t, fingerprint, uint64(before))
}
