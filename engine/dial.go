package engine

import (
	"context"
	"net"
	"net/netip"
	"time"
)

const (
	// deadPeerTimeout is how long a peer may leave sent data unacknowledged or keepalive
	// probes unanswered before the kernel closes the connection.
	deadPeerTimeout   = 4 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = int(deadPeerTimeout / keepAliveInterval)
)

// newDialer returns a dialer for TCP connections that detect a dead peer by keepalive
// probes and TCP_USER_TIMEOUT. A half-open connection would otherwise block a call
// without a stream for its whole timeout. A valid source is the local IP address.
func newDialer(source netip.Addr) *net.Dialer {
	var local net.Addr
	if source.IsValid() {
		local = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return &net.Dialer{
		LocalAddr:       local,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setUserTimeout,
	}
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// DialTCP opens a connection to an endpoint with dead peer detection.
func DialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	return DialFrom(netip.Addr{})(ctx, to)
}

// DialFrom returns a DialFunc like DialTCP that binds to a local IP address. If source is
// invalid, the kernel chooses the address.
func DialFrom(source netip.Addr) DialFunc {
	dialer := newDialer(source)
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", to.String())
	}
}
