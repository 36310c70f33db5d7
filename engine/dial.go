package engine

import (
	"context"
	"net"
	"net/netip"
	"time"
)

const (
	// deadPeerTimeout is how long an endpoint's machine may leave data
	// unacknowledged or probes unanswered.
	deadPeerTimeout = 4 * time.Second
	probePeriod     = time.Second
	probeCount      = int(deadPeerTimeout / probePeriod)
)

// newDialer opens TCP connections that notice when the endpoint's machine is
// gone: half-open connections, on which a call that is not streamed would
// otherwise wait for its whole timeout.
func newDialer(source netip.Addr) *net.Dialer {
	var local net.Addr
	if source.IsValid() {
		local = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	return &net.Dialer{
		LocalAddr:       local,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probePeriod, Interval: probePeriod, Count: probeCount},
		Control:         boundUnacknowledged,
	}
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, to netip.AddrPort) (net.Conn, error)

// DialTCP opens a connection to an endpoint that notices when the endpoint's
// machine is gone.
func DialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	return DialFrom(netip.Addr{})(ctx, to)
}

// DialFrom is DialTCP from an IP number of this machine. An invalid one leaves
// the choice to the machine.
func DialFrom(source netip.Addr) DialFunc {
	dialer := newDialer(source)
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", to.String())
	}
}
