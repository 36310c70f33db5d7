package parts

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against requests not finding a part that an engine reports as cached, because the
// report yields another key than the request.
func TestEngineReportYieldsRequestKey(t *testing.T) {
	for _, scope := range []string{"", "org", "a/b"} {
		key, ok := ParseKey(Salt(12, scope), "m", "5c1e07a2")
		assert.Assert(t, ok)
		assert.Equal(t, key, NewID("m", scope, "5c1e07a2").KeyAt(12))
	}
}

// Guards against one key for parts of different weights, isolated organisations or models: a
// response computed from the wrong part would be wrong.
func TestKeysDifferByVersionScopeAndModel(t *testing.T) {
	keys := map[Key]bool{}
	for _, version := range []uint64{1, 2} {
		for _, scope := range []string{"", "a", "b"} {
			for _, model := range []string{"m", "n"} {
				keys[NewID(model, scope, "1").KeyAt(version)] = true
			}
		}
	}
	assert.Equal(t, len(keys), 12)
}

// Guards against taking cache entries of other systems for ones of this system.
func TestParseKeyRejectsForeignSalts(t *testing.T) {
	for _, salt := range []string{"", "w", "w1", "x1/", "w/a", "wx/a", "1/a"} {
		_, ok := ParseKey(salt, "m", "1")
		assert.Assert(t, !ok, salt)
	}
}
