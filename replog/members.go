package replog

import (
	"encoding/binary"
	"slices"
)

// Member is one replica of the group.
type Member struct {
	Replica ReplicaID
	// Learner replicas receive entries and don't count for any quorum.
	Learner bool
	// Address is for the owner; this package doesn't look at it.
	Address string
}

// Members are the replicas of a group, by ReplicaID.
type Members []Member

// Find returns the member with this ID.
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

// Quorum is the number of voters in a majority.
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

func (ms Members) without(id ReplicaID) Members {
	out := make(Members, 0, len(ms)+1)
	for _, m := range ms {
		if m.Replica != id {
			out = append(out, m)
		}
	}
	return out
}

const memberLearner = 1

// EncodeMembers gives the bytes that DecodeMembers reads.
func EncodeMembers(ms Members) []byte {
	b := binary.AppendUvarint(nil, uint64(len(ms)))
	for _, m := range ms {
		flags := uint64(0)
		if m.Learner {
			flags = memberLearner
		}
		b = binary.AppendUvarint(b, uint64(m.Replica))
		b = binary.AppendUvarint(b, flags)
		b = binary.AppendUvarint(b, uint64(len(m.Address)))
		b = append(b, m.Address...)
	}
	return b
}

// DecodeMembers reads what EncodeMembers wrote, or fails with *BadEncoding.
func DecodeMembers(b []byte) (Members, error) {
	r := memberReader{rest: b, size: len(b)}
	n := r.uvarint()
	var ms Members
	for i := uint64(0); i < n && !r.failed; i++ {
		ms = append(ms, r.member())
	}
	if r.failed || len(r.rest) != 0 {
		return nil, &DecodeError{What: "members", Offset: r.size - len(r.rest)}
	}
	return ms, nil
}

type memberReader struct {
	rest   []byte
	size   int
	failed bool
}

func (r *memberReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.failed = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

func (r *memberReader) member() Member {
	id := r.uvarint()
	flags := r.uvarint()
	size := r.uvarint()
	if r.failed || id == 0 || flags > memberLearner || size > uint64(len(r.rest)) {
		r.failed = true
		return Member{}
	}
	address := string(r.rest[:size])
	r.rest = r.rest[size:]
	return Member{Replica: ReplicaID(id), Learner: flags == memberLearner, Address: address}
}

// memberHistory holds the membership as of each EntryMembers in the log. A
// replica uses the latest one in its log, committed or not; when the entry is
// replaced by another leader's, the one before holds again.
type memberHistory []membersAt

type membersAt struct {
	index   uint64
	members Members
}

func (h memberHistory) current() Members { return h[len(h)-1].members }

// lastIndex is the index of the latest membership change.
func (h memberHistory) lastIndex() uint64 { return h[len(h)-1].index }

func (h memberHistory) at(index uint64) Members {
	for i := len(h) - 1; i > 0; i-- {
		if h[i].index <= index {
			return h[i].members
		}
	}
	return h[0].members
}

func (h *memberHistory) add(index uint64, ms Members) {
	*h = append(*h, membersAt{index: index, members: ms})
}

// truncate forgets the changes from index on.
func (h *memberHistory) truncate(index uint64) {
	for len(*h) > 1 && h.lastIndex() >= index {
		*h = (*h)[:len(*h)-1]
	}
}

// compact forgets what was in force only before index.
func (h *memberHistory) compact(index uint64) {
	for len(*h) > 1 && (*h)[1].index <= index {
		*h = (*h)[1:]
	}
}
