// Package prefix cuts prompts into pieces and names each piece by a hash over
// everything before it, so that equal hashes mean equal prefixes within one
// cache scope.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// BytesPerToken estimates tokens from the length of a text.
	BytesPerToken = 4
	// BlockTokens is the size of the pieces in which engines hold their cache.
	BlockTokens = 4000
	// BlockBytes is PieceTokens in bytes of text.
	BlockBytes = BlockTokens * BytesPerToken
)

// Scope is what cache entries may be shared within. A difference in any field
// gives different hashes for equal text. The boot identity of the endpoint is
// kept beside the hash, not in it.
type Scope struct {
	Organisation tables.OrganisationID
	Model        tables.ModelName
	Adapter      tables.AdapterName
	Weights      tables.WeightsVersion
}

// RootHash is the hash that the first piece of the scope is chained to. Fields are
// separated by a byte that identifiers cannot hold, so that two scopes cannot
// run together into one text.
func (s Scope) RootHash() tables.BlockHash {
	var d xxhash.Digest
	d.Reset()
	for _, field := range []string{string(s.Organisation), string(s.Model), string(s.Adapter), string(s.Weights)} {
		_, _ = d.WriteString(field)
		_, _ = d.Write([]byte{0})
	}
	return tables.BlockHash(d.Sum64())
}

// ChainHash chains one piece of text to the hash before it.
func ChainHash(before tables.BlockHash, piece string) tables.BlockHash {
	var d xxhash.Digest
	d.Reset()
	var head [8]byte
	binary.LittleEndian.PutUint64(head[:], uint64(before))
	_, _ = d.Write(head[:])
	_, _ = d.WriteString(piece)
	return tables.BlockHash(d.Sum64())
}

// BlockHashes appends to dst the hashes of all full pieces of text.
func BlockHashes(dst []tables.BlockHash, root tables.BlockHash, text string) []tables.BlockHash {
	hash := root
	for len(text) >= BlockBytes {
		hash = ChainHash(hash, text[:BlockBytes])
		dst = append(dst, hash)
		text = text[BlockBytes:]
	}
	return dst
}

// EstimateTokens estimates the tokens of a text of n bytes.
func EstimateTokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }
