package node

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/schedule"
	"github.com/carawaystile/carawaystile/systems/membership"
)

// schedulerWarmUp is how long an instance that has just started does not choose for
// others: it receives all loads once a second.
const schedulerWarmUp = 1200 * time.Millisecond

// newScheduleClient makes the client that asks schedulers.
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

func (n *Node) sendSchedule(to netip.AddrPort, message *rpc.ScheduleMessage) {
	if joined := n.gossip.Load(); joined != nil {
		joined.SendSchedule(to, message)
	}
}

// schedulers lists those of the own zone; none where each instance chooses for itself.
func (n *Node) schedulers() []membership.EntryInstance {
	if joined := n.gossip.Load(); joined != nil {
		return joined.Schedulers()
	}
	return nil
}

// selectsEndpoints says whether this instance chooses endpoints: it is a scheduler, or each
// instance chooses for itself.
func (n *Node) selectsEndpoints() bool {
	schedulers := n.schedulers()
	return len(schedulers) == 0 || slices.ContainsFunc(schedulers, func(s membership.EntryInstance) bool {
		return s.Instance == n.options.Settings.Instance
	})
}

// isFirstScheduler says whether this instance is the first scheduler of its zone.
func (n *Node) isFirstScheduler() bool {
	schedulers := n.schedulers()
	return len(schedulers) > 0 && schedulers[0].Instance == n.options.Settings.Instance
}

// handleScheduleMessage takes a message between an entry instance and a scheduler.
func (n *Node) handleScheduleMessage(from membership.Sender, message *rpc.ScheduleMessage) {
	if n.entry == nil {
		return
	}
	number := message.GetNumber()
	switch {
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

// processorWeight weighs an instance against others by its processors, in hundredths.
func processorWeight(processors float64) int { return max(1, int(math.Round(100*processors))) }

// isWarmedUp says whether this instance has heard enough to choose for others.
func (n *Node) isWarmedUp() bool {
	known := n.initializedAt.Load()
	return known > 0 && n.now()-time.Duration(known) >= schedulerWarmUp
}
