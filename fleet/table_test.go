package fleet

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an entry that has the identity of another endpoint and takes its place.
func TestEntryWithAKnownIdentityDoesNotReplaceItsEndpoint(t *testing.T) {
	known := Endpoint{ID: "e", Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:80"), StartUnixMilli: 7, Weights: map[string]uint64{"m": 1}}
	odd := known.Clone()
	odd.Address, odd.Weights["m"] = netip.MustParseAddrPort("127.0.0.2:80"), 99
	restarted := known.Clone()
	restarted.StartUnixMilli = 9
	table := NewTable(1)
	table.ApplyList([]Endpoint{known})
	for _, listed := range [][]Endpoint{{known, odd}, {odd, known}, {odd, known, odd}} {
		table.ApplyList(listed)
		assert.Assert(t, isOnly(table, known))
		assert.Equal(t, table.Version(), uint64(1))
	}
	table.ApplyList([]Endpoint{restarted})
	assert.Assert(t, isOnly(table, restarted))
}

func isOnly(table *Table, e Endpoint) bool {
	all := table.Endpoints()
	return len(all) == 1 && all[0].Equal(&e)
}
