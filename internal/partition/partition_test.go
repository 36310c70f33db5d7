package partition

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a simulated partition that does not behave like packet loss: between
// two zones packets are dropped in both directions without an error, within a zone
// traffic goes on, and a connection that lost bytes is reset when the partition heals.
func TestPartitionDropsSilentlyAndHeals(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	at := netip.MustParseAddrPort(l.Addr().String())
	n := New()
	n.SetZone(at.String(), "far")
	arrived := make(chan byte, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			var b [1]byte
			if _, err := c.Read(b[:]); err == nil {
				arrived <- b[0]
			}
			_ = c.Close()
		}
	}()
	c, err := n.Dialer("near")(t.Context(), "tcp", at.String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()

	n.Isolate("far")
	written, err := c.Write([]byte("lost"))
	assert.NilError(t, err)
	assert.Equal(t, written, len("lost"))
	assert.Assert(t, !n.Reaches("near")(at))
	assert.Assert(t, n.Reaches("far")(at))
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	_, err = n.Dialer("near")(ctx, "tcp", at.String())
	assert.Assert(t, err != nil)
	assert.Equal(t, len(arrived), 0)

	n.Heal()
	assert.Assert(t, n.Reaches("near")(at))
	_, err = c.Write([]byte{'x'})
	assert.Assert(t, err != nil, "a connection that lost bytes was not reset")
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	again, err := n.Dialer("near")(t.Context(), "tcp", at.String())
	assert.NilError(t, err)
	defer func() { _ = again.Close() }()
	_, err = again.Write([]byte{'y'})
	assert.NilError(t, err)
	assert.Equal(t, <-arrived, byte('y'))
}
