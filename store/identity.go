package store

import (
	"crypto/rand"
	"encoding/binary"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/replog"
)

// Identity identifies the replica and the group that a log belongs to. It is
// written when the log is created and never changes.
type Identity struct {
	// Group identifies the group of replicas. A group restored from a backup is
	// a new group.
	Group uint64
	// Replica identifies this disk. A replica that lost its disk gets a new
	// ReplicaID, so that the group doesn't count the acknowledgements and votes
	// of the old one.
	Replica replog.ReplicaID
}

// NewIdentity returns a random replica identity in a group, or in a new random
// group if group is zero.
func NewIdentity(group uint64) (Identity, error) {
	id := Identity{Group: group}
	for id.Group == 0 || id.Replica == replog.None {
		var b [16]byte
		if _, err := rand.Read(b[:]); err != nil {
			return Identity{}, trace.Wrap(wrapIOError(OpGenerateIdentity, logDirName, err))
		}
		if id.Group == 0 {
			id.Group = binary.LittleEndian.Uint64(b[:])
		}
		id.Replica = replog.ReplicaID(binary.LittleEndian.Uint64(b[8:]))
	}
	return id, nil
}

// matches reports whether got is the expected identity id. Zero fields of id
// match anything.
func (id Identity) matches(got Identity) bool {
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
