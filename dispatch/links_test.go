package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/tables"
)

// slowLinkRequest returns a request for a service whose links take a tenth of a
// millisecond for each token: 400 ms for all shared parts of its prompt.
func slowLinkRequest(part uint64) *Request {
	r := newTestRequest(part)
	service := *models
	service.TransferTimePerToken = 100 * time.Microsecond
	r.Service = &service
	r.Route = &routes.Route{TargetLatency: 600 * time.Millisecond}
	return r
}

// Guards against ignoring that a small fetch waits behind the transfer of a long prompt
// to the same engine, while it would take no time elsewhere.
func TestTransfersOnALinkAreQueued(t *testing.T) {
	d, _ := newTestDispatcher(1)
	row := d.endpoints["e0"]
	r := slowLinkRequest(7)
	d.reserveLink(time.Second, row, 300)
	assert.Equal(t, row.linkBusyFor(time.Second), 300*time.Millisecond)
	assert.Equal(t, row.linkBusyFor(2*time.Second), time.Duration(0))
	d.reserveLink(time.Second, row, 200)
	assert.Equal(t, row.linkBusyFor(time.Second), 500*time.Millisecond)
	assert.Equal(t, r.transferTime(row, row), 0.1)
}

// Guards against fetching over a busy link while an equal engine has an idle one.
func TestFetchPrefersAnIdleLink(t *testing.T) {
	d, _ := newTestDispatcher(6) // e0, e2 and e4 are in the same zone as the dispatcher
	id := runRequest(t, d, time.Second, slowLinkRequest(7))
	d.endpoints[id].attempts = models.Slots // the endpoint that holds the prompt is at capacity
	for _, busy := range []tables.EndpointID{"e0", "e2", "e4"} {
		if busy != id {
			d.ApplyLoadReport(2*time.Second, "other", LoadReport{Endpoint: busy, Running: 1, MemoryTokens: 1, LinkBusy: time.Second})
			break
		}
	}
	for i := range 20 {
		r := slowLinkRequest(7)
		a := mustPlace(t, d, 2*time.Second+time.Duration(i), r)
		assert.Assert(t, d.endpoints[a.Endpoint.ID].linkFreeAt < 3*time.Second, "request %d was placed behind a busy link", i)
		d.RecordOutcome(2*time.Second, a, Cancelled)
		a.row.linkFreeAt = 0
	}
}

// Guards against ignoring that an engine copies a newly computed prompt to the store over
// its own link.
func TestCopyToAStoreOccupiesTheLink(t *testing.T) {
	d, all := newTestDispatcher(1)
	store := all["e0"]
	store.ID, store.IsKVStore, store.Weights = "s", true, map[string]uint64{}
	all["s"] = store
	d.SetEndpoints(all)
	a := mustPlace(t, d, time.Second, slowLinkRequest(7))
	assert.Equal(t, a.HasCacheStore(), true)
	assert.Equal(t, a.row.linkBusyFor(time.Second), time.Duration(0))
	d.RecordResponseStart(2*time.Second, a)
	assert.Equal(t, a.row.linkBusyFor(2*time.Second), 500*time.Millisecond)
}

// Guards against a link that counts as busy for ever longer, with the transfers of attempts that did not run.
func TestAttemptsThatDidNotRunOccupyNoLink(t *testing.T) {
	for _, outcome := range []Outcome{RateLimited, Declined, Misdirected, ConnectionRefused, ConnectTimeout, RelayUnavailable} {
		d, _ := newTestDispatcher(2)
		id := runRequest(t, d, time.Second, slowLinkRequest(7))
		d.endpoints[id].attempts = models.Slots // the endpoint that holds the prompt is at capacity
		running := mustPlace(t, d, 2*time.Second, slowLinkRequest(7))
		assert.Equal(t, running.CacheSource.ID, id)
		before := running.row.linkBusyFor(2 * time.Second)
		assert.Assert(t, before > 0)
		a := mustPlace(t, d, 2*time.Second, slowLinkRequest(7))
		assert.Assert(t, a.row == running.row && a.row.linkBusyFor(2*time.Second) > before)
		d.RecordOutcome(2*time.Second, a, outcome)
		d.RecordOutcome(2*time.Second, a, outcome)
		assert.Equal(t, running.row.linkBusyFor(2*time.Second), before, outcome.String())
		assert.Equal(t, running.row.ownLinkUse(2*time.Second), before)
	}
}
