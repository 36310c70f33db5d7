package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// countProbes returns how many requests are placed at the only endpoint while none is answered.
func countProbes(d *Dispatcher, from, until tables.Instant) (probes int) {
	for now := from; now < until; now += 50 * time.Millisecond {
		if a, _ := d.Place(now, requestWithoutParts()); a != nil {
			probes++
		}
	}
	return probes
}

// Guards against an endpoint that gets no request until the deadline of the one that it was silent to.
func TestSilentProbeDoesNotHoldTheEndpoint(t *testing.T) {
	for name, prepare := range map[string]func(*Dispatcher){
		"half-open": func(d *Dispatcher) { d.SetReachable(time.Second, "e0", true) },
		"pushed back": func(d *Dispatcher) {
			a := mustPlace(t, d, 0, requestWithoutParts())
			d.RecordPushback(0, a, time.Millisecond)
			d.RecordOutcome(0, a, Declined)
		},
	} {
		t.Run(name, func(t *testing.T) {
			d, _ := newTestDispatcher(1)
			prepare(d)
			assert.Equal(t, countProbes(d, time.Second, time.Second+probeTimeout), 1)
			answered, _ := d.Place(time.Second+probeTimeout, requestWithoutParts())
			assert.Assert(t, answered != nil, "the silent request holds the endpoint")
			d.RecordResponseStart(time.Second+probeTimeout, answered)
			mustPlace(t, d, time.Second+probeTimeout, requestWithoutParts())
			mustPlace(t, d, time.Second+probeTimeout, requestWithoutParts())
		})
	}
}

// Guards against an endpoint that stays silent and takes a request in each probeTimeout.
func TestEndpointThatStaysSilentTakesFewProbes(t *testing.T) {
	d, _ := newTestDispatcher(1)
	d.SetReachable(time.Second, "e0", true)
	probes := countProbes(d, time.Second, time.Second+16*probeTimeout)
	assert.Assert(t, probes <= 5, "%d requests", probes)
}
