package quarantine

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// Guards against an instance that compares all suspected parts with each report, and has no processor time left for its requests.
func TestPartsAreComparedAtMostTenTimesASecond(t *testing.T) {
	d := New(Options{})
	scans := map[tables.Instant]bool{}
	for n := range 1000 {
		now := tables.Instant(time.Minute + time.Duration(n)*time.Millisecond)
		d.Merge(now, Suspect{Part: 1, Fingerprint: tables.Fingerprint(n + 1), Incarnation: Incarnation{Endpoint: tables.EndpointID(strconv.Itoa(n))}, Proven: true})
		d.Verdict(now, Work{Request: 1, Parts: []Part{1}})
		scans[d.partsScannedAt] = true
	}
	assert.Assert(t, len(scans) >= 9 && len(scans) <= 11, "%d scans", len(scans))
}
