package daemon

import (
	"github.com/carawaystile/carawaystile/bufferbudget"
	"github.com/carawaystile/carawaystile/entry"
	"github.com/carawaystile/carawaystile/internal/callerconn"
)

const (
	// bodyMemoryDivisor is the inverse of the fraction of an instance's memory that the bytes of callers' bodies may
	// reach. They occupy twice that: each is read into a buffer that grows, beside its predecessor until the bytes
	// are copied. bufferMemoryDivisor is that of the budget of which headers have a part, callerMemoryDivisor
	// that of the connections of each listener, and connectionBytes the memory of one without its header.
	bodyMemoryDivisor   = 8
	bufferMemoryDivisor = 4
	callerMemoryDivisor = 3
	connectionBytes     = 24 << 10
)

// bodyBytes returns the bound of callers' bodies together. One of the largest size fits in any case.
func (d *Daemon) bodyBytes() int64 {
	if limits := d.options.Process.Limits; limits.MemoryBytes > 0 {
		return max(limits.MemoryBytes/bodyMemoryDivisor, limits.BodyBytes)
	}
	return entry.DefaultLimits().MaxBufferedBytes
}

// bufferBytes returns the budget of which headers have a part.
func (d *Daemon) bufferBytes() int64 {
	if memory := d.options.Process.Limits.MemoryBytes; memory > 0 {
		return memory / bufferMemoryDivisor
	}
	return entry.DefaultLimits().MaxBufferedBytes
}

// newConnections returns the connections of a listener. Their headers share a budget with those of the other listener.
func (d *Daemon) newConnections(name string, limit, headerBytes int) *callerconn.Connections {
	if memory := d.options.Process.Limits.MemoryBytes; memory > 0 {
		limit = min(limit, int(memory/callerMemoryDivisor/connectionBytes))
	}
	if d.buffers == nil {
		d.buffers = bufferbudget.New(d.bufferBytes())
	}
	return callerconn.New(callerconn.Options{
		Name: name, Max: limit, Budget: d.buffers,
		Limits:   func() callerconn.Limits { return callerconn.Limits{HeaderBytes: headerBytes} },
		Registry: d.registry, Log: d.options.Log, Now: d.now,
	})
}
