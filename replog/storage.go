package replog

// PersistentState is what a replica loads from its disk when it starts. The
// zero value is a replica without any state that waits to be added to a group
// as a learner.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	// Entries follow the snapshot without a gap.
	Entries []Entry
}

// IsEmpty reports whether the replica has no state at all.
func (s *PersistentState) IsEmpty() bool {
	return s.HardState == HardState{} && s.Snapshot.Index == 0 && len(s.Entries) == 0
}

// Storage persists the state of a Node. Implementations need not be safe for
// concurrent use.
type Storage interface {
	// Load returns the saved state.
	Load() (PersistentState, error)
	// Save writes the HardState, Entries and Snapshot of a Ready, and returns
	// once they are durable.
	Save(Ready) error
	// Compact replaces the saved entries up to the snapshot's index by the
	// snapshot, and returns once it is durable. Later entries stay.
	Compact(Snapshot) error
}

// BootstrapState returns the initial state of the first replica of a new group.
// It is the only voter, and other replicas join as learners. data is the
// application's state, for example from a backup, and index the log index that
// this state reflects, at least 1. A group is bootstrapped once, on one
// replica; every further bootstrap creates another group.
func BootstrapState(first Member, index uint64, data []byte) PersistentState {
	first.Learner = false
	index = max(index, 1)
	return PersistentState{
		HardState: HardState{Term: 1, Commit: index},
		Snapshot:  Snapshot{Index: index, Term: 1, Members: Members{first}, Data: data},
	}
}

// BootstrapGroupState is like BootstrapState for a group that starts with
// several voters. Each of them has to be given the same members, index and data
// before any of them starts. Every ReplicaID in it must be new.
func BootstrapGroupState(members Members, index uint64, data []byte) PersistentState {
	s := BootstrapState(Member{}, index, data)
	s.Snapshot.Members = members
	return s
}

// MemoryStorage is a Storage in memory, for tests.
type MemoryStorage struct {
	saved PersistentState
}

// NewMemoryStorage returns a storage that contains s.
func NewMemoryStorage(s PersistentState) *MemoryStorage {
	s.Entries = append([]Entry(nil), s.Entries...)
	return &MemoryStorage{saved: s}
}

// Load returns a copy of the saved state.
func (m *MemoryStorage) Load() (PersistentState, error) {
	s := m.saved
	s.Entries = append([]Entry(nil), s.Entries...)
	return s, nil
}

// Save applies the writes of rd.
func (m *MemoryStorage) Save(rd Ready) error {
	if rd.HardState != nil {
		m.saved.HardState = *rd.HardState
	}
	if rd.Snapshot != nil {
		m.saved.Snapshot = *rd.Snapshot
		m.saved.Entries = nil
	}
	if len(rd.Entries) == 0 {
		return nil
	}
	kept := rd.Entries[0].Index - m.saved.Snapshot.Index - 1
	m.saved.Entries = append(m.saved.Entries[:kept], rd.Entries...)
	return nil
}

// Compact replaces the entries up to s.Index by s.
func (m *MemoryStorage) Compact(s Snapshot) error {
	drop := s.Index - m.saved.Snapshot.Index
	m.saved.Entries = append([]Entry(nil), m.saved.Entries[drop:]...)
	m.saved.Snapshot = s
	return nil
}
