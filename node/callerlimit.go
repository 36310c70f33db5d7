package node

import (
	"golang.org/x/sys/unix"

	"github.com/carawaystile/carawaystile/internal/callerconn"
	"github.com/carawaystile/carawaystile/internal/readlimit"
)

// connectionBytes is the memory of a connection without its header, in bytes.
const connectionBytes = 24 << 10

// connectionShare bounds the connections of a listener by fractions of an instance's resources.
type connectionShare struct {
	// memoryDivisor and descriptorDivisor are the inverses of the fractions of the memory and of the descriptors.
	memoryDivisor, descriptorDivisor int
	// most bounds the number; 0 for no bound.
	most int
}

// The listeners' shares. A quarter of the descriptors stays for connections to endpoints and other instances.
var (
	callerShare = connectionShare{memoryDivisor: 3, descriptorDivisor: 2}
	peerShare   = connectionShare{memoryDivisor: 8, descriptorDivisor: 8}
	// serviceShare is for a listener that few clients need: load balancers, scrapers and operators.
	serviceShare = connectionShare{memoryDivisor: 16, descriptorDivisor: 32, most: 128}
)

// connections returns the number of connections for an instance with the given memory.
func (c connectionShare) connections(memoryMB int) int {
	limit := memoryMB << 20 / c.memoryDivisor / connectionBytes
	var files unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err == nil {
		limit = int(min(uint64(limit), files.Cur/uint64(c.descriptorDivisor)))
	}
	if c.most > 0 {
		limit = min(limit, c.most)
	}
	return limit
}

// newConnections returns the connections of a listener. Their headers and those of the other listeners share a budget.
func (n *Node) newConnections(name string, share connectionShare, limits func() callerconn.Limits) *callerconn.Connections {
	return callerconn.New(callerconn.Options{
		Name: name, Max: share.connections(n.options.Settings.MemoryMB), Budget: n.buffers, Limits: limits, Registry: n.registry, Log: n.log, Now: n.now,
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
