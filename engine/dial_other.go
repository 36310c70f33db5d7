//go:build !linux

package engine

import "syscall"

// setUserTimeout does nothing where the kernel has no TCP_USER_TIMEOUT; only the client's
// own timeouts apply.
func setUserTimeout(_, _ string, _ syscall.RawConn) error { return nil }
