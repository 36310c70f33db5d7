package node

import (
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/schedule"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// schedulerWarmUp is the time after initialisation during which an instance does not select
// endpoints for others. Within it all loads arrive, since each is sent once a second.
const schedulerWarmUp = 1200 * time.Millisecond

// newScheduleClient creates the client that asks schedulers to select endpoints.
func (n *Node) newScheduleClient() *schedule.Client {
	n.scheduleClient = schedule.NewClient(schedule.ClientOptions{
		Self:       n.options.Settings.Instance,
		BootEpoch:  n.boot,
		Schedulers: n.schedulers,
		Send:       n.sendSchedule,
		Now:        n.now,
		Log:        n.log,
	})
	return n.scheduleClient
}

// sendSchedule sends a message of the scheduling protocol.
func (n *Node) sendSchedule(to netip.AddrPort, message *rpc.ScheduleMessage) {
	if joined := n.gossip.Load(); joined != nil {
		joined.SendSchedule(to, message)
	}
}

// schedulers returns the schedulers of this instance's zone, best first. There are none if
// each instance selects endpoints locally.
func (n *Node) schedulers() []membership.EntryInstance {
	if joined := n.gossip.Load(); joined != nil {
		return joined.Schedulers()
	}
	return nil
}

// selectsEndpoints reports whether this instance selects endpoints: either it is a
// scheduler, or there are no schedulers and each instance selects locally.
func (n *Node) selectsEndpoints() bool {
	schedulers := n.schedulers()
	return len(schedulers) == 0 || slices.ContainsFunc(schedulers, func(s membership.EntryInstance) bool {
		return s.Instance == n.options.Settings.Instance
	})
}

// isFirstScheduler reports whether this instance is the first scheduler of its zone.
func (n *Node) isFirstScheduler() bool {
	schedulers := n.schedulers()
	return len(schedulers) > 0 && schedulers[0].Instance == n.options.Settings.Instance
}

// handleScheduleMessage handles a message of the scheduling protocol. An instance that has not
// warmed up yet returns an empty answer to a question.
func (n *Node) handleScheduleMessage(from membership.Sender, message *rpc.ScheduleMessage) {
	if n.entry == nil {
		return
	}
	number := message.GetNumber()
	switch {
	case message.GetPermitRequest() != nil:
		permit := n.permitServer.Request(from.Instance, number, message.GetPermitRequest())
		n.sendSchedule(from.Address, &rpc.ScheduleMessage{Number: number, Permit: permit})
	case message.GetPermit() != nil:
		n.permitClient.HandleAnswer(from.Address, number, message.GetPermit())
	case message.GetPermitRelease() != nil:
		n.permitServer.Release(from.Instance, number, message.GetPermitRelease())
	case message.GetAnswer() != nil:
		n.scheduleClient.HandleAnswer(from.Address, number, message.GetAnswer())
	case message.GetProgress() != nil:
		n.scheduleServer.HandleProgress(from.Instance, number, message.GetProgress())
	case message.GetQuestion() != nil:
		answer := &rpc.ScheduleAnswer{}
		if n.isWarmedUp() {
			answer = n.scheduleServer.Choose(from.Instance, number, message.GetQuestion())
		}
		n.sendSchedule(from.Address, &rpc.ScheduleMessage{Number: number, Answer: answer})
	}
}

// processorWeight returns the weight of an instance relative to others: its number of
// processors in hundredths.
func processorWeight(processors float64) int { return max(1, int(math.Round(100*processors))) }

// isWarmedUp reports whether this instance has received enough load information to select
// endpoints for others.
func (n *Node) isWarmedUp() bool {
	initializedAt := n.initializedAt.Load()
	return initializedAt > 0 && n.now()-time.Duration(initializedAt) >= schedulerWarmUp
}

// processRecord holds the boot epoch of each member's process. It is used by handleMembersChanged only.
type processRecord map[tables.InstanceID]uint64

// observe records the processes of the members, and returns those members whose earlier process has
// ended: they are dead, have left or have started again.
func (p processRecord) observe(members []membership.Member) map[tables.InstanceID]bool {
	ended := map[tables.InstanceID]bool{}
	for _, m := range members {
		boot, known := p[m.Instance]
		if m.State >= membership.Dead || known && boot != m.Boot {
			ended[m.Instance] = true
		}
		p[m.Instance] = m.Boot
	}
	maps.DeleteFunc(p, func(id tables.InstanceID, _ uint64) bool {
		return !slices.ContainsFunc(members, func(m membership.Member) bool { return m.Instance == id })
	})
	return ended
}

// endAttemptsOfLostInstances has the scheduler forget the attempts of processes that have ended.
func (n *Node) endAttemptsOfLostInstances(members []membership.Member) {
	ended := n.processes.observe(members)
	n.scheduleServer.EndAttemptsOf(func(id tables.InstanceID) bool { return ended[id] })
}
