package datagram

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// entriesOfSizes returns 59 instances whose sizes alternate.
func entriesOfSizes(sizes ...int) []membership.EntryInstance {
	var all []membership.EntryInstance
	for i := range 59 {
		all = append(all, membership.EntryInstance{Instance: tables.InstanceID(fmt.Sprintf("i%d", i)), Size: sizes[i%len(sizes)], Weight: sizes[i%len(sizes)]})
	}
	return all
}

func none(tables.InstanceID) bool { return false }

// Guards against owners that change for all limits when sizes are switched on in a deployment of
// equal instances. The table holds the choices made before sizes counted.
func TestEqualSizesChooseAsBefore(t *testing.T) {
	want := []string{"i16", "i58", "i52", "i47", "i8", "i48", "i19", "i7", "i51", "i9", "i18", "i53"}
	for _, size := range []int{0, 1, 48, 1 << 31} {
		for i, id := range want {
			for _, choose := range []func(uint64, []membership.EntryInstance, func(tables.InstanceID) bool) (membership.EntryInstance, bool){PickRendezvous, PickWeighted, PickBySize} {
				got, found := choose(uint64(i+1), entriesOfSizes(size), none)
				assert.Assert(t, found)
				assert.Equal(t, string(got.Instance), id, "size %d", size)
			}
		}
	}
}

// Guards against small instances that own as many limits as large ones, and against limits that
// move between two instances that stay.
func TestOwnersAreInProportionToSize(t *testing.T) {
	const keys = 200_000
	entries := entriesOfSizes(14, 48)
	total := 0
	for _, e := range entries {
		total += e.Weight
	}
	owned := map[tables.InstanceID]int{}
	moved := 0
	for key := range uint64(keys) {
		before, _ := PickWeighted(key, entries, none)
		owned[before.Instance]++
		after, _ := PickWeighted(key, entries[1:], none)
		if after.Instance != before.Instance {
			moved++
			assert.Equal(t, before.Instance, entries[0].Instance)
		}
	}
	for _, e := range entries {
		want := float64(keys) * float64(e.Size) / float64(total)
		got := float64(owned[e.Instance])
		assert.Assert(t, got > 0.8*want && got < 1.2*want, "%s of size %d owns %v, want %.0f", e.Instance, e.Size, got, want)
	}
	assert.Equal(t, moved, owned[entries[0].Instance])
}
