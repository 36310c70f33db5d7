package store

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/gravitational/trace"
)

// castagnoli is the polynomial of CRC-32C, which processors compute.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// A small file is: magic (8 bytes, the last one the version), content length (8
// bytes), CRC-32C of both and the content (4 bytes), content. Numbers are
// little-endian.
const (
	atomicMagic      = "cwstile\x01"
	atomicHeaderSize = len(atomicMagic) + 8 + 4
)

// WriteAtomic replaces the file name in dir by data and returns once that is
// durable. After a crash the file has either the old or the new content. It
// fails with *BadName or *IOFailed. Calls for one name must not overlap.
func WriteAtomic(dir, name string, data []byte) error {
	return trace.Wrap(writeAtomic(osFiles{}, dir, name, data))
}

func writeAtomic(fs files, dir, name string, data []byte) error {
	if err := checkName(name); err != nil {
		return err
	}
	return replaceFile(fs, filepath.Join(dir, name), encodeAtomic(data))
}

// ReadAtomic returns what WriteAtomic wrote last. It fails with *Missing if the
// file doesn't exist, with *Damaged if it doesn't match its checksum, and with
// *BadName or *IOFailed.
func ReadAtomic(dir, name string) ([]byte, error) {
	data, err := readAtomic(dir, name)
	return data, trace.Wrap(err)
}

func readAtomic(dir, name string) ([]byte, error) {
	if err := checkName(name); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, name)
	content, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, &NotFoundError{File: path}
	}
	if err != nil {
		return nil, failed(OpRead, path, err)
	}
	data, damage := decodeAtomic(content)
	if damage != nil {
		damage.File = path
		return nil, damage
	}
	return data, nil
}

func checkName(name string) error {
	if name == "" || name != filepath.Base(name) || strings.HasPrefix(name, ".") ||
		strings.HasSuffix(name, tempSuffix) || name == lockName || name == logDirName {
		return &InvalidNameError{Name: name}
	}
	return nil
}

func encodeAtomic(data []byte) []byte {
	b := make([]byte, 0, atomicHeaderSize+len(data))
	b = append(b, atomicMagic...)
	b = binary.LittleEndian.AppendUint64(b, uint64(len(data)))
	sum := crc32.Update(crc32.Checksum(b, castagnoli), castagnoli, data)
	b = binary.LittleEndian.AppendUint32(b, sum)
	return append(b, data...)
}

func decodeAtomic(b []byte) ([]byte, *CorruptionError) {
	if len(b) < atomicHeaderSize {
		return nil, &CorruptionError{Reason: LengthMismatch}
	}
	if reason := checkMagic(b, atomicMagic); reason != "" {
		return nil, &CorruptionError{Reason: reason}
	}
	sumAt := len(atomicMagic) + 8
	data := b[atomicHeaderSize:]
	if binary.LittleEndian.Uint64(b[len(atomicMagic):]) != uint64(len(data)) {
		return nil, &CorruptionError{Offset: int64(len(atomicMagic)), Reason: LengthMismatch}
	}
	sum := crc32.Update(crc32.Checksum(b[:sumAt], castagnoli), castagnoli, data)
	if binary.LittleEndian.Uint32(b[sumAt:]) != sum {
		return nil, &CorruptionError{Offset: int64(sumAt), Reason: ChecksumMismatch}
	}
	return data, nil
}

// checkMagic tells a file of another version from one that is damaged.
func checkMagic(b []byte, magic string) CorruptionReason {
	last := len(magic) - 1
	switch {
	case string(b[:last]) != magic[:last]:
		return CorruptHeader
	case b[last] != magic[last]:
		return UnsupportedVersion
	}
	return ""
}
