package store

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/gravitational/trace"
)

// olderSuffix names the file of a journal's older generation.
const olderSuffix = ".older"

// Journal is an append-only file of records in two generations. Rotate drops the older one. After a
// crash it has all records of the generations up to a point, and at least those of the calls to
// Append that returned. It is not safe for concurrent use.
//
// A file consists of frames as in the write-ahead log, with sequence numbers from 0 and without a salt.
type Journal struct {
	fs   fileSystem
	path string
	file *os.File
	// size is the length in bytes of the valid frames, and seq the number of the next one.
	size int64
	seq  uint64
	// torn is set after a failed write until what it left is removed.
	torn bool
	// named is set once the file's name is durable. Opening a journal waits for no sync, so that a disk
	// that hangs does not delay the start of an instance.
	named bool
}

// OpenJournal opens the journal of that name, or creates it, and returns the records that it has,
// oldest first. A torn last record is dropped. It fails with *InvalidNameError or *IOError.
func (d *DataDir) OpenJournal(name string) (*Journal, [][]byte, error) {
	j, records, err := openJournal(d.fs, d.dir, name)
	return j, records, trace.Wrap(err)
}

func openJournal(fs fileSystem, dir, name string) (*Journal, [][]byte, error) {
	if err := validateName(name); err != nil {
		return nil, nil, err
	}
	j := &Journal{fs: fs, path: filepath.Join(dir, name)}
	records, _, err := readJournal(j.path + olderSuffix)
	if err != nil {
		return nil, nil, err
	}
	newer, size, err := readJournal(j.path)
	if err != nil {
		return nil, nil, err
	}
	j.size, j.seq = size, uint64(len(newer))
	if j.file, err = os.OpenFile(j.path, os.O_RDWR|os.O_CREATE|os.O_APPEND, filePerm); err != nil {
		return nil, nil, wrapIOError(OpOpen, j.path, err)
	}
	if err := j.truncate(); err != nil {
		return nil, nil, errors.Join(err, j.Close())
	}
	return j, append(records, newer...), nil
}

// readJournal returns the valid records of a file and their length in bytes; none if there is no
// file.
func readJournal(path string) (records [][]byte, size int64, err error) {
	content, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, wrapIOError(OpRead, path, err)
	}
	for rest := content; ; {
		h, ok := decodeFrameHeader(rest, 0)
		end := frameHeaderSize + h.length
		if !ok || end > len(rest) || h.seq != uint64(len(records)) || payloadChecksum(rest[frameHeaderSize:end], 0) != h.sum {
			return records, size, nil
		}
		records = append(records, rest[frameHeaderSize:end])
		rest, size = rest[end:], size+int64(end)
	}
}

// Append writes a record and returns once it is durable. After a failure, which is an *IOError,
// further records can be appended once the disk works again.
func (j *Journal) Append(payload []byte) error { return trace.Wrap(j.append(payload)) }

func (j *Journal) append(payload []byte) error {
	if j.torn {
		if err := j.truncate(); err != nil {
			return err
		}
	}
	frame := make([]byte, frameHeaderSize, frameHeaderSize+len(payload))
	frame = append(frame, payload...)
	writeFrameHeader(frame, 0, j.seq)
	j.torn = true
	if err := j.fs.write(j.file, frame); err != nil {
		return err
	}
	if err := j.fs.sync(j.file); err != nil {
		return err
	}
	if !j.named {
		if err := j.fs.syncDir(filepath.Dir(j.path)); err != nil {
			return err
		}
		j.named = true
	}
	j.torn = false
	j.size, j.seq = j.size+int64(len(frame)), j.seq+1
	return nil
}

// truncate removes what follows the valid frames.
func (j *Journal) truncate() error {
	if err := j.file.Truncate(j.size); err != nil {
		return wrapIOError(OpWrite, j.path, err)
	}
	j.torn = false
	return nil
}

// Rotate starts a new generation and drops the one before the current. It fails with an *IOError; the
// current generation then stays in use.
func (j *Journal) Rotate() error { return trace.Wrap(j.rotate()) }

func (j *Journal) rotate() error {
	dir, older := filepath.Dir(j.path), j.path+olderSuffix
	if err := j.fs.rename(j.path, older); err != nil {
		return err
	}
	// The dropped file's name must be gone for good before a new file can take its place on the disk.
	if err := j.fs.syncDir(dir); err != nil {
		return errors.Join(err, j.fs.rename(older, j.path))
	}
	file, err := os.OpenFile(j.path, os.O_RDWR|os.O_CREATE|os.O_APPEND, filePerm)
	if err != nil {
		return errors.Join(wrapIOError(OpOpen, j.path, err), j.fs.rename(older, j.path))
	}
	before := j.file
	j.file, j.size, j.seq, j.torn, j.named = file, 0, 0, false, false
	return errors.Join(j.fs.sync(file), wrapIOError(OpWrite, j.path, before.Close()))
}

// Close closes the file. All records that were appended are durable.
func (j *Journal) Close() error { return trace.Wrap(wrapIOError(OpWrite, j.path, j.file.Close())) }
