package state

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/rpc"
)

// maxPoolMembers bounds the members of a pool. Organisations that were removed stay members, so a pool
// that has grown to this size is replaced.
const maxPoolMembers = 1 << 17

// cachePool is the pool of cached prompts that organisations share. Its members are all organisations
// that any configuration since the pool's first one has let share it, since what their requests made
// may still be cached. An organisation that is isolated is therefore never a member: the
// configuration that isolates a member starts another pool.
type cachePool struct {
	// id is 0 if the members are not known; the next configuration then starts another pool.
	id      uint64
	members map[uint64]struct{}
}

// update returns the ID of the pool under a configuration, which follows those of earlier calls. A nil
// configuration leaves the pool as it is and has none.
func (p *cachePool) update(group, number uint64, configuration *rpc.CacheOrganisations) uint64 {
	if configuration == nil {
		return 0
	}
	if p.id == 0 || len(p.members) > maxPoolMembers || p.hasAny(configuration.GetIsolated()) {
		p.id, p.members = newPoolID(group, number), map[uint64]struct{}{}
	}
	for _, organisation := range configuration.GetSharing() {
		p.members[organisation] = struct{}{}
	}
	return p.id
}

func (p *cachePool) hasAny(organisations []uint64) bool {
	return slices.ContainsFunc(organisations, func(o uint64) bool {
		_, isMember := p.members[o]
		return isMember
	})
}

// newPoolID returns the ID of the pool that starts with a configuration. It differs between groups,
// because a new group may give the same numbers again.
func newPoolID(group, number uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], group)
	binary.LittleEndian.PutUint64(b[8:], number)
	return max(1, xxhash.Sum64(b[:]))
}

func (p *cachePool) save() *rpc.CachePool {
	if p.id == 0 {
		return nil
	}
	return &rpc.CachePool{Id: p.id, Members: slices.Sorted(maps.Keys(p.members))}
}

func (p *cachePool) restore(saved *rpc.CachePool) {
	*p = cachePool{id: saved.GetId(), members: map[uint64]struct{}{}}
	for _, organisation := range saved.GetMembers() {
		p.members[organisation] = struct{}{}
	}
}

// startPools gives each configuration of a snapshot a pool of its own, and forgets the members. What
// the organisations have shared since the snapshot was taken is not known.
func startPools(snapshot *rpc.Snapshot, group uint64) {
	snapshot.CachePool = nil
	for _, document := range snapshot.GetDocuments() {
		if document.GetCachePool() != 0 {
			document.CachePool = newPoolID(group, document.GetNumber())
		}
	}
}
