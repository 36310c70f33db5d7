//go:build !linux

package keepalive

import "syscall"

// control does nothing where the kernel has no TCP_USER_TIMEOUT; only the probes and the timeouts
// of callers apply.
func (c Config) control(_, _ string, _ syscall.RawConn) error { return nil }
