// Package homes assigns a home endpoint to every prefix by weighted rendezvous
// hashing. Instances thus agree on the home of a prefix without knowledge of
// each other's placements, and a restarted instance agrees immediately. The
// hash is evaluated once per slot of a lookup table: each slot belongs to the
// member with the highest score, so that a member that joins or leaves moves
// only its own slots.
package homes

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/systems/placement/rendezvous"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// minSlots and maxSlots bound the size of the table. Sizes are powers of two,
	// so that a bit mask selects the slot.
	minSlots = 1024
	maxSlots = 4096
	// slotsPerMember is large enough for the numbers of slots to be nearly
	// proportional to the weights.
	slotsPerMember = 32
)

// Member is an endpoint that can be the home of prefixes.
type Member struct {
	// ID seeds the member's hash, so it must be the same at all instances.
	ID tables.EndpointID
	// Index is the member's index at this instance, which Home returns.
	Index tables.EndpointIndex
	// Weight is the relative number of slots of the member, above 0. All
	// instances must use the same weight, so it comes from the configuration and
	// not from measurements.
	Weight float64
}

// Table is a rendezvous hashing lookup table from prefixes to members. It is
// immutable.
type Table struct {
	slots   []tables.EndpointIndex
	members []Member
}

// New builds a table. The cost is proportional to slots times members.
func New(members []Member) *Table {
	size := minSlots
	for size < maxSlots && size < len(members)*slotsPerMember {
		size *= 2
	}
	t := &Table{slots: make([]tables.EndpointIndex, size), members: append([]Member(nil), members...)}
	best := make([]float64, size)
	for i := range t.slots {
		t.slots[i] = tables.NoEndpoint
		best[i] = math.Inf(-1)
	}
	for _, m := range members {
		t.claimSlots(m, best)
	}
	return t
}

// claimSlots assigns to the member all slots where its score is the highest so
// far.
func (t *Table) claimSlots(m Member, best []float64) {
	seed := xxhash.Sum64String(string(m.ID))
	for slot := range t.slots {
		score := rendezvous.Score(placement.Mix64(seed+uint64(slot)*0x9e3779b97f4a7c15), m.Weight)
		if score > best[slot] {
			best[slot] = score
			t.slots[slot] = m.Index
		}
	}
}

// Home returns the member of the given rank for a prefix. Rank 0 is the home of
// the prefix, rank 1 the first overflow target, and so on. Two ranks may give
// the same member. Home returns tables.NoEndpoint if the table has no members.
func (t *Table) Home(hash tables.BlockHash, rank int) tables.EndpointIndex {
	mixed := placement.Mix64(uint64(hash) + uint64(rank)*0xd1342543de82ef95)
	return t.slots[mixed&uint64(len(t.slots)-1)]
}

// HasMembers reports whether the table was built from exactly these members, in
// this order.
func (t *Table) HasMembers(members []Member) bool {
	if len(members) != len(t.members) {
		return false
	}
	for i := range members {
		if members[i] != t.members[i] {
			return false
		}
	}
	return true
}
