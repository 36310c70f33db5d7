package store

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/replog"
)

// Identity is whose log it is. It is written once, when the log is created, and
// never changed.
type Identity struct {
	// Group is the group of replicas; a restored group is another one.
	Group uint64
	// Replica is the identity of this disk. A replica whose disk was lost gets
	// another one, so that the group doesn't count what the old one promised.
	Replica replog.ReplicaID
}

// NewIdentity returns a new random identity in a group, or in a new group if
// that is zero.
func NewIdentity(group uint64) (Identity, error) {
	id := Identity{Group: group}
	for id.Group == 0 || id.Replica == replog.None {
		var b [16]byte
		if _, err := rand.Read(b[:]); err != nil {
			return Identity{}, trace.Wrap(failed(OpGenerateIdentity, logDirName, err))
		}
		if id.Group == 0 {
			id.Group = binary.LittleEndian.Uint64(b[:])
		}
		id.Replica = replog.ReplicaID(binary.LittleEndian.Uint64(b[8:]))
	}
	return id, nil
}

// allows reports whether got is the wanted identity, of which zero fields match
// anything.
func (id Identity) allows(got Identity) bool {
	return (id.Group == 0 || id.Group == got.Group) &&
		(id.Replica == replog.None || id.Replica == got.Replica)
}

func encodeIdentity(id Identity) []byte {
	b := binary.AppendUvarint(nil, id.Group)
	return binary.AppendUvarint(b, uint64(id.Replica))
}

func decodeIdentity(b []byte) (Identity, bool) {
	d := decoder{rest: b}
	id := Identity{Group: d.uvarint(), Replica: replog.ReplicaID(d.uvarint())}
	return id, !d.failed && len(d.rest) == 0
}
