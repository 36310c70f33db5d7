package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/tables"
)

// Guards against requests that expect weights which their endpoint has lost: it rejects them all.
func TestWeightsThatTheTableLowersAreLowered(t *testing.T) {
	d, all := newTestDispatcher(1)
	show := func(version uint64) {
		e := all["e0"].Clone()
		e.Weights["m"] = version
		d.SetEndpoints(map[tables.EndpointID]fleet.Endpoint{"e0": e})
	}
	show(2)
	place := func() *Attempt {
		attempt := mustPlace(t, d, time.Second, newTestRequest(7))
		d.RecordResponseStart(time.Second, attempt)
		return attempt
	}
	d.RecordServedVersion(place(), "m", 3)
	assert.Equal(t, place().WeightsVersion, uint64(3))
	show(3)
	show(2)
	assert.Equal(t, place().WeightsVersion, uint64(2))
}
