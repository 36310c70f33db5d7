package node

import (
	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/systems/placement/rendezvous"
	"github.com/carawaystile/carawaystile/tables"
)

// readerCandidate is an entry instance with its hash and weight for rendezvous hashing.
type readerCandidate struct {
	instance tables.InstanceID
	hash     uint64
	weight   int
}

// readerSelector assigns each endpoint to the entry instance that reads its cache events, by
// weighted rendezvous hashing. When an instance joins or leaves, only the endpoints that it
// gains or loses move.
type readerSelector struct {
	all    []readerCandidate
	byZone map[tables.Zone][]readerCandidate
	// weighted is set if the weights differ.
	weighted bool
}

// newReaderSelector returns a selector over the given entry instances, which have equal weights.
func newReaderSelector(entries []membership.Member) *readerSelector {
	return newWeightedReaderSelector(entries, func(*membership.Member) int { return 1 })
}

// newWeightedReaderSelector returns a selector over the given entry instances. weight returns
// their weights, above 0.
func newWeightedReaderSelector(entries []membership.Member, weight func(*membership.Member) int) *readerSelector {
	r := &readerSelector{byZone: map[tables.Zone][]readerCandidate{}}
	for _, m := range entries {
		candidate := readerCandidate{instance: m.Instance, hash: xxhash.Sum64String(string(m.Instance)), weight: weight(&m)}
		r.all = append(r.all, candidate)
		r.byZone[m.Zone] = append(r.byZone[m.Zone], candidate)
	}
	r.weighted = !rendezvous.EqualWeights(r.all, func(c *readerCandidate) int { return c.weight })
	return r
}

// hasZone reports whether a zone has entry instances.
func (r *readerSelector) hasZone(zone tables.Zone) bool { return len(r.byZone[zone]) > 0 }

// readerOf returns the instance that reads an endpoint: the one with the highest weighted score
// of both hashes among those in the endpoint's zone, or among all if the zone has none. It is
// empty if there is no instance.
func (r *readerSelector) readerOf(id tables.EndpointID, zone tables.Zone) tables.InstanceID {
	candidates := r.byZone[zone]
	if len(candidates) == 0 {
		candidates = r.all
	}
	hash := xxhash.Sum64String(string(id))
	choice := rendezvous.Choice{Weighted: r.weighted}
	for i := range candidates {
		choice.Offer(i, placement.Mix64(hash^candidates[i].hash), candidates[i].weight)
	}
	best := choice.Best()
	if best < 0 {
		return ""
	}
	return candidates[best].instance
}
