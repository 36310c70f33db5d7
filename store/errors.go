package store

import (
	"errors"
	"fmt"
	"syscall"
)

// Damaged means that a file doesn't hold what was written and synced. The
// replica must not be used again; it is to be replaced by one with a new
// identity.
type Damaged struct {
	File string
	// Offset is the place in bytes.
	Offset int64
	Reason DamageReason
}

// DamageReason says how damage was noticed.
type DamageReason string

// The reasons.
const (
	DamageHeader   DamageReason = "the file header is not valid"
	DamageVersion  DamageReason = "the file was written by another version"
	DamageFrame    DamageReason = "a frame header doesn't match its checksum"
	DamagePayload  DamageReason = "the content doesn't match its checksum"
	DamageOrder    DamageReason = "frames are missing before this one"
	DamageGap      DamageReason = "log entries are missing before this one"
	DamageEncoding DamageReason = "the content can't be decoded"
	DamageLength   DamageReason = "the file has another length than it states"
	DamageMissing  DamageReason = "the file is missing"
)

// Error names the file, the place and the reason.
func (e *Damaged) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d: %s", e.File, e.Offset, e.Reason)
}

// NotInitialised means that the folder holds no log. It was never created there,
// or the disk was lost; in both cases the replica needs a new identity.
type NotInitialised struct {
	Dir string
}

// Error names the folder.
func (e *NotInitialised) Error() string { return fmt.Sprintf("%s holds no log", e.Dir) }

// AlreadyInitialised means that the folder holds a log, which is not replaced.
type AlreadyInitialised struct {
	Dir string
}

// Error names the folder.
func (e *AlreadyInitialised) Error() string { return fmt.Sprintf("%s holds a log already", e.Dir) }

// WrongIdentity means that the log belongs to another replica or group.
type WrongIdentity struct {
	Dir       string
	Want, Got Identity
}

// Error gives both identities.
func (e *WrongIdentity) Error() string {
	return fmt.Sprintf("%s belongs to replica %d of group %x, not to replica %d of group %x",
		e.Dir, e.Got.Replica, e.Got.Group, e.Want.Replica, e.Want.Group)
}

// Locked means that another process uses the folder.
type Locked struct {
	Dir string
}

// Error names the folder.
func (e *Locked) Error() string { return fmt.Sprintf("%s is used by another process", e.Dir) }

// Missing means that a small file was never written.
type Missing struct {
	File string
}

// Error names the file.
func (e *Missing) Error() string { return fmt.Sprintf("%s does not exist", e.File) }

// BadName means that a name can't be used for a small file.
type BadName struct {
	Name string
}

// Error names it.
func (e *BadName) Error() string { return fmt.Sprintf("%q can't be used as a file name", e.Name) }

// IOFailed means that the operating system refused an operation. A Log that
// returned it refuses all further writes with the same failure: after a failed
// sync the kernel may have dropped the data, and a second sync that succeeds
// says nothing about it.
type IOFailed struct {
	Op    Op
	File  string
	Cause error
}

// Op is an operation on files.
type Op string

// The operations.
const (
	OpOpen   Op = "open"
	OpRead   Op = "read"
	OpWrite  Op = "write"
	OpSync   Op = "sync"
	OpRename Op = "rename"
	OpRemove Op = "remove"
	OpLock   Op = "lock"
	OpMint   Op = "mint an identity for"
)

// Error gives the operation and its cause.
func (e *IOFailed) Error() string { return fmt.Sprintf("can't %s %s: %v", e.Op, e.File, e.Cause) }

// Unwrap gives the cause.
func (e *IOFailed) Unwrap() error { return e.Cause }

// IsFull says whether a failure shows that the disk had no room for a write. The
// log can then be opened again: what was written of the frame is cut off. After
// a failed sync it cannot be trusted like that, also for want of room.
func IsFull(err error) bool {
	var failure *IOFailed
	return errors.As(err, &failure) && failure.Op != OpSync && errors.Is(failure.Cause, syscall.ENOSPC)
}

// AlreadyLoaded means that Load was called again, or after a write.
type AlreadyLoaded struct {
	Dir string
}

// Error names the folder.
func (e *AlreadyLoaded) Error() string { return fmt.Sprintf("the log in %s was loaded already", e.Dir) }
