package store

import (
	"encoding/binary"
	"hash/crc32"

	"github.com/carawaystile/carawaystile/replog"
)

// A segment file of the write-ahead log consists of a magic (8 bytes, the last
// one is the version), a salt (4 bytes), the CRC-32C of both (4 bytes), and
// frames.
//
// A frame is one write, which is valid as a whole or not at all. It consists of
// the payload length (4 bytes), the sequence number (8 bytes), the CRC-32C of
// the payload (4 bytes), the CRC-32C of the frame header up to here (4 bytes),
// and the payload. The checksums of frames start from the segment's salt, so
// that a copy of a frame inside the data of an entry is not mistaken for a
// frame. Numbers are little-endian.
const (
	segmentMagic      = "cwslog\x00\x01"
	segmentHeaderSize = len(segmentMagic) + 4 + 4
	frameHeaderSize   = 4 + 8 + 4 + 4
	maxPayload        = 1 << 30
)

func encodeSegmentHeader(salt uint32) []byte {
	b := []byte(segmentMagic)
	b = binary.LittleEndian.AppendUint32(b, salt)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func decodeSegmentHeader(b []byte) (salt uint32, reason CorruptionReason) {
	if len(b) < segmentHeaderSize {
		return 0, LengthMismatch
	}
	if reason := checkMagic(b, segmentMagic); reason != "" {
		return 0, reason
	}
	sumAt := segmentHeaderSize - 4
	if binary.LittleEndian.Uint32(b[sumAt:]) != crc32.Checksum(b[:sumAt], castagnoli) {
		return 0, CorruptHeader
	}
	return binary.LittleEndian.Uint32(b[len(segmentMagic):]), ""
}

// writeFrameHeader fills in the header of a frame whose payload starts at
// frameHeaderSize.
func writeFrameHeader(b []byte, salt uint32, seq uint64) {
	payload := b[frameHeaderSize:]
	binary.LittleEndian.PutUint32(b, uint32(len(payload)))
	binary.LittleEndian.PutUint64(b[4:], seq)
	binary.LittleEndian.PutUint32(b[12:], payloadChecksum(payload, salt))
	binary.LittleEndian.PutUint32(b[16:], crc32.Update(salt, castagnoli, b[:16]))
}

// payloadChecksum returns the salted CRC-32C of a payload.
func payloadChecksum(payload []byte, salt uint32) uint32 {
	return crc32.Update(salt, castagnoli, payload)
}

// frameHeader is a decoded frame header.
type frameHeader struct {
	length int
	seq    uint64
	sum    uint32
}

// decodeFrameHeader decodes a frame header and reports whether it is valid.
func decodeFrameHeader(b []byte, salt uint32) (frameHeader, bool) {
	if len(b) < frameHeaderSize || binary.LittleEndian.Uint32(b[16:]) != crc32.Update(salt, castagnoli, b[:16]) {
		return frameHeader{}, false
	}
	h := frameHeader{
		length: int(binary.LittleEndian.Uint32(b)),
		seq:    binary.LittleEndian.Uint64(b[4:]),
		sum:    binary.LittleEndian.Uint32(b[12:]),
	}
	return h, h.length <= maxPayload
}

// record is the payload of a frame: the hard state and entries of one write.
type record struct {
	hardState replog.HardState
	// reset is set if a received snapshot replaced the entries before this
	// record.
	reset   bool
	entries []replog.Entry
}

// recordReset is the flag for record.reset.
const recordReset = 1

// appendRecord encodes a record as flags, term, vote, commit, number of entries
// and index of the first entry, and for each entry its term, kind, data length
// and data. All numbers are unsigned varints.
func appendRecord(b []byte, r record) []byte {
	flags := uint64(0)
	if r.reset {
		flags = recordReset
	}
	b = binary.AppendUvarint(b, flags)
	b = binary.AppendUvarint(b, r.hardState.Term)
	b = binary.AppendUvarint(b, uint64(r.hardState.Vote))
	b = binary.AppendUvarint(b, r.hardState.Commit)
	b = binary.AppendUvarint(b, uint64(len(r.entries)))
	if len(r.entries) == 0 {
		return b
	}
	b = binary.AppendUvarint(b, r.entries[0].Index)
	for i := range r.entries {
		e := &r.entries[i]
		b = binary.AppendUvarint(b, e.Term)
		b = binary.AppendUvarint(b, uint64(e.Kind))
		b = binary.AppendUvarint(b, uint64(len(e.Data)))
		b = append(b, e.Data...)
	}
	return b
}

// decodeRecord decodes the output of appendRecord and reports whether it is
// valid.
func decodeRecord(b []byte) (record, bool) {
	d := decoder{rest: b}
	flags := d.uvarint()
	r := record{reset: flags == recordReset}
	r.hardState.Term = d.uvarint()
	r.hardState.Vote = replog.ReplicaID(d.uvarint())
	r.hardState.Commit = d.uvarint()
	r.entries = d.entries()
	ok := !d.failed && len(d.rest) == 0 && flags <= recordReset
	return r, ok
}

// decoder reads varints and byte strings, and remembers whether any read
// failed.
type decoder struct {
	rest   []byte
	failed bool
}

func (d *decoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.failed = true
		d.rest = nil
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *decoder) bytes() []byte {
	n := d.uvarint()
	if n > uint64(len(d.rest)) {
		d.failed = true
		return nil
	}
	b := d.rest[:n:n]
	d.rest = d.rest[n:]
	return b
}

func (d *decoder) entries() []replog.Entry {
	n := d.uvarint()
	if n == 0 || n > uint64(len(d.rest)) {
		d.failed = d.failed || n > 0
		return nil
	}
	first := d.uvarint()
	es := make([]replog.Entry, 0, n)
	for i := uint64(0); i < n && !d.failed; i++ {
		es = append(es, d.entry(first+i))
	}
	return es
}

func (d *decoder) entry(index uint64) replog.Entry {
	term := d.uvarint()
	kind := d.uvarint()
	data := d.bytes()
	if kind > uint64(replog.EntryMembership) {
		d.failed = true
	}
	if len(data) == 0 {
		data = nil
	}
	return replog.Entry{Term: term, Index: index, Kind: replog.EntryKind(kind), Data: data}
}
