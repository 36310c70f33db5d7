package node

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// Guards against engines that change their readers when sizes are switched on in a deployment of
// equal instances. The table holds the choices made before sizes counted.
func TestEqualSizesReadAsBefore(t *testing.T) {
	all := entryMembers(59, "a")
	var weights readerWeights
	weights.observe(0, all)
	for i, reader := range []int{40, 24, 1, 56, 32, 37, 36, 58, 29, 33, 33, 27} {
		id, want := tables.EndpointID(fmt.Sprintf("e%d", i)), tables.InstanceID(fmt.Sprintf("a-%d", reader))
		assert.Equal(t, newReaderSelector(all).readerOf(id, "a"), want)
		assert.Equal(t, newWeightedReaderSelector(all, weights.weight).readerOf(id, "a"), want)
	}
}

// Guards against small instances that read as many engines as large ones.
func TestReadersAreInProportionToSize(t *testing.T) {
	const endpoints, total = 100_000, 30*14 + 29*48
	all, count := entryMembers(59, "a"), map[tables.InstanceID]float64{}
	for i := range all {
		all[i].Size = []int{14, 48}[i%2]
	}
	selector := newWeightedReaderSelector(all, (&readerWeights{}).weight)
	for i := range endpoints {
		count[selector.readerOf(tables.EndpointID(fmt.Sprintf("e%d", i)), "a")]++
	}
	for _, m := range all {
		want, got := float64(endpoints*m.Size)/total, count[m.Instance]
		assert.Assert(t, got > 0.8*want && got < 1.2*want, "%s of size %d reads %v, want %.0f", m.Instance, m.Size, got, want)
	}
}

// Guards against engines that change their readers with each short load, and against a loaded
// instance that keeps all of its engines.
func TestOnlyLongLoadReducesTheWeightOfAReader(t *testing.T) {
	var weights readerWeights
	member := membership.Member{InstanceInfo: membership.InstanceInfo{Instance: "i", Size: 48}}
	at := func(seconds int, loaded bool) int {
		member.Loaded = loaded
		weights.observe(time.Duration(seconds)*time.Second, []membership.Member{member})
		return weights.weight(&member)
	}
	assert.Equal(t, at(-1, false), 48)
	assert.Equal(t, at(0, true), 48)
	assert.Equal(t, at(4, true), 48)
	assert.Equal(t, at(5, true), 12)
	assert.Equal(t, at(6, false), 12)
	assert.Equal(t, at(12, true), 12)
	assert.Equal(t, at(13, false), 12)
	assert.Equal(t, at(22, false), 12)
	assert.Equal(t, at(23, false), 48)
}

// Guards against a new instance that takes long-loaded ones for readers of their whole size, so that
// some endpoints have no reader.
func TestWeightOfUnknownLoadedReaderIsReduced(t *testing.T) {
	var weights readerWeights
	loaded := membership.Member{InstanceInfo: membership.InstanceInfo{Instance: "i", Size: 48}}
	loaded.Loaded = true
	weights.observe(0, []membership.Member{loaded})
	assert.Equal(t, weights.weight(&loaded), 12)
}
