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
func newDialer() *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probePeriod, Interval: probePeriod, Count: probeCount},
		Control:         boundUnacknowledged,
	}
}

// DialTCP opens a connection to an endpoint that notices when the endpoint's
// machine is gone.
func DialTCP(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	return newDialer().DialContext(ctx, "tcp", to.String())
}
