package store

import (
	"math/rand/v2"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"

	"github.com/carawaystile/carawaystile/replog"
)

// CreateLog creates the log of a new replica and returns once it is durable.
// The identity must be new, as from NewIdentity. The zero
// replog.PersistentState is a replica that waits to be added to its group.
// CreateLog fails with *LogExistsError or *IOError. After a crash either the
// complete log exists or none.
func (d *DataDir) CreateLog(id Identity, s replog.PersistentState) error {
	return trace.Wrap(createLog(d.fs, filepath.Join(d.dir, logDirName), id, s))
}

func createLog(fs fileSystem, dir string, id Identity, s replog.PersistentState) error {
	if _, err := os.Stat(dir); err == nil {
		return &LogExistsError{Dir: dir}
	}
	temp := dir + tempSuffix
	if err := fs.remove(temp); err != nil {
		return err
	}
	if err := os.Mkdir(temp, dirPerm); err != nil {
		return wrapIOError(OpOpen, temp, err)
	}
	if err := writeInitialLog(fs, temp, id, s); err != nil {
		return err
	}
	if err := fs.rename(temp, dir); err != nil {
		return err
	}
	return fs.syncDir(filepath.Dir(dir))
}

// writeInitialLog writes the identity, the snapshot and the first segment.
func writeInitialLog(fs fileSystem, dir string, id Identity, s replog.PersistentState) error {
	err := replaceFile(fs, filepath.Join(dir, identityName), encodeAtomic(encodeIdentity(id)))
	if err != nil {
		return err
	}
	l := &Log{dir: dir, fs: fs, seq: 1, hardState: s.HardState}
	if err := l.writeSnapshot(s.Snapshot); err != nil {
		return err
	}
	if err := l.rotate(record{hardState: s.HardState, entries: s.Entries}); err != nil {
		return err
	}
	return wrapIOError(OpWrite, dir, l.file.Close())
}

// Save writes the HardState, Entries and Snapshot of a Ready as one frame and
// returns once it is durable. After a failure the log rejects every further
// write with the same *IOError.
func (l *Log) Save(rd replog.Ready) error {
	if l.writeErr == nil && rd.MustSync {
		l.initialState = nil
		l.writeErr = l.save(rd)
	}
	return trace.Wrap(l.writeErr)
}

func (l *Log) save(rd replog.Ready) error {
	if rd.HardState != nil {
		l.hardState = *rd.HardState
	}
	r := record{hardState: l.hardState, entries: rd.Entries}
	if rd.Snapshot != nil {
		if err := l.writeSnapshot(*rd.Snapshot); err != nil {
			return err
		}
		r.reset = true
	}
	if r.reset || l.activeSegment().size >= l.segmentBytes {
		return l.rotate(r)
	}
	return l.appendFrame(r)
}

// Compact replaces the snapshot and removes the segments without later entries.
// It returns once the snapshot is durable.
func (l *Log) Compact(s replog.Snapshot) error {
	if l.writeErr == nil {
		l.initialState = nil
		l.writeErr = l.compact(s)
	}
	return trace.Wrap(l.writeErr)
}

func (l *Log) compact(s replog.Snapshot) error {
	if s.Index <= l.snapshotIndex {
		// A newer snapshot was received and saved in the meantime. Replacing it
		// by the older one would leave a gap before the entries.
		return nil
	}
	if err := l.writeSnapshot(s); err != nil {
		return err
	}
	if l.activeSegment().frames == 0 {
		// The hard state would otherwise be lost with the older segments.
		if err := l.appendFrame(record{hardState: l.hardState}); err != nil {
			return err
		}
	}
	return l.removeObsoleteSegments(s.Index)
}

// removeObsoleteSegments removes the segments without entries after index,
// oldest first, so that the remaining segments have no gap even if a crash
// interrupts the removal.
func (l *Log) removeObsoleteSegments(index uint64) error {
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

// writeSnapshot replaces the snapshot file.
func (l *Log) writeSnapshot(s replog.Snapshot) error {
	l.snapshotIndex = s.Index
	return replaceFile(l.fs, filepath.Join(l.dir, snapshotName), encodeAtomic(EncodeSnapshot(s)))
}

// activeSegment returns the last segment, which receives new frames.
func (l *Log) activeSegment() *segment { return &l.segments[len(l.segments)-1] }

// encodeFrame encodes a record as the next frame into the log's buffer, after
// prefix.
func (l *Log) encodeFrame(r record, salt uint32, prefix []byte) []byte {
	l.buf = append(l.buf[:0], prefix...)
	l.buf = append(l.buf, make([]byte, frameHeaderSize)...)
	l.buf = appendRecord(l.buf, r)
	writeFrameHeader(l.buf[len(prefix):], salt, l.seq)
	return l.buf
}

// appendFrame writes a record to the active segment and syncs it.
func (l *Log) appendFrame(r record) error {
	seg := l.activeSegment()
	b := l.encodeFrame(r, seg.salt, nil)
	if err := l.fs.write(l.file, b); err != nil {
		return err
	}
	if err := l.fs.sync(l.file); err != nil {
		return err
	}
	l.recordWrite(r, len(b))
	return nil
}

// rotate starts a new segment whose first frame contains the record.
func (l *Log) rotate(r record) error {
	salt := rand.Uint32()
	path := segmentPath(l.dir, l.seq)
	b := l.encodeFrame(r, salt, encodeSegmentHeader(salt))
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
	l.segments = append(l.segments, segment{path: path, firstSeq: l.seq, salt: salt})
	l.recordWrite(r, len(b))
	return nil
}

// recordWrite updates the log for a frame that is now durable.
func (l *Log) recordWrite(r record, size int) {
	l.seq++
	seg := l.activeSegment()
	seg.size += int64(size)
	seg.recordFrame(r)
}
