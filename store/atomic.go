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

// castagnoli is the polynomial of CRC-32C, for which processors have
// instructions.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// An atomic file consists of a magic (8 bytes, the last one is the version),
// the content length (8 bytes), the CRC-32C of the magic, the length and the
// content (4 bytes), and the content. Numbers are little-endian.
const (
	atomicMagic      = "cwstile\x01"
	atomicHeaderSize = len(atomicMagic) + 8 + 4
)

// WriteAtomic replaces the file name in dir by data and returns once that is
// durable. After a crash the file has either the old or the new content. It
// fails with *InvalidNameError or *IOError. Calls for the same name must not
// overlap.
func WriteAtomic(dir, name string, data []byte) error {
	return trace.Wrap(writeAtomic(osFileSystem{}, dir, name, data))
}

func writeAtomic(fs fileSystem, dir, name string, data []byte) error {
	if err := validateName(name); err != nil {
		return err
	}
	return replaceFile(fs, filepath.Join(dir, name), encodeAtomic(data))
}

// ReadAtomic returns the data of the last WriteAtomic. It fails with
// *NotFoundError if the file doesn't exist, with *CorruptionError if it doesn't
// match its checksum, and otherwise with *InvalidNameError or *IOError.
func ReadAtomic(dir, name string) ([]byte, error) {
	data, err := readAtomic(dir, name)
	return data, trace.Wrap(err)
}

func readAtomic(dir, name string) ([]byte, error) {
	if err := validateName(name); err != nil {
		return nil, err
	}
	path := filepath.Join(dir, name)
	content, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, &NotFoundError{File: path}
	}
	if err != nil {
		return nil, wrapIOError(OpRead, path, err)
	}
	data, corruption := decodeAtomic(content)
	if corruption != nil {
		corruption.File = path
		return nil, corruption
	}
	return data, nil
}

// validateName rejects names that are not plain file names or that the data
// directory uses itself.
func validateName(name string) error {
	if name == "" || name != filepath.Base(name) || strings.HasPrefix(name, ".") ||
		strings.HasSuffix(name, tempSuffix) || name == lockName || name == logDirName {
		return &InvalidNameError{Name: name}
	}
	return nil
}

// encodeAtomic adds the header of an atomic file to data.
func encodeAtomic(data []byte) []byte {
	b := make([]byte, 0, atomicHeaderSize+len(data))
	b = append(b, atomicMagic...)
	b = binary.LittleEndian.AppendUint64(b, uint64(len(data)))
	sum := crc32.Update(crc32.Checksum(b, castagnoli), castagnoli, data)
	b = binary.LittleEndian.AppendUint32(b, sum)
	return append(b, data...)
}

// decodeAtomic returns the data of an atomic file after checking its header.
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

// checkMagic distinguishes a file of another version from a corrupt one.
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
