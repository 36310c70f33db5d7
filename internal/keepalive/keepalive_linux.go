package keepalive

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// control sets TCP_USER_TIMEOUT, which connections inherit from their listener.
func (c Config) control(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(c.Timeout().Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
