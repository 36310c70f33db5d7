package weights

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

func record(h *History, version uint64, at tables.Instant) {
	h.Record(TargetVersion{Model: "m", Version: version, SetAt: at})
}

// Guards against the time outdated being counted from the newest version. With a new version
// every three seconds, faster than engines can load, an engine that stays at the first
// version would never have been outdated for longer than that, and callers would get answers
// from weights replaced long before.
func TestEngineIsOutdatedSinceFirstNewerVersion(t *testing.T) {
	var h History
	record(&h, 1, 0)
	record(&h, 2, 3*time.Second)
	record(&h, 3, 6*time.Second)
	since, outdated := h.OutdatedSince("m", 1)
	assert.Equal(t, since, 3*time.Second)
	assert.Assert(t, outdated)
	since, outdated = h.OutdatedSince("m", 2)
	assert.Equal(t, since, 6*time.Second)
	assert.Assert(t, outdated)
	_, outdated = h.OutdatedSince("m", 3)
	assert.Assert(t, !outdated)
	assert.Equal(t, h.Latest("m"), uint64(3))
}

// Guards against dependence on the order of arrival: an instance can receive the newest
// version first, and an older one later from a control instance that knows the time it was
// set.
func TestTargetVersionsArriveInAnyOrder(t *testing.T) {
	var h History
	record(&h, 4, 10*time.Second)
	record(&h, 3, 2*time.Second)
	record(&h, 4, 9*time.Second)
	record(&h, 2, 12*time.Second)
	since, _ := h.OutdatedSince("m", 1)
	assert.Equal(t, since, 2*time.Second)
	since, _ = h.OutdatedSince("m", 3)
	assert.Equal(t, since, 9*time.Second)
	assert.Equal(t, len(h.NewerThan("m", 2)), 2)
}

// Guards against dropped versions extending the grace period of an engine that is far
// behind. Hundreds of versions become the target over a year.
func TestDroppedVersionsStillCount(t *testing.T) {
	var h History
	for v := range uint64(100) {
		record(&h, v+1, tables.Instant(v)*time.Second)
	}
	assert.Equal(t, len(h.NewerThan("m", 0)), maxVersions)
	since, _ := h.OutdatedSince("m", 0)
	assert.Equal(t, since, time.Duration(0))
}
