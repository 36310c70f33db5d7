package quarantine

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// massFailureWindow is the time within which at least massFailureCrashes crashes count as one
	// failure of something that the endpoints share, such as their power.
	massFailureWindow  = 500 * time.Millisecond
	massFailureCrashes = 8
	// massFailureShare is the inverse of the share of these crashes at which a part must have been
	// in question to be a possible cause.
	massFailureShare = 2
	// maxEndpointCrashes bounds the crashes that are remembered. The oldest is dropped first.
	maxEndpointCrashes = 1024
)

// endpointCrashes holds the latest crashes of endpoint processes, whatever was running there, ordered by
// time.
type endpointCrashes []crash

// between returns the crashes from one time to another, both included.
func (c endpointCrashes) between(from, to tables.Instant) endpointCrashes {
	first := sort.Search(len(c), func(n int) bool { return c[n].at >= from })
	end := sort.Search(len(c), func(n int) bool { return c[n].at > to })
	return c[first:end]
}

// add adds a crash unless it is known.
func (c *endpointCrashes) add(added crash) {
	if slices.ContainsFunc(*c, func(known crash) bool { return known.isSame(&added) }) {
		return
	}
	place, _ := slices.BinarySearchFunc(*c, added.at, func(known crash, at tables.Instant) int { return cmp.Compare(known.at, at) })
	*c = slices.Insert(*c, place, added)
	if len(*c) > maxEndpointCrashes {
		*c = slices.Delete(*c, 0, 1)
	}
}

// isMassFailure reports whether a crash is one of many at the same time, at most of which the part
// of the record was not in question.
func (d *Detector) isMassFailure(r *partRecord, c *crash) bool {
	from, to := c.at-massFailureWindow/2, c.at+massFailureWindow/2
	all := len(d.endpointCrashes.between(from, to))
	if all < massFailureCrashes {
		return false
	}
	own := 0
	for _, crash := range r.crashes {
		if crash.at >= from && crash.at <= to {
			own++
		}
	}
	return own*massFailureShare < all
}
