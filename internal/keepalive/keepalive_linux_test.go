package keepalive

import (
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// option returns a TCP option of a connection.
func option(t *testing.T, conn net.Conn, name int) int {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	value := 0
	assert.NilError(t, raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name) }))
	assert.NilError(t, err)
	return value
}

// Guards against a side of a connection that waits for a dead peer for longer or shorter than
// configured, because a TCP_USER_TIMEOUT ends the keep-alive probes or none ends retransmissions.
func TestBothSidesEndWithinTheSameTimeout(t *testing.T) {
	for _, c := range []Config{Peers, Clients} {
		listener, err := c.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
		assert.NilError(t, err)
		defer listener.Close()
		dialed, err := c.Dialer(netip.Addr{}).Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		defer dialed.Close()
		accepted, err := listener.Accept()
		assert.NilError(t, err)
		defer accepted.Close()
		for _, conn := range []net.Conn{dialed, accepted} {
			idle, interval, probes := option(t, conn, unix.TCP_KEEPIDLE), option(t, conn, unix.TCP_KEEPINTVL), option(t, conn, unix.TCP_KEEPCNT)
			assert.Equal(t, time.Duration(idle+probes*interval)*time.Second, c.Timeout())
			assert.Equal(t, time.Duration(option(t, conn, unix.TCP_USER_TIMEOUT))*time.Millisecond, c.Timeout())
		}
	}
}

// Guards against an endpoint that pauses for a second counting as dead.
func TestPeersMayBeSilentForSeconds(t *testing.T) {
	assert.Assert(t, Peers.Timeout() >= 3*time.Second)
}
