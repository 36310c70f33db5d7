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

// Log is the replicated log of one replica. It implements replog.Storage, and
// is used by one goroutine at a time.
type Log struct {
	dir      string
	fs       files
	identity Identity
	// segmentBytes is the size after which a new segment is started.
	segmentBytes int64
	segments     []segment
	// file is the last segment, open for appending.
	file *os.File
	hard replog.HardState
	// seq is the sequence number of the next frame.
	seq    uint64
	loaded *replog.PersistentState
	// snapshotIndex is the index of the snapshot on the disk.
	snapshotIndex uint64
	buf           []byte
	// failure is the first failed write; nothing is written after it.
	failure error
}

var _ replog.Storage = (*Log)(nil)

// OpenLog opens the log in the folder and reads it. Zero fields of want are not
// checked. It never creates a log: it fails with *NotInitialised if there is
// none, so that a replica that lost its disk doesn't start with an empty one
// under its old identity. It fails with *WrongIdentity, *Damaged or *IOFailed
// otherwise.
func (f *DataDir) OpenLog(want Identity) (*Log, error) {
	l, err := openLog(f.fs, filepath.Join(f.dir, logDirName), want)
	return l, trace.Wrap(err)
}

func openLog(fs files, dir string, want Identity) (*Log, error) {
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
	l.loaded = &saved
	l.hard = saved.HardState
	l.snapshotIndex = saved.Snapshot.Index
	if err := l.openLast(); err != nil {
		return nil, err
	}
	return l, nil
}

func (l *Log) readIdentity(want Identity) error {
	content, err := l.read(identityName)
	if err != nil {
		return err
	}
	id, ok := decodeIdentity(content)
	if !ok {
		return &CorruptionError{File: filepath.Join(l.dir, identityName), Reason: UndecodableContent}
	}
	l.identity = id
	if !want.allows(id) {
		return &IdentityMismatchError{Dir: l.dir, Want: want, Got: id}
	}
	return nil
}

// read returns a small file that must exist.
func (l *Log) read(name string) ([]byte, error) {
	content, err := readAtomic(l.dir, name)
	var missing *NotFoundError
	if errors.As(err, &missing) {
		return nil, &CorruptionError{File: missing.File, Reason: MissingFile}
	}
	return content, err
}

// Identity is whose log it is.
func (l *Log) Identity() Identity { return l.identity }

// Load returns what the replica goes on from. It is called before the first
// Save.
func (l *Log) Load() (replog.PersistentState, error) {
	if l.loaded == nil {
		return replog.PersistentState{}, trace.Wrap(&AlreadyLoadedError{Dir: l.dir})
	}
	s := *l.loaded
	l.loaded = nil
	return s, nil
}

// replay reads the snapshot and all segments.
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
	p := &replay{snapshot: snapshot}
	l.seq = l.segments[0].first
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
	content, err := l.read(snapshotName)
	if err != nil {
		return replog.Snapshot{}, err
	}
	s, err := DecodeSnapshot(content)
	if err != nil {
		return s, &CorruptionError{File: filepath.Join(l.dir, snapshotName), Reason: UndecodableContent}
	}
	return s, nil
}

func (l *Log) replaySegment(i int, p *replay) error {
	seg := &l.segments[i]
	content, err := os.ReadFile(seg.path)
	if err != nil {
		return failed(OpRead, seg.path, err)
	}
	if seg.first != l.seq {
		return &CorruptionError{File: seg.path, Reason: MissingFrames}
	}
	last := i == len(l.segments)-1
	s, damage := scanSegment(content, seg.first, last)
	if damage != nil {
		damage.File = seg.path
		return damage
	}
	seg.salt = s.salt
	seg.size = int64(s.end)
	for _, r := range s.records {
		if !p.add(r) {
			return &CorruptionError{File: seg.path, Reason: MissingEntries}
		}
		seg.note(r)
		l.seq++
	}
	if s.torn {
		return l.cut(i, s.end)
	}
	return nil
}

// cut removes a torn frame, or a segment whose header was not finished. Frames
// written after it would otherwise be lost behind it at the next start.
func (l *Log) cut(i, end int) error {
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
		return failed(OpOpen, path, err)
	}
	defer f.Close()
	if err := f.Truncate(int64(end)); err != nil {
		return failed(OpWrite, path, err)
	}
	return l.fs.sync(f)
}

func (l *Log) openLast() error {
	path := l.segments[len(l.segments)-1].path
	f, err := os.OpenFile(path, os.O_RDWR|os.O_APPEND, filePerm)
	if err != nil {
		return failed(OpOpen, path, err)
	}
	l.file = f
	return nil
}

// Close closes the files. Everything that was saved is durable already.
func (l *Log) Close() error {
	err := l.file.Close()
	if errors.Is(err, fs.ErrClosed) {
		return nil
	}
	return trace.Wrap(failed(OpWrite, l.file.Name(), err))
}
