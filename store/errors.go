package store

import (
	"errors"
	"fmt"
	"syscall"
)

// CorruptionError means that a file doesn't contain what was written and
// synced. The replica must not be used any more; it has to be replaced by one
// with a new identity.
type CorruptionError struct {
	// File is the path of the corrupt file.
	File string
	// Offset is the position of the corruption in bytes.
	Offset int64
	// Reason says how the corruption was detected.
	Reason CorruptionReason
}

// CorruptionReason says how a corruption was detected.
type CorruptionReason string

// The reasons of a CorruptionError.
const (
	CorruptHeader      CorruptionReason = "the file header is not valid"
	UnsupportedVersion CorruptionReason = "the file was written by another version"
	CorruptFrameHeader CorruptionReason = "a frame header doesn't match its checksum"
	ChecksumMismatch   CorruptionReason = "the content doesn't match its checksum"
	MissingFrames      CorruptionReason = "frames are missing before this one"
	MissingEntries     CorruptionReason = "log entries are missing before this one"
	UndecodableContent CorruptionReason = "the content can't be decoded"
	LengthMismatch     CorruptionReason = "the file length differs from the length in its header"
	MissingFile        CorruptionReason = "the file is missing"
)

// Error names the file, the offset and the reason.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s", e.File, e.Offset, e.Reason)
}

// NoLogError means that the data directory contains no log. Either none was
// created there or the disk was lost; in both cases the replica needs a new
// identity.
type NoLogError struct {
	Dir string
}

// Error names the directory.
func (e *NoLogError) Error() string { return fmt.Sprintf("%s holds no log", e.Dir) }

// LogExistsError means that the data directory already contains a log, which
// CreateLog doesn't replace.
type LogExistsError struct {
	Dir string
}

// Error names the directory.
func (e *LogExistsError) Error() string { return fmt.Sprintf("%s holds a log already", e.Dir) }

// IdentityMismatchError means that the log belongs to another replica or group.
type IdentityMismatchError struct {
	Dir       string
	Want, Got Identity
}

// Error gives the actual and the expected identity.
func (e *IdentityMismatchError) Error() string {
	return fmt.Sprintf("%s belongs to replica %d of group %x, not to replica %d of group %x",
		e.Dir, e.Got.Replica, e.Got.Group, e.Want.Replica, e.Want.Group)
}

// LockedError means that another process has locked the data directory.
type LockedError struct {
	Dir string
}

// Error names the directory.
func (e *LockedError) Error() string { return fmt.Sprintf("%s is used by another process", e.Dir) }

// NotFoundError means that an atomic file doesn't exist.
type NotFoundError struct {
	File string
}

// Error names the file.
func (e *NotFoundError) Error() string { return fmt.Sprintf("%s does not exist", e.File) }

// InvalidNameError means that a name is not allowed for an atomic file.
type InvalidNameError struct {
	Name string
}

// Error gives the name.
func (e *InvalidNameError) Error() string {
	return fmt.Sprintf("%q can't be used as a file name", e.Name)
}

// IOError means that the operating system failed an operation. A Log that
// returned an IOError rejects all later writes with the same error: after a
// failed sync the kernel may have dropped the data, and a second sync that
// succeeds doesn't show that the data is durable.
type IOError struct {
	Op    Op
	File  string
	Cause error
}

// Op is a file operation.
type Op string

// The file operations.
const (
	OpOpen             Op = "open"
	OpRead             Op = "read"
	OpWrite            Op = "write"
	OpSync             Op = "sync"
	OpRename           Op = "rename"
	OpRemove           Op = "remove"
	OpLock             Op = "lock"
	OpGenerateIdentity Op = "generate an identity for"
)

// Error gives the operation, the file and the cause.
func (e *IOError) Error() string { return fmt.Sprintf("can't %s %s: %v", e.Op, e.File, e.Cause) }

// Unwrap returns the cause.
func (e *IOError) Unwrap() error { return e.Cause }

// IsDiskFull reports whether err means that the disk had no room for a write.
// The log can then be reopened, which truncates the partial frame. A failed
// sync is never reported, even for lack of room, because the state of the data
// on the disk is then unknown.
func IsDiskFull(err error) bool {
	var failure *IOError
	return errors.As(err, &failure) && failure.Op != OpSync && errors.Is(failure.Cause, syscall.ENOSPC)
}

// AlreadyLoadedError means that Load was called a second time or after a write.
type AlreadyLoadedError struct {
	Dir string
}

// Error names the directory.
func (e *AlreadyLoadedError) Error() string {
	return fmt.Sprintf("the log in %s was loaded already", e.Dir)
}
