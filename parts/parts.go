// Package parts names the parts of prompts under which engines keep them: by
// the caller's name of the part, the model, whom the part may be shared with and
// the weights that it was made under. A request that is to be placed and what an
// engine says of its cache lead to the same key.
package parts

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/systems/placement"
)

// Key names a part under one weights version.
type Key uint64

// ID names a part whatever the weights.
type ID uint64

// NewID is the name of a model's part. The scope keeps those apart that must
// not share: the organisation of an isolated one, or empty.
func NewID(model, scope, hash string) ID {
	var d xxhash.Digest
	d.Reset()
	for _, text := range []string{scope, model, hash} {
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}
	return ID(d.Sum64())
}

// KeyAt is the key of a part that was made under a version: what was made under
// another one must not be used.
func (n ID) KeyAt(version uint64) Key {
	return Key(placement.Mix(uint64(n) ^ version*0x9e3779b97f4a7c15))
}

// saltPrefix begins the salts of this system.
const saltPrefix = "w"

// Salt is what keeps an engine's cached parts apart. The version is in it:
// engines and stores do not say under which version a part was made, and an
// answer from parts of other weights would be wrong.
func Salt(version uint64, scope string) string {
	return saltPrefix + strconv.FormatUint(version, 10) + "/" + scope
}

// ParseKey is the key of a part that an engine names; false if the salt is not one
// of this system's.
func ParseKey(salt, model, hash string) (Key, bool) {
	text, marked := strings.CutPrefix(salt, saltPrefix)
	number, scope, split := strings.Cut(text, "/")
	version, err := strconv.ParseUint(number, 10, 64)
	if !marked || !split || err != nil {
		return 0, false
	}
	return NewID(model, scope, hash).KeyAt(version), true
}
