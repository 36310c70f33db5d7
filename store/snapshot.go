package store

import (
	"encoding/binary"

	"github.com/carawaystile/carawaystile/replog"
)

// EncodeSnapshot gives the bytes that DecodeSnapshot reads: index, term, length
// and bytes of the members, all as varints, then the data. It is used for the
// snapshot file and for backups.
func EncodeSnapshot(s replog.Snapshot) []byte {
	members := replog.EncodeMembers(s.Members)
	b := binary.AppendUvarint(nil, s.Index)
	b = binary.AppendUvarint(b, s.Term)
	b = binary.AppendUvarint(b, uint64(len(members)))
	b = append(b, members...)
	return append(b, s.Data...)
}

// DecodeSnapshot reads what EncodeSnapshot wrote, or fails with
// *replog.BadEncoding.
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
