package node

import (
	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// readerCandidate is an entry instance with the hash that its draws are made of.
type readerCandidate struct {
	instance tables.InstanceID
	hash     uint64
}

// readerSelector are the entry instances that may read what endpoints keep.
type readerSelector struct {
	all    []readerCandidate
	byZone map[tables.Zone][]readerCandidate
}

func newReaderSelector(entries []membership.Member) *readerSelector {
	r := &readerSelector{byZone: map[tables.Zone][]readerCandidate{}}
	for _, m := range entries {
		one := readerCandidate{instance: m.Instance, hash: xxhash.Sum64String(string(m.Instance))}
		r.all = append(r.all, one)
		r.byZone[m.Zone] = append(r.byZone[m.Zone], one)
	}
	return r
}

// hasZone says whether a zone has readers of its own.
func (r *readerSelector) hasZone(zone tables.Zone) bool { return len(r.byZone[zone]) > 0 }

// readerOf picks the instance that reads an endpoint: readerOf those in its zone, or readerOf all
// where the zone has none, the one with the highest draw readerOf a hash over both. It is
// empty if there is no instance.
func (r *readerSelector) readerOf(id tables.EndpointID, zone tables.Zone) tables.InstanceID {
	candidates := r.byZone[zone]
	if len(candidates) == 0 {
		candidates = r.all
	}
	hash := xxhash.Sum64String(string(id))
	var picked tables.InstanceID
	var best uint64
	for _, one := range candidates {
		if draw := placement.Mix(hash ^ one.hash); picked == "" || draw > best {
			picked, best = one.instance, draw
		}
	}
	return picked
}
