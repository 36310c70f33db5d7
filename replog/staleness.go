package replog

// freshness is how long ago the applied state was known to be the newest that the
// group had committed. Times are in ticks.
//
// A replica that only knows who leads can't tell: a learner never asks for an
// election, and a replica whose disk hangs hears its leader while it applies
// nothing. Whoever reads from it would take an old state for the newest one.
type freshness struct {
	// known is set once the state was known to be the newest; age is the time since.
	known bool
	age   int
	// awaited is a commit index that the leader has told of and that is not
	// applied yet, 0 for none; awaitedAge is the time since it was the newest.
	awaited    uint64
	awaitedAge int
}

func (f *freshness) tick() {
	f.age++
	f.awaitedAge++
}

// newest takes in that, age ticks ago, nothing was committed beyond index commit.
// While an earlier index is awaited, later ones don't move the wait.
func (f *freshness) newest(commit uint64, age int, applied uint64) {
	switch {
	case applied >= commit:
		f.confirm(age)
	case f.awaited == 0:
		f.awaited, f.awaitedAge = commit, age
	}
}

// applied takes in that the entries up to index are applied.
func (f *freshness) applied(index uint64) {
	if f.awaited != 0 && index >= f.awaited {
		f.confirm(f.awaitedAge)
	}
}

func (f *freshness) confirm(age int) {
	if !f.known || age < f.age {
		f.known, f.age = true, age
	}
	f.awaited = 0
}

// current reports whether the state was the group's newest within the bound.
func (f *freshness) current(bound int) bool { return f.known && f.age <= bound }

// confirmedCommit is the commit index once it is known that no leader before has
// committed more, and 0 until then: a new leader learns what is committed with the
// first entry of its own term.
func (n *Node) confirmedCommit() uint64 {
	if n.log.commit < n.termStart {
		return 0
	}
	return n.log.commit
}

// noteNewest lets a leader confirm its own state: nobody else has committed
// anything before a quorum last answered it.
func (n *Node) noteNewest() {
	if commit := n.confirmedCommit(); commit != 0 {
		n.freshness.newest(commit, n.quorumIdle(), n.log.applied)
	}
}

// quorumIdle is the time since a quorum had last answered this leader.
func (n *Node) quorumIdle() int {
	for ticks := 0; ; ticks++ {
		answered := func(id ReplicaID) bool {
			return id == n.cfg.ID || n.progress[id] != nil && n.progress[id].TicksSinceResponse <= ticks
		}
		if n.members.current().hasQuorum(answered) || ticks > n.cfg.ElectionTicks {
			return ticks
		}
	}
}
