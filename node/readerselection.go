package node

import (
	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// reader is an entry instance with the hash that its draws are made of.
type reader struct {
	instance tables.InstanceID
	hash     uint64
}

// readers are the entry instances that may read what endpoints keep.
type readers struct {
	all    []reader
	byZone map[tables.Zone][]reader
}

func newReaders(entries []membership.Member) *readers {
	r := &readers{byZone: map[tables.Zone][]reader{}}
	for _, m := range entries {
		one := reader{instance: m.Instance, hash: xxhash.Sum64String(string(m.Instance))}
		r.all = append(r.all, one)
		r.byZone[m.Zone] = append(r.byZone[m.Zone], one)
	}
	return r
}

// in says whether a zone has readers of its own.
func (r *readers) in(zone tables.Zone) bool { return len(r.byZone[zone]) > 0 }

// of picks the instance that reads an endpoint: of those in its zone, or of all
// where the zone has none, the one with the highest draw of a hash over both. It is
// empty if there is no instance.
func (r *readers) of(id tables.EndpointID, zone tables.Zone) tables.InstanceID {
	candidates := r.byZone[zone]
	if len(candidates) == 0 {
		candidates = r.all
	}
	hash := xxhash.Sum64String(string(id))
	var picked tables.InstanceID
	var best uint64
	for _, one := range candidates {
		if draw := placement.Mix64(hash ^ one.hash); picked == "" || draw > best {
			picked, best = one.instance, draw
		}
	}
	return picked
}
