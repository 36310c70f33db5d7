package prefix

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

func TestBlockHashesAreChainedAndScoped(t *testing.T) {
	scope := Scope{Organisation: "a", Model: "m", Weights: "v1"}
	style := strings.Repeat("s", BlockBytes)
	short := BlockHashes(nil, scope.RootHash(), style+"tail")
	long := BlockHashes(nil, scope.RootHash(), style+strings.Repeat("d", BlockBytes))
	assert.Equal(t, len(short), 1)
	assert.Equal(t, len(long), 2)
	assert.Equal(t, short[0], long[0])

	for _, other := range []Scope{
		{Organisation: "b", Model: "m", Weights: "v1"},
		{Organisation: "a", Model: "m", Weights: "v2"},
		{Organisation: "a", Model: "m", Adapter: "x", Weights: "v1"},
		{Organisation: "am", Weights: "v1"},
	} {
		got := BlockHashes([]tables.BlockHash(nil), other.RootHash(), style)
		assert.Assert(t, got[0] != short[0], "scope %+v shares a hash", other)
	}
}
