package prefix

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

func TestBlocksAreNestedAndScoped(t *testing.T) {
	scope := Scope{Organisation: "a", Model: "m", Weights: "v1"}
	style := strings.Repeat("s", PieceBytes)
	short := Blocks(nil, scope.Root(), style+"tail")
	long := Blocks(nil, scope.Root(), style+strings.Repeat("d", PieceBytes))
	assert.Equal(t, len(short), 1)
	assert.Equal(t, len(long), 2)
	assert.Equal(t, short[0], long[0])

	for _, other := range []Scope{
		{Organisation: "b", Model: "m", Weights: "v1"},
		{Organisation: "a", Model: "m", Weights: "v2"},
		{Organisation: "a", Model: "m", Adapter: "x", Weights: "v1"},
		{Organisation: "am", Weights: "v1"},
	} {
		got := Blocks([]tables.BlockHash(nil), other.Root(), style)
		assert.Assert(t, got[0] != short[0], "scope %+v shares a hash", other)
	}
}
