package store

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/replog"
)

// FuzzRecord checks that a record that decodes is unchanged by another round of
// encoding and decoding.
func FuzzRecord(f *testing.F) {
	f.Add(appendRecord(nil, record{}))
	f.Add(appendRecord(nil, record{hardState: replog.HardState{Term: 9, Vote: 2, Commit: 4}, reset: true,
		entries: []replog.Entry{entry(3, 5), {Term: 4, Index: 6}}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		r, ok := decodeRecord(b)
		if !ok {
			return
		}
		again, ok := decodeRecord(appendRecord(nil, r))
		assert.Assert(t, ok)
		assert.DeepEqual(t, again.entries, r.entries)
		assert.Equal(t, again.hardState, r.hardState)
	})
}

// FuzzSegment checks that any file content is either read or rejected, that the
// valid part is valid on its own, and that only a last segment may be torn.
func FuzzSegment(f *testing.F) {
	whole := segmentContent(record{hardState: replog.HardState{Term: 2}}, record{entries: []replog.Entry{entry(2, 2)}})
	f.Add(whole, true)
	f.Add(whole[:len(whole)-5], true)
	f.Add(append(bytes.Clone(whole), make([]byte, 30)...), true)
	f.Add(whole[:3], false)
	f.Fuzz(func(t *testing.T, b []byte, last bool) {
		s, corruption := scanSegment(b, 1, last)
		if corruption != nil {
			assert.Assert(t, corruption.Offset <= int64(len(b)))
			return
		}
		assert.Assert(t, s.end <= len(b) && (last || !s.torn))
		if s.end == 0 {
			return
		}
		again, corruption := scanSegment(b[:s.end], 1, false)
		assert.Assert(t, corruption == nil)
		assert.Equal(t, len(again.records), len(s.records))
	})
}

func segmentContent(records ...record) []byte {
	l := &Log{seq: 1}
	b := encodeSegmentHeader(5)
	for _, r := range records {
		b = append(b, l.encodeFrame(r, 5, nil)...)
		l.seq++
	}
	return b
}

// FuzzSnapshot checks that a snapshot that decodes is unchanged by another
// round of encoding and decoding.
func FuzzSnapshot(f *testing.F) {
	f.Add(EncodeSnapshot(replog.Snapshot{}))
	f.Add(EncodeSnapshot(replog.Snapshot{Index: 300, Term: 7, Data: []byte("x"),
		Members: replog.Members{{Replica: 1, Address: "a:1"}, {Replica: 2, Learner: true}}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := DecodeSnapshot(b)
		if err != nil {
			return
		}
		again, err := DecodeSnapshot(EncodeSnapshot(s))
		assert.NilError(t, err)
		assert.DeepEqual(t, again, s)
	})
}

// FuzzAtomic checks that only content with a correct checksum is accepted.
func FuzzAtomic(f *testing.F) {
	f.Add(encodeAtomic([]byte("x")))
	f.Fuzz(func(t *testing.T, b []byte) {
		data, corruption := decodeAtomic(b)
		if corruption == nil {
			assert.DeepEqual(t, encodeAtomic(data), b)
		}
	})
}
