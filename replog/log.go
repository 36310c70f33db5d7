package replog

// entryLog holds the entries after the compacted part in memory, and how far
// they are saved, committed and applied.
//
// Invariants: applied <= commit <= lastIndex; applied <= stable;
// stable <= handed <= lastIndex.
type entryLog struct {
	// base is the last compacted entry; entries[i] has index base.Index+1+i.
	base    Position
	entries []Entry
	// snapshot is the latest snapshot; snapshot.Index >= base.Index.
	snapshot Snapshot
	// snapshotPending is set while a received snapshot has not been handed out
	// to be saved.
	snapshotPending bool

	// handed is the last index handed out to be saved, stable the last one known
	// to be durable.
	handed uint64
	stable uint64
	commit uint64
	// applied is the last index handed out to be applied.
	applied uint64
}

func newEntryLog(s PersistentState) entryLog {
	l := entryLog{snapshot: s.Snapshot, entries: s.Entries}
	l.base = Position{Term: s.Snapshot.Term, Index: s.Snapshot.Index}
	l.handed = l.lastIndex()
	l.stable = l.handed
	l.commit = max(s.Snapshot.Index, min(s.HardState.Commit, l.handed))
	l.applied = s.Snapshot.Index
	return l
}

func (l *entryLog) lastIndex() uint64 { return l.base.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	t, _ := l.term(l.lastIndex())
	return t
}

// term returns the term of the entry at index, and false if it is compacted or
// doesn't exist.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.base.Index:
		return l.base.Term, true
	case index < l.base.Index || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.base.Index-1].Term, true
}

func (l *entryLog) matches(index, term uint64) bool {
	t, ok := l.term(index)
	return ok && t == term
}

// upToDate reports whether a log that ends with the given entry holds at least
// as much as this one.
func (l *entryLog) upToDate(index, term uint64) bool {
	last := l.lastTerm()
	return term > last || term == last && index >= l.lastIndex()
}

// from returns the entries from index on, at least one if there is any and no
// more than maxBytes otherwise. The slice must not be changed.
func (l *entryLog) from(index uint64, maxBytes int) []Entry {
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

// truncate removes the entries from index on. The array stays untouched, since
// messages and writes may share it.
func (l *entryLog) truncate(index uint64) {
	n := index - l.base.Index - 1
	l.entries = l.entries[:n:n]
	l.handed = min(l.handed, index-1)
	l.stable = min(l.stable, index-1)
}

// conflict returns the position in es of the first entry that this log doesn't
// hold, or len(es).
func (l *entryLog) conflict(es []Entry) int {
	for i := range es {
		if !l.matches(es[i].Index, es[i].Term) {
			return i
		}
	}
	return len(es)
}

// hint returns the last entry at or before index whose term is not above term.
// No entry after it can be equal to the one of a log that has the given term at
// the given index.
func (l *entryLog) hint(index, term uint64) Position {
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

func (l *entryLog) commitTo(index uint64) bool {
	index = min(index, l.lastIndex())
	if index <= l.commit {
		return false
	}
	l.commit = index
	return true
}

func (l *entryLog) hasUnsaved() bool {
	return l.snapshotPending || l.handed < l.lastIndex()
}

// savedTo records that the entries up to at are durable, unless they have been
// replaced in the meantime.
func (l *entryLog) savedTo(at Position) {
	if at.Index > l.stable && l.matches(at.Index, at.Term) {
		l.stable = at.Index
	}
}

// applicable is the last index that may be applied.
func (l *entryLog) applicable() uint64 {
	if l.snapshotPending {
		return l.applied
	}
	return min(l.commit, l.stable)
}

// install replaces everything by a received snapshot.
func (l *entryLog) install(s Snapshot) {
	*l = entryLog{
		base:            Position{Term: s.Term, Index: s.Index},
		snapshot:        s,
		snapshotPending: true,
		handed:          s.Index,
		commit:          s.Index,
		applied:         s.Index,
	}
}

// compact takes over a snapshot of the applied state and frees the entries
// before it but for the last ones within the bounds.
func (l *entryLog) compact(s Snapshot, maxEntries uint64, maxBytes int) {
	l.snapshot = s
	index := l.trailing(s.Index, maxEntries, maxBytes)
	if index == l.base.Index {
		return
	}
	term, _ := l.term(index)
	kept := l.slice(index, l.lastIndex())
	l.entries = append(make([]Entry, 0, len(kept)), kept...)
	l.base = Position{Term: term, Index: index}
}

// trailing returns the index after which entries before a snapshot are kept.
func (l *entryLog) trailing(snapshot, maxEntries uint64, maxBytes int) uint64 {
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
