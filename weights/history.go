// Package weights keeps since when versions of models' weights are wanted.
package weights

import (
	"cmp"
	"slices"

	"github.com/carawaystile/carawaystile/tables"
)

// TargetVersion is a version of a model's weights and when it was named.
type TargetVersion struct {
	Model   string
	Version uint64
	SetAt   tables.Instant
}

// maxVersions bounds the versions that are remembered of a model. Engines that
// are further behind count as outdated since the oldest that is remembered.
const maxVersions = 32

// History holds the versions that were named. Each version is counted from its
// own naming: an engine at version 1 is outdated since version 2 was named,
// however often newer ones follow. Counted from the newest, it would get its
// whole time again with each, and answer with weights that were replaced long
// ago. A History is used by one goroutine at a time.
type History struct {
	// versions lists each model's namings by version, none of them later than one
	// with a higher version.
	versions map[string][]TargetVersion
}

// Record takes a naming. Told twice, a version counts from the earlier time.
func (h *History) Record(n TargetVersion) {
	if h.versions == nil {
		h.versions = map[string][]TargetVersion{}
	}
	known := h.versions[n.Model]
	at, found := findVersion(known, n.Version)
	if found {
		known[at].SetAt = min(known[at].SetAt, n.SetAt)
	} else {
		known = slices.Insert(known, at, n)
	}
	// An older version cannot have been named later than a newer one: to an
	// engine behind both, the later time makes no difference.
	for i := len(known) - 2; i >= 0; i-- {
		known[i].SetAt = min(known[i].SetAt, known[i+1].SetAt)
	}
	if len(known) > maxVersions {
		known[1].SetAt = known[0].SetAt
		known = known[1:]
	}
	h.versions[n.Model] = known
}

// Latest is the newest version of a model, 0 if none was named.
func (h *History) Latest(model string) uint64 {
	known := h.versions[model]
	if len(known) == 0 {
		return 0
	}
	return known[len(known)-1].Version
}

// OutdatedSince returns when the first version newer than the given one was
// named; false if there is none.
func (h *History) OutdatedSince(model string, version uint64) (tables.Instant, bool) {
	newer := h.NewerThan(model, version)
	if len(newer) == 0 {
		return 0, false
	}
	return newer[0].SetAt, true
}

// NewerThan lists the namings of versions newer than the given one, oldest first.
// The caller must not change it.
func (h *History) NewerThan(model string, version uint64) []TargetVersion {
	known := h.versions[model]
	at, _ := findVersion(known, version+1)
	return known[at:]
}

func findVersion(known []TargetVersion, version uint64) (int, bool) {
	return slices.BinarySearchFunc(known, version, func(n TargetVersion, version uint64) int {
		return cmp.Compare(n.Version, version)
	})
}
