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

// scheduleSettle is how long an instance that has just started does not choose for
// others: it receives all loads once a second.
const scheduleSettle = 1200 * time.Millisecond

// startScheduling makes the client that asks schedulers.
func (n *Node) startScheduling() *schedule.Client {
	n.scheduling = schedule.NewClient(schedule.ClientOptions{
		Self:       n.options.Settings.Instance,
		BootEpoch:  n.boot,
		Schedulers: n.schedulers,
		Send:       n.sendSchedule,
		Now:        n.now,
		Log:        n.log,
	})
	return n.scheduling
}

func (n *Node) sendSchedule(to netip.AddrPort, message *rpc.ScheduleMessage) {
	if joined := n.members.Load(); joined != nil {
		joined.SendSchedule(to, message)
	}
}

// schedulers lists those of the own zone; none where each instance chooses for itself.
func (n *Node) schedulers() []membership.EntryInstance {
	if joined := n.members.Load(); joined != nil {
		return joined.Schedulers()
	}
	return nil
}

// choosesItself says whether this instance chooses endpoints: it is a scheduler, or each
// instance chooses for itself.
func (n *Node) choosesItself() bool {
	schedulers := n.schedulers()
	return len(schedulers) == 0 || slices.ContainsFunc(schedulers, func(s membership.EntryInstance) bool {
		return s.Instance == n.options.Settings.Instance
	})
}

// leadsSchedulers says whether this instance is the first scheduler of its zone.
func (n *Node) leadsSchedulers() bool {
	schedulers := n.schedulers()
	return len(schedulers) > 0 && schedulers[0].Instance == n.options.Settings.Instance
}

// scheduleMessage takes a message between an entry instance and a scheduler.
func (n *Node) scheduleMessage(from membership.Sender, message *rpc.ScheduleMessage) {
	if n.entry == nil {
		return
	}
	number := message.GetNumber()
	switch {
	case message.GetAnswer() != nil:
		n.scheduling.HandleAnswer(from.Address, number, message.GetAnswer())
	case message.GetProgress() != nil:
		n.schedules.HandleProgress(from.Instance, number, message.GetProgress())
	case message.GetQuestion() != nil:
		answer := &rpc.ScheduleAnswer{}
		if n.settled() {
			answer = n.schedules.Choose(from.Instance, number, message.GetQuestion())
		}
		n.sendSchedule(from.Address, &rpc.ScheduleMessage{Number: number, Answer: answer})
	}
}

// sizeOf weighs an instance against others by its processors, in hundredths.
func sizeOf(processors float64) int { return max(1, int(math.Round(100*processors))) }

// settled says whether this instance has heard enough to choose for others.
func (n *Node) settled() bool {
	known := n.knownAt.Load()
	return known > 0 && n.now()-time.Duration(known) >= scheduleSettle
}
