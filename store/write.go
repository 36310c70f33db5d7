package store

import (
	"math/rand/v2"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/replog"
)

// CreateLog creates the log of a new replica and returns once it is durable. The
// identity must never have been used before; MintIdentity makes one. The zero
// replog.Saved is a replica that waits to be added to its group. It fails with
// *AlreadyInitialised or *IOFailed. After a crash either the whole log is there
// or none.
func (f *DataDir) CreateLog(id Identity, s replog.PersistentState) error {
	return trace.Wrap(createLog(f.fs, filepath.Join(f.dir, logDirName), id, s))
}

func createLog(fs files, dir string, id Identity, s replog.PersistentState) error {
	if _, err := os.Stat(dir); err == nil {
		return &LogExistsError{Dir: dir}
	}
	temp := dir + tempSuffix
	if err := fs.remove(temp); err != nil {
		return err
	}
	if err := os.Mkdir(temp, dirPerm); err != nil {
		return failed(OpOpen, temp, err)
	}
	if err := fillLog(fs, temp, id, s); err != nil {
		return err
	}
	if err := fs.rename(temp, dir); err != nil {
		return err
	}
	return fs.syncDir(filepath.Dir(dir))
}

func fillLog(fs files, dir string, id Identity, s replog.PersistentState) error {
	err := replaceFile(fs, filepath.Join(dir, identityName), encodeAtomic(encodeIdentity(id)))
	if err != nil {
		return err
	}
	l := &Log{dir: dir, fs: fs, seq: 1, hard: s.HardState}
	if err := l.writeSnapshot(s.Snapshot); err != nil {
		return err
	}
	if err := l.rotate(record{hard: s.HardState, entries: s.Entries}); err != nil {
		return err
	}
	return failed(OpWrite, dir, l.file.Close())
}

// Save writes the HardState, Entries and Snapshot of a Ready as one frame and
// returns once it is durable. After a failure the log refuses every further
// write with the same *IOFailed.
func (l *Log) Save(rd replog.Ready) error {
	if l.failure == nil && rd.MustSync {
		l.loaded = nil
		l.failure = l.save(rd)
	}
	return trace.Wrap(l.failure)
}

func (l *Log) save(rd replog.Ready) error {
	if rd.HardState != nil {
		l.hard = *rd.HardState
	}
	r := record{hard: l.hard, entries: rd.Entries}
	if rd.Snapshot != nil {
		if err := l.writeSnapshot(*rd.Snapshot); err != nil {
			return err
		}
		r.reset = true
	}
	if r.reset || l.current().size >= l.segmentBytes {
		return l.rotate(r)
	}
	return l.appendFrame(r)
}

// Compact replaces the snapshot and removes the segments that hold nothing after
// it. It returns once the snapshot is durable.
func (l *Log) Compact(s replog.Snapshot) error {
	if l.failure == nil {
		l.loaded = nil
		l.failure = l.compact(s)
	}
	return trace.Wrap(l.failure)
}

func (l *Log) compact(s replog.Snapshot) error {
	if s.Index <= l.snapshotIndex {
		// A received snapshot that is newer was written in the meantime. The older
		// one in its place would leave a gap before the entries.
		return nil
	}
	if err := l.writeSnapshot(s); err != nil {
		return err
	}
	if l.current().frames == 0 {
		// The hard state would be lost with the older segments.
		if err := l.appendFrame(record{hard: l.hard}); err != nil {
			return err
		}
	}
	return l.removeUpTo(s.Index)
}

// removeUpTo removes the segments without entries after index, oldest first, so
// that what stays is without a gap also if a crash comes between.
func (l *Log) removeUpTo(index uint64) error {
	for len(l.segments) > 1 && l.segments[0].lastIndex <= index {
		if err := l.fs.remove(l.segments[0].path); err != nil {
			return err
		}
		if err := l.fs.syncDir(l.dir); err != nil {
			return err
		}
		l.segments = l.segments[1:]
	}
	return nil
}

func (l *Log) writeSnapshot(s replog.Snapshot) error {
	l.snapshotIndex = s.Index
	return replaceFile(l.fs, filepath.Join(l.dir, snapshotName), encodeAtomic(EncodeSnapshot(s)))
}

func (l *Log) current() *segment { return &l.segments[len(l.segments)-1] }

// frame encodes a record as the next frame into the log's buffer, after prefix.
func (l *Log) frame(r record, salt uint32, prefix []byte) []byte {
	l.buf = append(l.buf[:0], prefix...)
	l.buf = append(l.buf, make([]byte, frameHeaderSize)...)
	l.buf = appendRecord(l.buf, r)
	sealFrame(l.buf[len(prefix):], salt, l.seq)
	return l.buf
}

func (l *Log) appendFrame(r record) error {
	seg := l.current()
	b := l.frame(r, seg.salt, nil)
	if err := l.fs.write(l.file, b); err != nil {
		return err
	}
	if err := l.fs.sync(l.file); err != nil {
		return err
	}
	l.wrote(r, len(b))
	return nil
}

// rotate starts a new segment with a record.
func (l *Log) rotate(r record) error {
	salt := rand.Uint32()
	path := segmentPath(l.dir, l.seq)
	b := l.frame(r, salt, encodeSegmentHeader(salt))
	f, err := createFile(l.fs, path, b)
	if err != nil {
		return err
	}
	if err := l.fs.syncDir(l.dir); err != nil {
		f.Close()
		return err
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file = f
	l.segments = append(l.segments, segment{path: path, first: l.seq, salt: salt})
	l.wrote(r, len(b))
	return nil
}

func (l *Log) wrote(r record, size int) {
	l.seq++
	seg := l.current()
	seg.size += int64(size)
	seg.note(r)
}
