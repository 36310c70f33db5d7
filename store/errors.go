package store

import (
	"errors"
	"fmt"
	"syscall"
)

// CorruptionError means that a file doesn't hold what was written and synced. The
// replica must not be used again; it is to be replaced by one with a new
// identity.
type CorruptionError struct {
	File string
	// Offset is the place in bytes.
	Offset int64
	Reason CorruptionReason
}

// CorruptionReason says how damage was noticed.
type CorruptionReason string

// The reasons.
const (
	CorruptHeader      CorruptionReason = "the file header is not valid"
	UnsupportedVersion CorruptionReason = "the file was written by another version"
	CorruptFrameHeader CorruptionReason = "a frame header doesn't match its checksum"
	ChecksumMismatch   CorruptionReason = "the content doesn't match its checksum"
	MissingFrames      CorruptionReason = "frames are missing before this one"
	MissingEntries     CorruptionReason = "log entries are missing before this one"
	UndecodableContent CorruptionReason = "the content can't be decoded"
	LengthMismatch     CorruptionReason = "the file has another length than it states"
	MissingFile        CorruptionReason = "the file is missing"
)

// Error names the file, the place and the reason.
func (e *CorruptionError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s", e.File, e.Offset, e.Reason)
}

// NoLogError means that the folder holds no log. It was never created there,
// or the disk was lost; in both cases the replica needs a new identity.
type NoLogError struct {
	Dir string
}

// Error names the folder.
func (e *NoLogError) Error() string { return fmt.Sprintf("%s holds no log", e.Dir) }

// LogExistsError means that the folder holds a log, which is not replaced.
type LogExistsError struct {
	Dir string
}

// Error names the folder.
func (e *LogExistsError) Error() string { return fmt.Sprintf("%s holds a log already", e.Dir) }

// IdentityMismatchError means that the log belongs to another replica or group.
type IdentityMismatchError struct {
	Dir       string
	Want, Got Identity
}

// Error gives both identities.
func (e *IdentityMismatchError) Error() string {
	return fmt.Sprintf("%s belongs to replica %d of group %x, not to replica %d of group %x",
		e.Dir, e.Got.Replica, e.Got.Group, e.Want.Replica, e.Want.Group)
}

// LockedError means that another process uses the folder.
type LockedError struct {
	Dir string
}

// Error names the folder.
func (e *LockedError) Error() string { return fmt.Sprintf("%s is used by another process", e.Dir) }

// NotFoundError means that a small file was never written.
type NotFoundError struct {
	File string
}

// Error names the file.
func (e *NotFoundError) Error() string { return fmt.Sprintf("%s does not exist", e.File) }

// InvalidNameError means that a name can't be used for a small file.
type InvalidNameError struct {
	Name string
}

// Error names it.
func (e *InvalidNameError) Error() string {
	return fmt.Sprintf("%q can't be used as a file name", e.Name)
}

// IOError means that the operating system refused an operation. A Log that
// returned it refuses all further writes with the same failure: after a failed
// sync the kernel may have dropped the data, and a second sync that succeeds
// says nothing about it.
type IOError struct {
	Op    Op
	File  string
	Cause error
}

// Op is an operation on files.
type Op string

// The operations.
const (
	OpOpen             Op = "open"
	OpRead             Op = "read"
	OpWrite            Op = "write"
	OpSync             Op = "sync"
	OpRename           Op = "rename"
	OpRemove           Op = "remove"
	OpLock             Op = "lock"
	OpGenerateIdentity Op = "mint an identity for"
)

// Error gives the operation and its cause.
func (e *IOError) Error() string { return fmt.Sprintf("can't %s %s: %v", e.Op, e.File, e.Cause) }

// Unwrap gives the cause.
func (e *IOError) Unwrap() error { return e.Cause }

// IsDiskFull says whether a failure shows that the disk had no room for a write. The
// log can then be opened again: what was written of the frame is cut off. After
// a failed sync it cannot be trusted like that, also for want of room.
func IsDiskFull(err error) bool {
	var failure *IOError
	return errors.As(err, &failure) && failure.Op != OpSync && errors.Is(failure.Cause, syscall.ENOSPC)
}

// AlreadyLoadedError means that Load was called again, or after a write.
type AlreadyLoadedError struct {
	Dir string
}

// Error names the folder.
func (e *AlreadyLoadedError) Error() string {
	return fmt.Sprintf("the log in %s was loaded already", e.Dir)
}
