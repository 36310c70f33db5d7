package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/tables"
)

// slowLinkRequest gives a request for a service whose links take a tenth of a millisecond for
// each token: 400 ms for all that others have of its prompt.
func slowLinkRequest(part uint64) *Request {
	r := newTestRequest(part)
	service := *models
	service.TransferTime = 100 * time.Microsecond
	r.Service = &service
	r.Route = &routes.Route{Target: 600 * time.Millisecond}
	return r
}

// A long prompt is being fetched to an engine. A request that fetches a little to the
// same engine waits behind it, and its caller for what would take no time elsewhere.
func TestAFetchWaitsForThoseBeforeIt(t *testing.T) {
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

// Two engines are alike but for their links, of which one is busy. Requests that fetch
// go to the other one.
func TestAFetchGoesWhereTheLinkIsFree(t *testing.T) {
	d, _ := newTestDispatcher(6) // e0, e2 and e4 stand in the own zone
	id := runRequest(t, d, time.Second, slowLinkRequest(7))
	d.endpoints[id].attempts = models.Slots // no room where the prompt is
	for _, busy := range []tables.EndpointID{"e0", "e2", "e4"} {
		if busy != id {
			d.ApplyLoadReport(2*time.Second, "other", LoadReport{Endpoint: busy, Running: 1, MemoryTokens: 1, LinkBusy: time.Second})
			break
		}
	}
	for i := range 20 {
		r := slowLinkRequest(7)
		a := mustPlace(t, d, 2*time.Second+time.Duration(i), r)
		assert.Assert(t, d.endpoints[a.Endpoint.ID].linkFreeAt < 3*time.Second, "request %d waits for a busy link", i)
		d.RecordOutcome(2*time.Second, a, Cancelled)
		a.row.linkFreeAt = 0
	}
}

// A prompt that is read for the first time goes to the store over its engine's link.
func TestSendingToAStoreHoldsTheLink(t *testing.T) {
	d, all := newTestDispatcher(1)
	store := all["e0"]
	store.ID, store.Store, store.Weights = "s", true, map[string]uint64{}
	all["s"] = store
	d.SetEndpoints(all)
	a := mustPlace(t, d, time.Second, slowLinkRequest(7))
	assert.Equal(t, a.HasCacheStore(), true)
	assert.Equal(t, a.row.linkBusyFor(time.Second), time.Duration(0))
	d.RecordResponseStart(2*time.Second, a)
	assert.Equal(t, a.row.linkBusyFor(2*time.Second), 500*time.Millisecond)
}
