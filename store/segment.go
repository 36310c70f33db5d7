package store

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"

	"github.com/carawaystile/carawaystile/replog"
)

const (
	segmentSuffix = ".seg"
	// sectorSize is what a disk writes as a whole.
	sectorSize = 512
)

// segment is one file of frames.
type segment struct {
	path string
	// first is the sequence number of the first frame; it is the file's name.
	first uint64
	// lastIndex is the highest index of any entry in it.
	lastIndex uint64
	salt      uint32
	size      int64
	frames    int
}

func segmentPath(dir string, first uint64) string {
	return filepath.Join(dir, fmt.Sprintf("%016x%s", first, segmentSuffix))
}

// listSegments returns the segment files in order.
func listSegments(dir string) ([]segment, error) {
	names, err := os.ReadDir(dir)
	if err != nil {
		return nil, failed(OpRead, dir, err)
	}
	var out []segment
	for _, n := range names {
		hex, ok := strings.CutSuffix(n.Name(), segmentSuffix)
		if !ok {
			continue
		}
		path := filepath.Join(dir, n.Name())
		first, err := strconv.ParseUint(hex, 16, 64)
		if err != nil {
			return nil, &CorruptionError{File: path, Reason: CorruptHeader}
		}
		out = append(out, segment{path: path, first: first})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].first < out[j].first })
	return out, nil
}

// scanned is what is valid in a segment's content.
type scanned struct {
	salt    uint32
	records []record
	// end is where the valid frames end, in bytes.
	end int
	// torn is set if an unfinished frame follows. With end 0, the file itself
	// was not finished.
	torn bool
}

// scanSegment reads a segment whose first frame has the sequence number first.
// Only the last segment of a log may end with a torn frame.
func scanSegment(b []byte, first uint64, last bool) (scanned, *CorruptionError) {
	salt, reason := decodeSegmentHeader(b)
	if reason != "" {
		if last && (len(b) < segmentHeaderSize || hasZeroSector(b, 0, len(b))) && reason != UnsupportedVersion {
			return scanned{torn: true}, nil
		}
		return scanned{}, &CorruptionError{Reason: reason}
	}
	s := scanned{salt: salt, end: segmentHeaderSize}
	for s.end < len(b) {
		r, size, reason := readFrame(b[s.end:], salt, first+uint64(len(s.records)))
		if reason == "" {
			s.records = append(s.records, r)
			s.end += size
			continue
		}
		if last && isTorn(b, s.end, salt) {
			s.torn = true
			return s, nil
		}
		return scanned{}, &CorruptionError{Offset: int64(s.end), Reason: reason}
	}
	return s, nil
}

// readFrame decodes the frame at the start of b and returns its size in bytes.
func readFrame(b []byte, salt uint32, seq uint64) (record, int, CorruptionReason) {
	h, ok := decodeFrameHeader(b, salt)
	if !ok {
		return record{}, 0, CorruptFrameHeader
	}
	size := frameHeaderSize + h.length
	if size > len(b) {
		return record{}, 0, LengthMismatch
	}
	payload := b[frameHeaderSize:size]
	if payloadSum(payload, salt) != h.sum {
		return record{}, 0, ChecksumMismatch
	}
	if h.seq != seq {
		return record{}, 0, MissingFrames
	}
	r, ok := decodeRecord(payload)
	if !ok {
		return record{}, 0, UndecodableContent
	}
	return r, size, ""
}

// isTorn tells an unfinished write from damage. A crash in the middle of a write
// leaves the end of the file missing, or sectors that were not written and read
// as zeros, and it can only be the last write. Without the distinction, damage
// to the last acknowledged frame would be cut off in silence.
func isTorn(b []byte, at int, salt uint32) bool {
	h, ok := decodeFrameHeader(b[at:], salt)
	end := len(b)
	if ok {
		end = min(end, at+frameHeaderSize+h.length)
	}
	incomplete := len(b)-at < frameHeaderSize || ok && at+frameHeaderSize+h.length > len(b)
	if !incomplete && !hasZeroSector(b, at, end) {
		return false
	}
	from := at + 1
	if ok {
		from = end
	}
	return !hasFrame(b, from, salt)
}

// hasZeroSector reports whether some sector's part of b[from:to] is all zero.
func hasZeroSector(b []byte, from, to int) bool {
	for from < to {
		end := min(to, (from/sectorSize+1)*sectorSize)
		if allZero(b[from:end]) {
			return true
		}
		from = end
	}
	return false
}

func allZero(b []byte) bool {
	for _, c := range b {
		if c != 0 {
			return false
		}
	}
	return true
}

// hasFrame reports whether a frame starts anywhere in b from the given place on.
func hasFrame(b []byte, from int, salt uint32) bool {
	for i := from; i+frameHeaderSize <= len(b); i++ {
		if _, ok := decodeFrameHeader(b[i:], salt); ok {
			return true
		}
	}
	return false
}

// note takes the entries of a record into account.
func (s *segment) note(r record) {
	s.frames++
	if n := len(r.entries); n > 0 {
		s.lastIndex = max(s.lastIndex, r.entries[n-1].Index)
	}
}

// replay puts the records of all segments together.
type replay struct {
	snapshot replog.Snapshot
	hard     replog.HardState
	entries  []replog.Entry
}

// add takes the next record and reports whether it follows on the ones before.
func (p *replay) add(r record) bool {
	p.hard = r.hard
	if r.reset {
		p.entries = nil
	}
	if len(r.entries) == 0 {
		return true
	}
	first := r.entries[0].Index
	if len(p.entries) == 0 || first <= p.entries[0].Index {
		p.entries = r.entries
		return true
	}
	kept := first - p.entries[0].Index
	if kept > uint64(len(p.entries)) {
		// Entries between may have been dropped only if the snapshot has them.
		p.entries = r.entries
		return first <= p.snapshot.Index+1
	}
	p.entries = append(p.entries[:kept], r.entries...)
	return true
}

// result returns what the replica goes on from, and whether no entry is missing
// between the snapshot and the rest.
func (p *replay) result() (replog.PersistentState, bool) {
	s := replog.PersistentState{HardState: p.hard, Snapshot: p.snapshot}
	if s.HardState.Term < p.snapshot.Term {
		// The crash came between the snapshot and the record that goes with it.
		s.HardState = replog.HardState{Term: p.snapshot.Term, Commit: p.snapshot.Index}
	}
	if len(p.entries) == 0 {
		return s, true
	}
	first := p.entries[0].Index
	if first > p.snapshot.Index+1 {
		return s, false
	}
	s.Entries = p.after(first)
	return s, true
}

// after returns the entries after the snapshot. If the entry at its index is of
// another term, all that follow were replaced by the snapshot.
func (p *replay) after(first uint64) []replog.Entry {
	skip := p.snapshot.Index + 1 - first
	if skip > uint64(len(p.entries)) {
		return nil
	}
	if skip > 0 && p.entries[skip-1].Term != p.snapshot.Term {
		return nil
	}
	return p.entries[skip:]
}
