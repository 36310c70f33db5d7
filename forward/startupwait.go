package forward

import (
	"context"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/carawaystile/carawaystile/metrics"
)

const (
	// startupTimeout bounds how long a request waits with Options.StartupWait. A request that
	// waits longer is late anyway and is better sent to another instance.
	startupTimeout = 500 * time.Millisecond
	// maxStartupWaits is the maximum number of requests that wait at once with
	// Options.StartupWait. It bounds the connections with unread bodies if no control instance
	// answers.
	maxStartupWaits = 64
	// startupCheckInterval is the interval at which a waiting request checks whether its client
	// is still connected and the instance is not stopping.
	startupCheckInterval = 25 * time.Millisecond
)

// startupWaitEnd says how a request ended that arrived before the first configuration and
// endpoints. It is a label of a metric.
type startupWaitEnd string

const (
	startupWaitInitialized  startupWaitEnd = "initialized"
	startupWaitTimeout      startupWaitEnd = "timeout"
	startupWaitFull         startupWaitEnd = "full"
	startupWaitDisconnected startupWaitEnd = "disconnected"
	startupWaitStopping     startupWaitEnd = "stopping"
)

// waitStartup waits for the first configuration and endpoints, at most Server.startupTimeout and among at
// most maxStartupWaits requests, and reports whether they have arrived. The body is not read
// meanwhile.
func (c *clientRequest) waitStartup() bool {
	s := c.server
	end := startupWaitFull
	if s.startupWaits.Add(1) <= maxStartupWaits {
		end = c.awaitStartup()
	}
	s.startupWaits.Add(-1)
	s.metrics.countStartupWait(end)
	return end == startupWaitInitialized
}

// awaitStartup waits until the instance is initialized or the wait has to end.
func (c *clientRequest) awaitStartup() startupWaitEnd {
	s := c.server
	timer := time.NewTimer(c.startupTimeout())
	defer timer.Stop()
	ticker := time.NewTicker(startupCheckInterval)
	defer ticker.Stop()
	for s.gate.State().Ready() {
		select {
		case <-s.initialized:
			return startupWaitInitialized
		case <-timer.C:
			return startupWaitTimeout
		case <-c.r.Context().Done():
			return startupWaitDisconnected
		case <-s.options.Context.Done():
			return startupWaitStopping
		case <-ticker.C:
			if isDisconnected(c.r.Context()) {
				return startupWaitDisconnected
			}
		}
	}
	return startupWaitStopping
}

// startupTimeout returns the longest wait of the request, which ends by the deadline that its client
// has set.
func (c *clientRequest) startupTimeout() time.Duration {
	if timeout, set := c.clientTimeout(); set {
		return min(c.server.startupTimeout, timeout)
	}
	return c.server.startupTimeout
}

// clientTimeout returns the client's timeout from the deadline header, and whether there is one.
func (c *clientRequest) clientTimeout() (timeout time.Duration, set bool) {
	milliseconds, err := strconv.ParseFloat(c.r.Header.Get(c.server.headers.Deadline), 64)
	return time.Duration(milliseconds * float64(time.Millisecond)), err == nil && milliseconds > 0
}

// isDisconnected reports whether the client has closed its connection. net/http detects this only
// once it has read the request's body. An unknown connection counts as open.
func isDisconnected(ctx context.Context) bool {
	conn, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	disconnected := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		disconnected = err == nil && info.State != unix.BPF_TCP_ESTABLISHED
	})
	return disconnected || err != nil
}

// countStartupWait counts a request that arrived before the first configuration and endpoints.
func (m *requestMetrics) countStartupWait(end startupWaitEnd) {
	if m != nil {
		m.registry.Counter("carawaystile_startup_waits_total", "Requests before the first configuration, by how their wait ended.",
			metrics.Label{Name: "end", Value: string(end)}).Inc(1)
	}
}
