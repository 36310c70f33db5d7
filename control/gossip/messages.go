package gossip

import (
	"net/netip"

	"github.com/carawaystile/carawaystile/rpc"
)

// SendSchedule sends a message between an entry instance and a scheduler.
func (g *Gossip) SendSchedule(to netip.AddrPort, message *rpc.ScheduleMessage) {
	g.mu.Lock()
	out := g.membership.EncodeSchedule(to, message)
	g.mu.Unlock()
	g.sendAll(out.Datagrams)
}

// SendUsage sends a message about the usage of organisations.
func (g *Gossip) SendUsage(to netip.AddrPort, message *rpc.UsageMessage) {
	g.mu.Lock()
	out := g.membership.EncodeUsage(to, message)
	g.mu.Unlock()
	g.sendAll(out.Datagrams)
}

// SendStreamOrigins sends origins of streams.
func (g *Gossip) SendStreamOrigins(to netip.AddrPort, message *rpc.StreamOrigins) {
	g.mu.Lock()
	out := g.membership.EncodeStreamOrigins(to, message)
	g.mu.Unlock()
	g.sendAll(out.Datagrams)
}
