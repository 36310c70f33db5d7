package standin

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	letters    = "abcdefghijklmnopqrstuvwxyz"
	wordLength = 4
)

// Text is the answer that every stand-in engine gives to a prompt under given
// weights. Token i depends on nothing but the text's seed and i, so that an
// answer that was resumed elsewhere can be checked token by token.
type Text struct{ seed uint64 }

// NewText returns the answer to a prompt.
func NewText(model tables.ModelName, adapter tables.AdapterName, weights tables.WeightsVersion, prompt string) Text {
	var d xxhash.Digest
	d.Reset()
	for _, part := range []string{string(model), string(adapter), string(weights), prompt} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return Text{seed: d.Sum64()}
}

// Token returns the token at an index.
func (t Text) Token(index int) string {
	var head [16]byte
	binary.LittleEndian.PutUint64(head[:8], t.seed)
	binary.LittleEndian.PutUint64(head[8:], uint64(index))
	hash := xxhash.Sum64(head[:])
	word := [wordLength + 1]byte{0: ' '}
	for i := range wordLength {
		word[i+1] = letters[hash%uint64(len(letters))]
		hash /= uint64(len(letters))
	}
	return string(word[:])
}

// First returns the first n tokens as one text.
func (t Text) First(n int) string {
	var b strings.Builder
	b.Grow(n * (wordLength + 1))
	for i := range n {
		b.WriteString(t.Token(i))
	}
	return b.String()
}
