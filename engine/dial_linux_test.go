package engine

import (
	"net"
	"net/netip"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/internal/keepalive"
)

// A machine loses its power in the middle of a call. No reset arrives, so only the
// kernel's timeouts end the connection. Packets cannot be dropped on loopback here, so
// the test only checks that the socket options are set.
func TestConnectionsDetectDeadPeers(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	c, err := DialTCP(t.Context(), netip.MustParseAddrPort(l.Addr().String()))
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	raw, err := c.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	for option, want := range map[int]int{
		unix.TCP_USER_TIMEOUT: int(keepalive.Peers.Timeout().Milliseconds()),
		unix.TCP_KEEPIDLE:     int(keepalive.Peers.Idle.Seconds()),
		unix.TCP_KEEPCNT:      keepalive.Peers.Probes,
	} {
		var got int
		assert.NilError(t, raw.Control(func(fd uintptr) {
			got, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
		}))
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
}
