package schedule

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/internal/datagram"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// answerTimeout is how long the client waits for a scheduler's answer: a round trip
	// within a zone, plus the scheduling delay of a slow machine. After a timeout,
	// silentBackoff is how long the scheduler is not asked again; unreadyBackoff is the same
	// after an answer that the scheduler is not ready.
	answerTimeout  = 40 * time.Millisecond
	silentBackoff  = 500 * time.Millisecond
	unreadyBackoff = 200 * time.Millisecond
	// maxSchedulersAsked is the number of schedulers that are asked about one attempt.
	maxSchedulersAsked = 2
	// maxParts and maxTried keep a question within one datagram.
	maxParts = 40
	maxTried = 8
)

// ClientOptions configures a Client.
type ClientOptions struct {
	Self tables.InstanceID
	// BootEpoch tells apart the lives of the instance before and after a restart.
	BootEpoch uint64
	// Schedulers lists the schedulers in the zone. It is empty where each instance chooses
	// endpoints itself.
	Schedulers func() []membership.EntryInstance
	// Send sends a datagram, which may be lost.
	Send func(to netip.AddrPort, message *rpc.ScheduleMessage)
	// Now reads a monotonic clock.
	Now func() tables.Instant
	Log *zap.Logger
}

// Client asks schedulers for assignments. It is safe for concurrent use.
type Client struct {
	options  ClientOptions
	calls    *datagram.Correlator[*rpc.ScheduleAnswer]
	backoffs datagram.Backoffs
}

// NewClient returns a client that asks the given schedulers.
func NewClient(o ClientOptions) *Client {
	return &Client{options: o, calls: datagram.NewCorrelator[*rpc.ScheduleAnswer](o.BootEpoch)}
}

// Assignment is a scheduler's decision about one attempt. Its methods notify the scheduler
// of the attempt's progress; on a nil Assignment they do nothing. An Assignment is for use
// by one goroutine at a time.
type Assignment struct {
	// Choice is the chosen endpoint; it is set if Reason is empty.
	Choice dispatch.Decision
	// Reason says why no endpoint is available now.
	Reason dispatch.RejectReason
	// Wait is the time until the endpoints' queues are short enough, with the reason
	// dispatch.Saturated; 0 if the scheduler has not specified it.
	Wait time.Duration

	client    *Client
	scheduler netip.AddrPort
	number    uint64
	started   bool
}

// Ask asks a scheduler to choose an endpoint. It returns nil if the instance must choose
// locally: it is itself the scheduler of this request, no scheduler has answered in time, or
// the question does not fit into a datagram.
func (c *Client) Ask(ctx context.Context, r *dispatch.Request) *Assignment {
	if len(r.SharedParts) > maxParts || len(r.Tried) > maxTried {
		return nil
	}
	for range maxSchedulersAsked {
		scheduler, found := c.pickScheduler(schedulerKey(r))
		if !found || scheduler.Instance == c.options.Self {
			return nil
		}
		answer, number := c.askScheduler(ctx, scheduler, r)
		if answer.GetReady() {
			choice := decodeDecision(answer)
			choice.Scheduler = scheduler.Instance
			return &Assignment{
				Choice: choice, Reason: dispatch.RejectReason(answer.GetReason()), Wait: fromMilliseconds(answer.GetWaitMs()),
				client: c, scheduler: scheduler.Address, number: number,
			}
		}
		if ctx.Err() != nil {
			return nil
		}
		c.backOff(scheduler, answer == nil)
	}
	return nil
}

// schedulerKey returns the rendezvous hashing key that selects a request's scheduler.
// Requests that share their whole prompt prefix have the same scheduler.
func schedulerKey(r *dispatch.Request) uint64 {
	if len(r.SharedParts) == 0 {
		return uint64(r.ArrivedAt)
	}
	return uint64(r.SharedParts[len(r.SharedParts)-1].ID)
}

// pickScheduler returns the scheduler of a key, leaving out schedulers that are backed off.
func (c *Client) pickScheduler(key uint64) (membership.EntryInstance, bool) {
	now := c.options.Now()
	return datagram.PickRendezvous(key, c.options.Schedulers(), func(id tables.InstanceID) bool { return c.backoffs.IsBackingOff(id, now) })
}

// askScheduler asks one scheduler. The answer is nil if none came in time; the scheduler may have
// placed an attempt all the same, which is cancelled.
func (c *Client) askScheduler(ctx context.Context, s membership.EntryInstance, r *dispatch.Request) (*rpc.ScheduleAnswer, uint64) {
	answer, number, found := c.calls.Call(ctx, answerTimeout, func(number uint64) {
		c.options.Send(s.Address, &rpc.ScheduleMessage{Number: number, Question: encodeQuestion(c.options.Now(), r)})
	})
	if !found {
		c.cancelAssignment(s.Address, number)
	}
	return answer, number
}

// cancelAssignment has a scheduler stop counting an attempt that is never made.
func (c *Client) cancelAssignment(scheduler netip.AddrPort, number uint64) {
	unused := &Assignment{client: c, scheduler: scheduler, number: number}
	unused.NotifyEnded(dispatch.Cancelled)
}

// backOff stops asking a scheduler for a while, longer after a timeout than if it was not
// ready.
func (c *Client) backOff(s membership.EntryInstance, timedOut bool) {
	pause := unreadyBackoff
	if timedOut {
		pause = silentBackoff
		events.SchedulerTimedOut.Log(c.options.Log, zap.String("scheduler", string(s.Instance)))
	}
	now := c.options.Now()
	c.backoffs.BackOff(s.Instance, now, now+pause)
}

// HandleAnswer hands a scheduler's answer to the call that waits for it. If the call has
// timed out, HandleAnswer cancels the assignment: the scheduler may have made it after the
// cancellation at the timeout.
func (c *Client) HandleAnswer(from netip.AddrPort, number uint64, answer *rpc.ScheduleAnswer) {
	if c.calls.Deliver(number, answer) {
		return
	}
	if answer.GetEndpoint() != "" {
		c.cancelAssignment(from, number)
	}
}

// NotifyStarted notifies the scheduler that the endpoint has started to process the request.
// Only the first call sends a message.
func (a *Assignment) NotifyStarted() {
	if a == nil || a.started {
		return
	}
	a.started = true
	a.notify(&rpc.AttemptProgress{Began: true})
}

// NotifyEnded notifies the scheduler of how the attempt ended.
func (a *Assignment) NotifyEnded(end dispatch.Outcome) {
	a.notify(&rpc.AttemptProgress{Ended: true, End: uint32(end)})
}

func (a *Assignment) notify(progress *rpc.AttemptProgress) {
	if a != nil {
		a.client.options.Send(a.scheduler, &rpc.ScheduleMessage{Number: a.number, Progress: progress})
	}
}
