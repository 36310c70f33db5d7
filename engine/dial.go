package engine

import (
	"context"
	"net"
	"net/netip"

	"github.com/carawaystile/carawaystile/internal/keepalive"
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// DialTCP opens a connection to an endpoint with dead peer detection.
func DialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	return DialFrom(netip.Addr{})(ctx, to)
}

// DialFrom returns a DialFunc like DialTCP that binds to a local IP address. If source is
// invalid, the kernel chooses the address.
func DialFrom(source netip.Addr) DialFunc {
	dialer := keepalive.Peers.Dialer(source)
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", to.String())
	}
}
