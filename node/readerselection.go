package node

import (
	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// readerCandidate is an entry instance with its hash for rendezvous hashing.
type readerCandidate struct {
	instance tables.InstanceID
	hash     uint64
}

// readerSelector assigns each endpoint to the entry instance that reads its cache events, by
// rendezvous hashing. When an instance joins or leaves, only the endpoints that it gains or
// loses move.
type readerSelector struct {
	all    []readerCandidate
	byZone map[tables.Zone][]readerCandidate
}

// newReaderSelector returns a selector over the given entry instances.
func newReaderSelector(entries []membership.Member) *readerSelector {
	r := &readerSelector{byZone: map[tables.Zone][]readerCandidate{}}
	for _, m := range entries {
		candidate := readerCandidate{instance: m.Instance, hash: xxhash.Sum64String(string(m.Instance))}
		r.all = append(r.all, candidate)
		r.byZone[m.Zone] = append(r.byZone[m.Zone], candidate)
	}
	return r
}

// hasZone reports whether a zone has entry instances.
func (r *readerSelector) hasZone(zone tables.Zone) bool { return len(r.byZone[zone]) > 0 }

// readerOf returns the instance that reads an endpoint: the one with the highest hash of both
// among those in the endpoint's zone, or among all if the zone has none. It is empty if there
// is no instance.
func (r *readerSelector) readerOf(id tables.EndpointID, zone tables.Zone) tables.InstanceID {
	candidates := r.byZone[zone]
	if len(candidates) == 0 {
		candidates = r.all
	}
	hash := xxhash.Sum64String(string(id))
	var reader tables.InstanceID
	var bestScore uint64
	for _, candidate := range candidates {
		if score := placement.Mix64(hash ^ candidate.hash); reader == "" || score > bestScore {
			reader, bestScore = candidate.instance, score
		}
	}
	return reader
}
