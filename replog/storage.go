package replog

// PersistentState is what a replica finds on its disk at start. The zero value is a
// replica without any state that waits to be added to a group as a learner.
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

// Storage keeps what a Node wants saved. Its methods are called by one
// goroutine at a time.
type Storage interface {
	// Load returns what was saved.
	Load() (PersistentState, error)
	// Save writes the HardState, Entries and Snapshot of a Ready, and returns
	// once they are durable.
	Save(Ready) error
	// Compact replaces the saved entries up to the snapshot's index by the
	// snapshot, and returns once that is durable. The entries after it stay.
	Compact(Snapshot) error
}

// BootstrapState returns the state that the first replica of a new group starts
// from: it is the only voter, and the others join as learners. data is the
// owner's state, for example from a backup, and index the log index that it
// stands for, at least 1. BootstrapState of one group is done once, on one replica;
// every further one makes another group.
func BootstrapState(first Member, index uint64, data []byte) PersistentState {
	first.Learner = false
	index = max(index, 1)
	return PersistentState{
		HardState: HardState{Term: 1, Commit: index},
		Snapshot:  Snapshot{Index: index, Term: 1, Members: Members{first}, Data: data},
	}
}

// BootstrapGroupState is like Bootstrap for a group that starts with several voters.
// Each of them has to be given the same members, index and data, before any of
// them is started. Only a ReplicaID that was never used before may be among
// them.
func BootstrapGroupState(members Members, index uint64, data []byte) PersistentState {
	s := BootstrapState(Member{}, index, data)
	s.Snapshot.Members = members
	return s
}

// MemoryStorage is a Storage in memory, for tests.
type MemoryStorage struct {
	saved PersistentState
}

// NewMemoryStorage returns a storage that holds s.
func NewMemoryStorage(s PersistentState) *MemoryStorage {
	s.Entries = append([]Entry(nil), s.Entries...)
	return &MemoryStorage{saved: s}
}

// Load returns what was saved.
func (m *MemoryStorage) Load() (PersistentState, error) {
	s := m.saved
	s.Entries = append([]Entry(nil), s.Entries...)
	return s, nil
}

// Save takes over the writes of rd.
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
