package replog

import (
	"encoding/binary"
	"slices"
)

// Member is one replica of a group.
type Member struct {
	Replica ReplicaID
	// Learner is set on replicas that receive entries and don't count for any
	// quorum.
	Learner bool
	// Address is the replica's address. Only the application uses it.
	Address string
}

// Members is the membership of a group, sorted by ReplicaID. The Raft paper
// calls it the cluster configuration.
type Members []Member

// Find returns the member with this ReplicaID, and whether there is one.
func (ms Members) Find(id ReplicaID) (Member, bool) {
	for _, m := range ms {
		if m.Replica == id {
			return m, true
		}
	}
	return Member{}, false
}

// IsVoter reports whether the replica is a member and not a learner.
func (ms Members) IsVoter(id ReplicaID) bool {
	m, ok := ms.Find(id)
	return ok && !m.Learner
}

// Voters returns the members that are not learners.
func (ms Members) Voters() []ReplicaID {
	var ids []ReplicaID
	for _, m := range ms {
		if !m.Learner {
			ids = append(ids, m.Replica)
		}
	}
	return ids
}

// Quorum returns the number of voters in a majority.
func (ms Members) Quorum() int { return len(ms.Voters())/2 + 1 }

// hasQuorum reports whether a majority of the voters satisfies ok.
func (ms Members) hasQuorum(ok func(ReplicaID) bool) bool {
	voters, n := 0, 0
	for _, m := range ms {
		if m.Learner {
			continue
		}
		voters++
		if ok(m.Replica) {
			n++
		}
	}
	return n > voters/2
}

// with returns a copy of the membership in which m is added or replaced.
func (ms Members) with(m Member) Members {
	out := ms.without(m.Replica)
	out = append(out, m)
	slices.SortFunc(out, func(a, b Member) int {
		if a.Replica < b.Replica {
			return -1
		}
		return 1
	})
	return out
}

// without returns a copy of the membership from which a replica is removed.
func (ms Members) without(id ReplicaID) Members {
	out := make(Members, 0, len(ms)+1)
	for _, m := range ms {
		if m.Replica != id {
			out = append(out, m)
		}
	}
	return out
}

// learnerFlag marks a learner in an encoded membership.
const learnerFlag = 1

// EncodeMembers encodes a membership as unsigned varints: the number of
// members, and for each its ReplicaID, flags, address length and address.
func EncodeMembers(ms Members) []byte {
	b := binary.AppendUvarint(nil, uint64(len(ms)))
	for _, m := range ms {
		flags := uint64(0)
		if m.Learner {
			flags = learnerFlag
		}
		b = binary.AppendUvarint(b, uint64(m.Replica))
		b = binary.AppendUvarint(b, flags)
		b = binary.AppendUvarint(b, uint64(len(m.Address)))
		b = append(b, m.Address...)
	}
	return b
}

// DecodeMembers decodes the output of EncodeMembers, or fails with
// *DecodeError.
func DecodeMembers(b []byte) (Members, error) {
	d := memberDecoder{rest: b, size: len(b)}
	n := d.uvarint()
	var ms Members
	for i := uint64(0); i < n && !d.failed; i++ {
		ms = append(ms, d.member())
	}
	if d.failed || len(d.rest) != 0 {
		return nil, &DecodeError{What: "members", Offset: d.size - len(d.rest)}
	}
	return ms, nil
}

// memberDecoder decodes members and remembers whether any read failed.
type memberDecoder struct {
	rest   []byte
	size   int
	failed bool
}

func (d *memberDecoder) uvarint() uint64 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 {
		d.failed = true
		return 0
	}
	d.rest = d.rest[n:]
	return v
}

func (d *memberDecoder) member() Member {
	id := d.uvarint()
	flags := d.uvarint()
	size := d.uvarint()
	if d.failed || id == 0 || flags > learnerFlag || size > uint64(len(d.rest)) {
		d.failed = true
		return Member{}
	}
	address := string(d.rest[:size])
	d.rest = d.rest[size:]
	return Member{Replica: ReplicaID(id), Learner: flags == learnerFlag, Address: address}
}

// membershipHistory holds the membership as of each EntryMembership in the log.
// A replica uses the latest one in its log, whether it is committed or not.
// When the entry is replaced by another leader's, the previous membership
// applies again.
type membershipHistory []membershipAt

// membershipAt is the membership from the log entry at index on.
type membershipAt struct {
	index   uint64
	members Members
}

func (h membershipHistory) current() Members { return h[len(h)-1].members }

// lastIndex returns the index of the latest membership change.
func (h membershipHistory) lastIndex() uint64 { return h[len(h)-1].index }

// at returns the membership as of a log index.
func (h membershipHistory) at(index uint64) Members {
	for i := len(h) - 1; i > 0; i-- {
		if h[i].index <= index {
			return h[i].members
		}
	}
	return h[0].members
}

func (h *membershipHistory) add(index uint64, ms Members) {
	*h = append(*h, membershipAt{index: index, members: ms})
}

// truncate removes the membership changes from index on.
func (h *membershipHistory) truncate(index uint64) {
	for len(*h) > 1 && h.lastIndex() >= index {
		*h = (*h)[:len(*h)-1]
	}
}

// compact removes the memberships that were replaced at or before index.
func (h *membershipHistory) compact(index uint64) {
	for len(*h) > 1 && (*h)[1].index <= index {
		*h = (*h)[1:]
	}
}
