package replog

// staleness bounds the age of the applied state: it tracks the ticks since that
// state was known to include everything that the group had committed.
//
// Knowing the leader is not enough for that. A learner never starts an
// election, and a replica with a stalled disk still hears its leader while it
// applies nothing. A client that reads from such a replica would mistake an old
// state for the newest one.
type staleness struct {
	// known is set once the applied state was known to be up to date; age is
	// the number of ticks since then.
	known bool
	age   int
	// pendingCommit is a commit index that the leader has announced and that is
	// not applied yet, or 0; pendingAge is the number of ticks since it was the
	// group's commit index.
	pendingCommit uint64
	pendingAge    int
}

// tick advances the time by one tick.
func (s *staleness) tick() {
	s.age++
	s.pendingAge++
}

// observeCommit records that, age ticks ago, the group's commit index was
// commit. While an earlier index is pending, later ones don't replace it;
// otherwise a replica that is always slightly behind would never be found up to
// date.
func (s *staleness) observeCommit(commit uint64, age int, applied uint64) {
	switch {
	case applied >= commit:
		s.recordUpToDate(age)
	case s.pendingCommit == 0:
		s.pendingCommit, s.pendingAge = commit, age
	}
}

// observeApplied records that the entries up to index are applied.
func (s *staleness) observeApplied(index uint64) {
	if s.pendingCommit != 0 && index >= s.pendingCommit {
		s.recordUpToDate(s.pendingAge)
	}
}

// recordUpToDate records that the applied state was up to date age ticks ago.
func (s *staleness) recordUpToDate(age int) {
	if !s.known || age < s.age {
		s.known, s.age = true, age
	}
	s.pendingCommit = 0
}

// within reports whether the applied state was up to date within the last bound
// ticks.
func (s *staleness) within(bound int) bool { return s.known && s.age <= bound }

// groupCommitIndex returns the leader's commit index once no earlier leader can
// have committed more, and 0 until then. A new leader learns the group's commit
// index only when the first entry of its own term is committed.
func (n *Node) groupCommitIndex() uint64 {
	if n.log.commit < n.termStart {
		return 0
	}
	return n.log.commit
}

// observeOwnCommit updates the staleness of the leader's own state: no other
// replica can have committed an entry before a quorum last responded to this
// leader.
func (n *Node) observeOwnCommit() {
	if commit := n.groupCommitIndex(); commit != 0 {
		n.staleness.observeCommit(commit, n.ticksSinceQuorumResponse(), n.log.applied)
	}
}

// ticksSinceQuorumResponse returns the number of ticks within which a quorum
// has responded to this leader, or ElectionTicks + 1 if that is too long ago.
func (n *Node) ticksSinceQuorumResponse() int {
	for ticks := 0; ; ticks++ {
		responded := func(id ReplicaID) bool {
			return id == n.cfg.ID || n.progress[id] != nil && n.progress[id].TicksSinceResponse <= ticks
		}
		if n.members.current().hasQuorum(responded) || ticks > n.cfg.ElectionTicks {
			return ticks
		}
	}
}
