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

// Versions are named every three seconds, faster than all engines can load. An
// engine that stays at the first would be outdated only since the last naming,
// and callers would get answers made with weights replaced long before.
func TestAnEngineIsOutdatedSinceTheFirstNewerVersion(t *testing.T) {
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

// An instance hears of the newest version first, and of an older one later from
// a control instance that knows when it was named.
func TestNamingsComeInAnyOrder(t *testing.T) {
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

// Hundreds of versions are named over a year. What is dropped of them must not
// give an engine that is far behind more time.
func TestDroppedNamingsStillCount(t *testing.T) {
	var h History
	for v := range uint64(100) {
		record(&h, v+1, tables.Instant(v)*time.Second)
	}
	assert.Equal(t, len(h.NewerThan("m", 0)), maxVersions)
	since, _ := h.OutdatedSince("m", 0)
	assert.Equal(t, since, time.Duration(0))
}
