// Package prefix hashes prompts for prefix caching. It splits a prompt into
// blocks of fixed size and chains their hashes: each hash covers the block and
// everything before it, as in the block hashes of a paged KV cache. Equal
// hashes therefore mean equal prefixes within one cache scope.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// BytesPerToken is the number of bytes of text assumed per token.
	BytesPerToken = 4
	// BlockTokens is the size, in tokens, of the blocks in which engines cache
	// prompts.
	BlockTokens = 4000
	// BlockBytes is BlockTokens converted to bytes of text.
	BlockBytes = BlockTokens * BytesPerToken
)

// Scope is the boundary within which cache entries may be shared. Scopes that
// differ in any field give different hashes for equal text. The boot ID of an
// endpoint is not part of the hash; it is stored beside it.
type Scope struct {
	Organisation tables.OrganisationID
	Model        tables.ModelName
	Adapter      tables.AdapterName
	Weights      tables.WeightsVersion
}

// RootHash returns the hash that the first block of the scope chains to. A zero
// byte, which identifiers cannot contain, separates the fields, so that two
// scopes cannot concatenate to the same text.
func (s Scope) RootHash() tables.BlockHash {
	var d xxhash.Digest
	d.Reset()
	for _, field := range []string{string(s.Organisation), string(s.Model), string(s.Adapter), string(s.Weights)} {
		_, _ = d.WriteString(field)
		_, _ = d.Write([]byte{0})
	}
	return tables.BlockHash(d.Sum64())
}

// ChainHash returns the hash of a block of text chained to the hash of
// everything before it.
func ChainHash(parent tables.BlockHash, block string) tables.BlockHash {
	var d xxhash.Digest
	d.Reset()
	var parentBytes [8]byte
	binary.LittleEndian.PutUint64(parentBytes[:], uint64(parent))
	_, _ = d.Write(parentBytes[:])
	_, _ = d.WriteString(block)
	return tables.BlockHash(d.Sum64())
}

// BlockHashes appends the chained hashes of all full blocks of text to dst. A
// partial block at the end has no hash.
func BlockHashes(dst []tables.BlockHash, root tables.BlockHash, text string) []tables.BlockHash {
	hash := root
	for len(text) >= BlockBytes {
		hash = ChainHash(hash, text[:BlockBytes])
		dst = append(dst, hash)
		text = text[BlockBytes:]
	}
	return dst
}

// EstimateTokens estimates the number of tokens in a text of n bytes, rounded
// up.
func EstimateTokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }
