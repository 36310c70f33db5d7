package store

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/replog"
)

const (
	logDirName   = "log"
	identityName = "identity"
	snapshotName = "snapshot"
	// defaultSegmentBytes is the size after which a new segment is started.
	defaultSegmentBytes = 8 << 20
)

// Log is the write-ahead log and the snapshot of one replica. It implements
// replog.Storage and is not safe for concurrent use.
type Log struct {
	dir      string
	fs       fileSystem
	identity Identity
	// segmentBytes is the size in bytes after which a new segment is started.
	segmentBytes int64
	segments     []segment
	// file is the last segment, opened for appending.
	file      *os.File
	hardState replog.HardState
	// seq is the sequence number of the next frame.
	seq          uint64
	initialState *replog.PersistentState
	// snapshotIndex is the index of the saved snapshot.
	snapshotIndex uint64
	buf           []byte
	// writeErr is the error of the first failed write; nothing is written after
	// it.
	writeErr error
}

var _ replog.Storage = (*Log)(nil)

// OpenLog opens the log in the directory and reads it. Zero fields of want are
// not checked. OpenLog never creates a log: it fails with *NoLogError if there
// is none, so that a replica that lost its disk doesn't restart with an empty
// log under its old identity. Other failures are *IdentityMismatchError,
// *CorruptionError or *IOError.
func (d *DataDir) OpenLog(want Identity) (*Log, error) {
	l, err := openLog(d.fs, filepath.Join(d.dir, logDirName), want)
	return l, trace.Wrap(err)
}

func openLog(fs fileSystem, dir string, want Identity) (*Log, error) {
	if _, err := os.Stat(dir); os.IsNotExist(err) {
		return nil, &NoLogError{Dir: dir}
	}
	l := &Log{dir: dir, fs: fs, segmentBytes: defaultSegmentBytes}
	if err := l.readIdentity(want); err != nil {
		return nil, err
	}
	saved, err := l.replay()
	if err != nil {
		return nil, err
	}
	l.initialState = &saved
	l.hardState = saved.HardState
	l.snapshotIndex = saved.Snapshot.Index
	if err := l.openLastSegment(); err != nil {
		return nil, err
	}
	return l, nil
}

// readIdentity reads the identity of the log and compares it with the expected
// one.
func (l *Log) readIdentity(want Identity) error {
	content, err := l.readRequired(identityName)
	if err != nil {
		return err
	}
	id, ok := decodeIdentity(content)
	if !ok {
		return &CorruptionError{File: filepath.Join(l.dir, identityName), Reason: UndecodableContent}
	}
	l.identity = id
	if !want.matches(id) {
		return &IdentityMismatchError{Dir: l.dir, Want: want, Got: id}
	}
	return nil
}

// readRequired returns an atomic file whose absence is a corruption of the log.
func (l *Log) readRequired(name string) ([]byte, error) {
	content, err := readAtomic(l.dir, name)
	var missing *NotFoundError
	if errors.As(err, &missing) {
		return nil, &CorruptionError{File: missing.File, Reason: MissingFile}
	}
	return content, err
}

// Identity returns the replica and the group that the log belongs to.
func (l *Log) Identity() Identity { return l.identity }

// Load returns the state that the replica restarts from, once it is durable. It
// must be called before the first write and at most once; otherwise it fails with
// *AlreadyLoadedError. It fails with *IOError if the state can't be synced.
func (l *Log) Load() (replog.PersistentState, error) {
	if l.initialState == nil {
		return replog.PersistentState{}, trace.Wrap(&AlreadyLoadedError{Dir: l.dir})
	}
	if err := l.syncRecovered(); err != nil {
		return replog.PersistentState{}, trace.Wrap(err)
	}
	s := *l.initialState
	l.initialState = nil
	return s, nil
}

