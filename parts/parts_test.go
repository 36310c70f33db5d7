package parts

import (
	"testing"

	"gotest.tools/v3/assert"
)

// What an engine says that it keeps must be found by the requests that made it.
func TestAnEnginesWordLeadsToTheRequestsKey(t *testing.T) {
	for _, scope := range []string{"", "org", "a/b"} {
		key, ok := ParseKey(Salt(12, scope), "m", "5c1e07a2")
		assert.Assert(t, ok)
		assert.Equal(t, key, NewID("m", scope, "5c1e07a2").KeyAt(12))
	}
}

// Parts of other weights, of another organisation's wall or of another model
// are not the same part: an answer made from them would be wrong.
func TestKeysKeepApart(t *testing.T) {
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

func TestOtherSaltsAreNotOurs(t *testing.T) {
	for _, salt := range []string{"", "w", "w1", "x1/", "w/a", "wx/a", "1/a"} {
		_, ok := ParseKey(salt, "m", "1")
		assert.Assert(t, !ok, salt)
	}
}
