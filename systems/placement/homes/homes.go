// Package homes assigns every prefix to endpoints by hashing, so that
// instances agree where a prefix belongs without having heard of each other's
// placements, and a restarted instance agrees at once. The table is filled by
// weighted rendezvous hashing: of the members, each slot takes the one with
// the highest draw, so that a member that joins or leaves moves only its part.
package homes

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	minSlots = 1024
	maxSlots = 4096
	// slotsPerMember keeps the parts of members even.
	slotsPerMember = 32
)

// Member is an endpoint that prefixes can belong to.
type Member struct {
	ID    tables.EndpointID
	Index tables.EndpointIndex
	// Weight is the member's part against others, above 0. All instances must
	// use the same, so it comes from the configuration, not from measurement.
	Weight float64
}

// Table maps prefixes to members.
type Table struct {
	slots   []tables.EndpointIndex
	members []Member
}

// New fills a table for the members. It costs slots times members.
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
		t.enter(m, best)
	}
	return t
}

// enter gives the member the slots at which its draw is the highest so far.
func (t *Table) enter(m Member, best []float64) {
	seed := xxhash.Sum64String(string(m.ID))
	for slot := range t.slots {
		draw := draw(placement.Mix64(seed+uint64(slot)*0x9e3779b97f4a7c15), m.Weight)
		if draw > best[slot] {
			best[slot] = draw
			t.slots[slot] = m.Index
		}
	}
}

// draw is a weighted rendezvous score: the logarithm of a uniform number over
// the weight. A member's chance to have the highest is its part of all weights.
func draw(hash uint64, weight float64) float64 {
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return math.Log(uniform) / weight
}

// Home is the member of the given rank for a prefix: rank 0 is where it
// belongs first, rank 1 where it overflows to, and so on. Ranks may repeat a
// member. It returns tables.NoEndpoint while there are no members.
func (t *Table) Home(hash tables.BlockHash, rank int) tables.EndpointIndex {
	mixed := placement.Mix64(uint64(hash) + uint64(rank)*0xd1342543de82ef95)
	return t.slots[mixed&uint64(len(t.slots)-1)]
}

// HasMembers says whether the table was filled for exactly these members.
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
