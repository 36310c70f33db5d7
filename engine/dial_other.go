//go:build !linux

package engine

import "syscall"

// boundUnacknowledged does nothing where the kernel has no such bound; the
// client's own timeouts remain.
func boundUnacknowledged(_, _ string, _ syscall.RawConn) error { return nil }
