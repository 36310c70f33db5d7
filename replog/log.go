package replog

// entryLog is the in-memory part of the Raft log: the entries after the last
// compaction, and the indexes up to which entries are submitted for saving,
// durable, committed and applied.
//
// Invariants: applied <= commit <= lastIndex; applied <= stable;
// stable <= submitted <= lastIndex.
type entryLog struct {
	// base is the last compacted entry; entries[i] has the index
	// base.Index+1+i.
	base    Position
	entries []Entry
	// snapshot is the latest snapshot; snapshot.Index >= base.Index.
	snapshot Snapshot
	// snapshotUnsubmitted is set while a received snapshot has not been
	// submitted for saving.
	snapshotUnsubmitted bool

	// submitted is the last index submitted for saving in a Ready, stable the
	// last index known to be durable.
	submitted uint64
	stable    uint64
	commit    uint64
	// applied is the last index handed to the application to be applied.
	applied uint64
}

// newEntryLog returns the log of a replica that restarts from its persistent
// state.
func newEntryLog(s PersistentState) entryLog {
	l := entryLog{snapshot: s.Snapshot, entries: s.Entries}
	l.base = Position{Term: s.Snapshot.Term, Index: s.Snapshot.Index}
	l.submitted = l.lastIndex()
	l.stable = l.submitted
	l.commit = max(s.Snapshot.Index, min(s.HardState.Commit, l.submitted))
	l.applied = s.Snapshot.Index
	return l
}

func (l *entryLog) lastIndex() uint64 { return l.base.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index, and false if the entry is
// compacted or doesn't exist.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base.Index:
		return l.base.Term, true
	case index < l.base.Index || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

// matches reports whether the log holds an entry with this index and term.
func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a log that ends with the given entry is at least as
// up-to-date as this one, in the sense of section 5.4.1 of the Raft paper.
func (l *entryLog) upToDate(index, term uint64) bool {
	last := l.lastTerm()
	return term > last || term == last && index >= l.lastIndex()
}

// entriesFrom returns the entries from index on, up to maxBytes in total but at
// least one if there is any. The caller must not modify the slice.
func (l *entryLog) entriesFrom(index uint64, maxBytes int) []Entry {
	if index > l.lastIndex() {
		return nil
	}
	es := l.entries[index-l.base.Index-1:]
	size := 0
	for i := range es {
		size += es[i].size()
		if size > maxBytes && i > 0 {
			return es[:i:i]
		}
	}
	return es[:len(es):len(es)]
}

// slice returns the entries after lo up to and including hi.
func (l *entryLog) slice(lo, hi uint64) []Entry {
	if hi <= lo {
		return nil
	}
	b := l.base.Index
	return l.entries[lo-b : hi-b : hi-b]
}

func (l *entryLog) append(es ...Entry) {
	l.entries = append(l.entries, es...)
}

// truncate removes the entries from index on. It doesn't overwrite the backing
// array, since messages and outstanding writes may share it.
func (l *entryLog) truncate(index uint64) {
	n := index - l.base.Index - 1
	l.entries = l.entries[:n:n]
	l.submitted = min(l.submitted, index-1)
	l.stable = min(l.stable, index-1)
}

// findConflict returns the position in es of the first entry that this log
// doesn't hold, or len(es).
func (l *entryLog) findConflict(es []Entry) int {
	for i := range es {
		if !l.matches(es[i].Index, es[i].Term) {
			return i
		}
	}
	return len(es)
}

// findConflictByTerm returns the last entry at or before index whose term is
// not above term. No later entry can match a log that has the given term at the
// given index.
func (l *entryLog) findConflictByTerm(index, term uint64) Position {
	index = min(index, l.lastIndex())
	for index > l.base.Index {
		t, _ := l.term(index)
		if t <= term {
			return Position{Term: t, Index: index}
		}
		index--
	}
	return l.base
}

// commitTo advances the commit index, as far as the log reaches, and reports
// whether it has changed.
func (l *entryLog) commitTo(index uint64) bool {
	index = min(index, l.lastIndex())
	if index <= l.commit {
		return false
	}
	l.commit = index
	return true
}

// hasUnsubmitted reports whether the log has entries or a snapshot that are not
// submitted for saving.
func (l *entryLog) hasUnsubmitted() bool {
	return l.snapshotUnsubmitted || l.submitted < l.lastIndex()
}

// markStable records that the entries up to at are durable, unless they were
// replaced in the meantime.
func (l *entryLog) markStable(at Position) {
	if at.Index > l.stable && l.matches(at.Index, at.Term) {
		l.stable = at.Index
	}
}

// lastApplicable returns the last index that may be applied: it is committed
// and durable on this replica.
func (l *entryLog) lastApplicable() uint64 {
	if l.snapshotUnsubmitted {
		return l.applied
	}
	return min(l.commit, l.stable)
}

// restoreSnapshot replaces the whole log by a received snapshot.
func (l *entryLog) restoreSnapshot(s Snapshot) {
	*l = entryLog{
		base:                Position{Term: s.Term, Index: s.Index},
		snapshot:            s,
		snapshotUnsubmitted: true,
		submitted:           s.Index,
		commit:              s.Index,
		applied:             s.Index,
	}
}

// compact records a snapshot of the applied state and drops the entries that
// the snapshot covers, except for the trailing ones within the limits.
func (l *entryLog) compact(s Snapshot, maxEntries uint64, maxBytes int) {
	l.snapshot = s
	index := l.compactionIndex(s.Index, maxEntries, maxBytes)
	if index == l.base.Index {
		return
	}
	term, _ := l.term(index)
	kept := l.slice(index, l.lastIndex())
	l.entries = append(make([]Entry, 0, len(kept)), kept...)
	l.base = Position{Term: term, Index: index}
}

// compactionIndex returns the last index to drop, so that the trailing entries
// before a snapshot stay within the limits.
func (l *entryLog) compactionIndex(snapshot, maxEntries uint64, maxBytes int) uint64 {
	index := snapshot
	for index > l.base.Index && snapshot-index < maxEntries {
		maxBytes -= l.entries[index-l.base.Index-1].size()
		if maxBytes < 0 {
			break
		}
		index--
	}
	return index
}
