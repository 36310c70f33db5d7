// Package weights records since when each version of a model's weights has been the target
// version that its engines should run.
package weights

import (
	"cmp"
	"slices"

	"github.com/carawaystile/carawaystile/tables"
)

// TargetVersion is a version of a model's weights, and when it became the target.
type TargetVersion struct {
	Model   string
	Version uint64
	SetAt   tables.Instant
}

// maxVersions limits the versions kept per model. An engine that is further behind counts as
// outdated since the oldest kept version.
const maxVersions = 32

// History records the target versions of each model. An engine is outdated since its next
// version became the target: an engine at version 1 is outdated since version 2 was set,
// however often newer ones follow. If the time counted from the newest version, each rollout
// would restart the grace period, and the engine would go on answering with weights that
// were replaced long ago. A History is for use by one goroutine at a time.
type History struct {
	// versions holds each model's target versions in ascending order. Their times
	// never decrease from one to the next.
	versions map[string][]TargetVersion
}

// Record adds a target version. If it is known already, the earlier of the two times counts.
func (h *History) Record(target TargetVersion) {
	if h.versions == nil {
		h.versions = map[string][]TargetVersion{}
	}
	known := h.versions[target.Model]
	at, found := findVersion(known, target.Version)
	if found {
		known[at].SetAt = min(known[at].SetAt, target.SetAt)
	} else {
		known = slices.Insert(known, at, target)
	}
	// A version cannot have become the target later than a newer one. Lowering its time
	// makes no difference to an engine that is behind both.
	for i := len(known) - 2; i >= 0; i-- {
		known[i].SetAt = min(known[i].SetAt, known[i+1].SetAt)
	}
	if len(known) > maxVersions {
		known[1].SetAt = known[0].SetAt
		known = known[1:]
	}
	h.versions[target.Model] = known
}

// Latest returns the newest target version of a model, or 0 if there is none.
func (h *History) Latest(model string) uint64 {
	known := h.versions[model]
	if len(known) == 0 {
		return 0
	}
	return known[len(known)-1].Version
}

// OutdatedSince returns when the first version newer than the given one became the target,
// and false if there is none.
func (h *History) OutdatedSince(model string, version uint64) (tables.Instant, bool) {
	newer := h.NewerThan(model, version)
	if len(newer) == 0 {
		return 0, false
	}
	return newer[0].SetAt, true
}

// NewerThan returns the target versions newer than the given one, oldest first. The caller
// must not modify the slice.
func (h *History) NewerThan(model string, version uint64) []TargetVersion {
	known := h.versions[model]
	at, _ := findVersion(known, version+1)
	return known[at:]
}

// findVersion returns the index of a version, or where to insert it, and whether it was
// found.
func findVersion(known []TargetVersion, version uint64) (int, bool) {
	return slices.BinarySearchFunc(known, version, func(target TargetVersion, version uint64) int {
		return cmp.Compare(target.Version, version)
	})
}
