package node

import (
	"golang.org/x/sys/unix"

	"github.com/carawaystile/carawaystile/internal/callerconn"
	"github.com/carawaystile/carawaystile/internal/readlimit"
)

const (
	// callerMemoryDivisor is the inverse of the fraction of an instance's memory that callers'
	// connections may occupy, and connectionBytes is the memory of one without its header.
	callerMemoryDivisor = 3
	connectionBytes     = 24 << 10
	// peerConnectionDivisor is the inverse of the same fraction for connections of other instances.
	peerConnectionDivisor = 8
	// maxServiceConnections is the limit for a listener that few clients need: load balancers, scrapers and operators.
	maxServiceConnections = 128
)

// maxConnections returns the number of connections whose memory is a fraction of an instance's memory. Half of the
// process's descriptors stay for other connections.
func maxConnections(memoryMB, divisor int) int {
	limit := memoryMB << 20 / divisor / connectionBytes
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err == nil {
		limit = int(min(uint64(limit), files.Cur/2))
	}
	return limit
}

// newConnections returns the connections of a listener. Their headers and those of the other listeners share a budget.
func (n *Node) newConnections(name string, limit int, limits func() callerconn.Limits) *callerconn.Connections {
	return callerconn.New(callerconn.Options{
		Name: name, Max: limit, Budget: n.buffers, Limits: limits, Registry: n.registry, Log: n.log, Now: n.now,
	})
}

// headerLimits returns the limits of listeners that operators do not configure.
func headerLimits() callerconn.Limits { return callerconn.Limits{HeaderBytes: readlimit.HeaderBytes} }

// callerLimits returns the operators' limits for callers.
func (n *Node) callerLimits() callerconn.Limits {
	limits := headerLimits()
	if table := n.entry.Configuration(); table != nil {
		limits.HeaderTimeout, limits.IdleTimeout = table.Limits.HeaderTimeout, table.Limits.IdleTimeout
		if bytes := table.Limits.HeaderBytes; bytes > 0 {
			limits.HeaderBytes = min(limits.HeaderBytes, bytes)
		}
	}
	return limits
}