// syncRecovered makes durable what replay has read. A process that was killed
// between a write and its sync leaves content that a power loss would remove,
// although the replica votes and acknowledges on the strength of it after its
// restart. Only the last segment and the names in the two directories can be
// affected, since everything else is synced before the next write.
func (l *Log) syncRecovered() error {
	if err := l.fs.sync(l.file); err != nil {
		return err
	}
	if err := l.fs.syncDir(l.dir); err != nil {
		return err
	}
	return l.fs.syncDir(filepath.Dir(l.dir))
}

// replay recovers the persistent state from the snapshot and all segments.
func (l *Log) replay() (replog.PersistentState, error) {
	snapshot, err := l.readSnapshot()
	if err != nil {
		return replog.PersistentState{}, err
	}
	l.segments, err = listSegments(l.dir)
	if err != nil {
		return replog.PersistentState{}, err
	}
	if len(l.segments) == 0 {
		return replog.PersistentState{}, &CorruptionError{File: l.dir, Reason: MissingFile}
	}
	p := &recovery{snapshot: snapshot}
	l.seq = l.segments[0].firstSeq
	for i := 0; i < len(l.segments); i++ {
		if err := l.replaySegment(i, p); err != nil {
			return replog.PersistentState{}, err
		}
	}
	saved, ok := p.result()
	if !ok {
		return saved, &CorruptionError{File: l.segments[0].path, Reason: MissingEntries}
	}
	return saved, nil
}

func (l *Log) readSnapshot() (replog.Snapshot, error) {
	content, err := l.readRequired(snapshotName)
	if err != nil {
		return replog.Snapshot{}, err
	}
	s, err := DecodeSnapshot(content)
	if err != nil {
		return s, &CorruptionError{File: filepath.Join(l.dir, snapshotName), Reason: UndecodableContent}
	}
	return s, nil
}

// replaySegment applies the records of segment i and truncates a torn last
// write.
func (l *Log) replaySegment(i int, p *recovery) error {
	seg := &l.segments[i]
	content, err := os.ReadFile(seg.path)
	if err != nil {
		return wrapIOError(OpRead, seg.path, err)
	}
	if seg.firstSeq != l.seq {
		return &CorruptionError{File: seg.path, Reason: MissingFrames}
	}
	last := i == len(l.segments)-1
	s, corruption := scanSegment(content, seg.firstSeq, last)
	if corruption != nil {
		corruption.File = seg.path
		return corruption
	}
	seg.salt = s.salt
	seg.size = int64(s.end)
	for _, r := range s.records {
		if !p.apply(r) {
			return &CorruptionError{File: seg.path, Reason: MissingEntries}
		}
		seg.recordFrame(r)
		l.seq++
	}
	if s.torn {
		return l.truncateTorn(i, s.end)
	}
	return nil
}

// truncateTorn removes a torn frame, or a last segment with an unfinished
// header. Frames that are written after a torn frame would be lost at the next
// start.
func (l *Log) truncateTorn(i, end int) error {
	path := l.segments[i].path
	if end == 0 && i > 0 {
		l.segments = l.segments[:i]
		if err := l.fs.remove(path); err != nil {
			return err
		}
		return l.fs.syncDir(l.dir)
	}
	if end == 0 {
		return &CorruptionError{File: path, Reason: CorruptHeader}
	}
	f, err := os.OpenFile(path, os.O_RDWR, filePerm)
	if err != nil {
		return wrapIOError(OpOpen, path, err)
	}
	defer f.Close()
	if err := f.Truncate(int64(end)); err != nil {
		return wrapIOError(OpWrite, path, err)
	}
	return l.fs.sync(f)
}

// openLastSegment opens the last segment for appending.
func (l *Log) openLastSegment() error {
	path := l.segments[len(l.segments)-1].path
	f, err := os.OpenFile(path, os.O_RDWR|os.O_APPEND, filePerm)
	if err != nil {
		return wrapIOError(OpOpen, path, err)
	}
	l.file = f
	return nil
}

// Close closes the log. All saved state is already durable.
func (l *Log) Close() error {
	err := l.file.Close()
	if errors.Is(err, fs.ErrClosed) {
		return nil
	}
	return trace.Wrap(wrapIOError(OpWrite, l.file.Name(), err))
}
