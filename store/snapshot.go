package store

import (
	"encoding/binary"

	"github.com/carawaystile/carawaystile/replog"
)

// EncodeSnapshot encodes a snapshot as index, term and length of the members,
// all as unsigned varints, the encoded members and the data. Snapshot files and
// backups use this encoding.
func EncodeSnapshot(s replog.Snapshot) []byte {
	members := replog.EncodeMembers(s.Members)
	b := binary.AppendUvarint(nil, s.Index)
	b = binary.AppendUvarint(b, s.Term)
	b = binary.AppendUvarint(b, uint64(len(members)))
	b = append(b, members...)
	return append(b, s.Data...)
}

// DecodeSnapshot decodes the output of EncodeSnapshot, or fails with
// *replog.DecodeError.
func DecodeSnapshot(b []byte) (replog.Snapshot, error) {
	d := decoder{rest: b}
	s := replog.Snapshot{Index: d.uvarint(), Term: d.uvarint()}
	encoded := d.bytes()
	if d.failed {
		return replog.Snapshot{}, &replog.DecodeError{What: "snapshot", Offset: len(b) - len(d.rest)}
	}
	members, err := replog.DecodeMembers(encoded)
	if err != nil {
		return replog.Snapshot{}, err
	}
	s.Members = members
	if len(d.rest) > 0 {
		s.Data = d.rest
	}
	return s, nil
}
