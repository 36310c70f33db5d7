package engine

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/carawaystile/carawaystile/tables"
)

// plainChanges has no UnmarshalJSON, so that encoding/json decodes it by reflection.
type plainChanges CacheChanges

// The hand-written decoder must agree with encoding/json.
func TestCacheChangesDecodeLikeEncodingJSON(t *testing.T) {
	blocks := rapid.SliceOfN(rapid.Map(rapid.Uint64(), func(h uint64) tables.BlockHash { return tables.BlockHash(h) }), 1, 5)
	change := rapid.Custom(func(t *rapid.T) CacheChange {
		c := CacheChange{Sequence: rapid.Uint64().Draw(t, "sequence")}
		if rapid.Bool().Draw(t, "stores") {
			c.Stored = blocks.Draw(t, "stored")
		}
		if rapid.Bool().Draw(t, "evicts") {
			c.Evicted = blocks.Draw(t, "evicted")
		}
		return c
	})
	rapid.Check(t, func(t *rapid.T) {
		content, err := json.Marshal(CacheChanges{
			Boot: tables.BootID(rapid.String().Draw(t, "boot")), Changes: rapid.SliceOf(change).Draw(t, "changes"),
		})
		assert.NilError(t, err)
		var got CacheChanges
		var want plainChanges
		assert.NilError(t, json.Unmarshal(content, &got))
		assert.NilError(t, json.Unmarshal(content, &want))
		assert.DeepEqual(t, got, CacheChanges(want))
	})
}

// An endpoint sends something other than cache changes. The poller must get an error and
// not a partial list that it takes for complete.
func TestMalformedCacheChangesAreRejected(t *testing.T) {
	for _, text := range []string{
		`{"boot":1}`, `{"changes":{}}`, `{"changes":[{"sequence":-1}]}`, `{"changes":[{"stored":["x"]}]}`, `{"changes":[`,
	} {
		var got CacheChanges
		assert.Assert(t, json.Unmarshal([]byte(text), &got) != nil, text)
	}
}
