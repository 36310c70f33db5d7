package engine

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// setUserTimeout sets TCP_USER_TIMEOUT, after which the kernel closes a connection whose
// sent data stays unacknowledged, to deadPeerTimeout. By default the kernel retransmits
// for a quarter of an hour: a request to a machine that lost its power would hang until
// the caller's deadline, although it cannot run.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deadPeerTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
