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
	// sectorSize is the unit in bytes that a disk writes atomically.
	sectorSize = 512
)

// segment is one file of the write-ahead log.
type segment struct {
	path string
	// firstSeq is the sequence number of the first frame. It is also the file's
	// name.
	firstSeq uint64
	// lastIndex is the highest index of any entry in the segment.
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
		return nil, wrapIOError(OpRead, dir, err)
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
		out = append(out, segment{path: path, firstSeq: first})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].firstSeq < out[j].firstSeq })
	return out, nil
}

// segmentScan is the valid part of a segment's content.
type segmentScan struct {
	salt    uint32
	records []record
	// end is the offset in bytes at which the valid frames end.
	end int
	// torn is set if an unfinished frame follows. If end is 0, the header of
	// the segment itself is unfinished.
	torn bool
}

// scanSegment reads a segment whose first frame has the sequence number first.
// Only the last segment of a log may end with a torn frame.
func scanSegment(b []byte, first uint64, last bool) (segmentScan, *CorruptionError) {
	salt, reason := decodeSegmentHeader(b)
	if reason != "" {
		if last && (len(b) < segmentHeaderSize || hasZeroSector(b, 0, len(b))) && reason != UnsupportedVersion {
			return segmentScan{torn: true}, nil
		}
		return segmentScan{}, &CorruptionError{Reason: reason}
	}
	s := segmentScan{salt: salt, end: segmentHeaderSize}
	for s.end < len(b) {
		r, size, reason := readFrame(b[s.end:], salt, first+uint64(len(s.records)))
		if reason == "" {
			s.records = append(s.records, r)
			s.end += size
			continue
		}
		if last && isTornWrite(b, s.end, salt) {
			s.torn = true
			return s, nil
		}
		return segmentScan{}, &CorruptionError{Offset: int64(s.end), Reason: reason}
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
	if payloadChecksum(payload, salt) != h.sum {
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

// isTornWrite distinguishes an unfinished write from corruption. A crash during
// a write leaves the end of the file missing, or sectors that were not written
// and read as zeros, and only the last write can be affected. Without the
// distinction, a corrupt last frame that was acknowledged would be truncated
// silently.
func isTornWrite(b []byte, at int, salt uint32) bool {
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

// hasZeroSector reports whether the part of any sector in b[from:to] is all
// zero.
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

// hasFrame reports whether a frame header starts anywhere in b[from:].
func hasFrame(b []byte, from int, salt uint32) bool {
	for i := from; i+frameHeaderSize <= len(b); i++ {
		if _, ok := decodeFrameHeader(b[i:], salt); ok {
			return true
		}
	}
	return false
}

// recordFrame updates the segment for a frame with the given record.
func (s *segment) recordFrame(r record) {
	s.frames++
	if n := len(r.entries); n > 0 {
		s.lastIndex = max(s.lastIndex, r.entries[n-1].Index)
	}
}

// recovery rebuilds the persistent state from the records of all segments.
type recovery struct {
	snapshot  replog.Snapshot
	hardState replog.HardState
	entries   []replog.Entry
}

// apply applies the next record and reports whether it follows the previous
// ones without a gap.
func (p *recovery) apply(r record) bool {
	p.hardState = r.hardState
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
		// The entries in between may be missing only if the snapshot covers
		// them.
		p.entries = r.entries
		return first <= p.snapshot.Index+1
	}
	p.entries = append(p.entries[:kept], r.entries...)
	return true
}

// result returns the state that the replica restarts from, and whether there is
// no gap between the snapshot and the entries.
func (p *recovery) result() (replog.PersistentState, bool) {
	s := replog.PersistentState{HardState: p.hardState, Snapshot: p.snapshot}
	if s.HardState.Term < p.snapshot.Term {
		// The crash happened between the snapshot and the record that belongs
		// to it.
		s.HardState = replog.HardState{Term: p.snapshot.Term, Commit: p.snapshot.Index}
	}
	if len(p.entries) == 0 {
		return s, true
	}
	first := p.entries[0].Index
	if first > p.snapshot.Index+1 {
		return s, false
	}
	s.Entries = p.entriesAfterSnapshot(first)
	return s, true
}

// entriesAfterSnapshot returns the entries after the snapshot. If the entry at
// the snapshot's index has another term, the snapshot replaced all later
// entries.
func (p *recovery) entriesAfterSnapshot(first uint64) []replog.Entry {
	skip := p.snapshot.Index + 1 - first
	if skip > uint64(len(p.entries)) {
		return nil
	}
	if skip > 0 && p.entries[skip-1].Term != p.snapshot.Term {
		return nil
	}
	return p.entries[skip:]
}
