// Package parts derives the keys of prefix cache entries. A prompt consists of parts, and an
// engine caches the key-value state of each. The key of a part is a hash of the caller's
// hash of the part, the model, the scope within which the part may be shared, and the
// version of the weights that computed it. The placement of a request and the cache events
// of an engine yield the same key for the same part.
package parts

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/systems/placement"
)

// Key identifies a cached part that was computed with one version of the weights.
type Key uint64

// ID identifies a part regardless of the version of the weights.
type ID uint64

// SharedScope returns the scope of the organisations that share cached parts. The pool is that of the
// configuration.
func SharedScope(pool uint64) string { return strconv.FormatUint(pool, 36) }

// IsolatedScope returns the scope of an isolated organisation. It differs from all shared ones.
func IsolatedScope(organisation string) string { return "=" + organisation }

// NewID returns the ID of a model's part. The scope separates parts that must not be shared. The hash
// is the caller's for the part.
func NewID(model, scope, hash string) ID {
	var d xxhash.Digest
	d.Reset()
	for _, text := range []string{scope, model, hash} {
		_, _ = d.WriteString(text)
		_, _ = d.Write([]byte{0})
	}
	return ID(d.Sum64())
}

// String returns the ID in hexadecimal, as logs name it.
func (id ID) String() string { return strconv.FormatUint(uint64(id), 16) }

// KeyAt returns the key of the part when computed with the given version of the weights.
// Parts computed with another version must not be used.
func (id ID) KeyAt(version uint64) Key {
	return Key(placement.Mix64(uint64(id) ^ version*0x9e3779b97f4a7c15))
}

// saltPrefix starts each cache salt of this system.
const saltPrefix = "w"

// Salt returns the cache salt that separates the cached parts in an engine by weights
// version and scope. It includes the version because engines and stores don't report which
// version computed a part, and a response computed from parts of other weights would be
// wrong.
func Salt(version uint64, scope string) string {
	return saltPrefix + strconv.FormatUint(version, 10) + "/" + scope
}

// ParseKey returns the key of a part that an engine reports by cache salt and hash, and
// false if the salt is not one of this system's.
func ParseKey(salt, model, hash string) (Key, bool) {
	text, hasPrefix := strings.CutPrefix(salt, saltPrefix)
	number, scope, hasSeparator := strings.Cut(text, "/")
	version, err := strconv.ParseUint(number, 10, 64)
	if !hasPrefix || !hasSeparator || err != nil {
		return 0, false
	}
	return NewID(model, scope, hash).KeyAt(version), true
}
