package engine

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// boundUnacknowledged makes the kernel give a connection up when sent data
// stays unacknowledged for deadPeerTimeout. By default it goes on for a quarter
// of an hour: a request to a machine that lost its power would hang until the
// caller's deadline, though nobody is there to run it.
func boundUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deadPeerTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
