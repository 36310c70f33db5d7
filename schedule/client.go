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
	// answerTimeout is how long a scheduler may take: a round trip within a zone and
	// the time in which a slow machine gets to run. silentPause is how long one that
	// did not answer is not asked, and unreadyPause one that knows too little.
	answerTimeout  = 40 * time.Millisecond
	silentBackoff  = 500 * time.Millisecond
	unreadyBackoff = 200 * time.Millisecond
	// maxSchedulersAsked is how many schedulers are asked for one request.
	maxSchedulersAsked = 2
	// maxParts and maxTried keep a question within a datagram.
	maxParts = 40
	maxTried = 8
)

// ClientOptions set a Client up.
type ClientOptions struct {
	Self tables.InstanceID
	// BootEpoch differs between lives of the instance.
	BootEpoch uint64
	// Schedulers lists those of the zone; none where each instance chooses for itself.
	Schedulers func() []membership.EntryInstance
	Send       func(to netip.AddrPort, message *rpc.ScheduleMessage)
	// Now is a monotonic clock.
	Now func() tables.Instant
	Log *zap.Logger
}

// Client asks schedulers. It is safe for concurrent use.
type Client struct {
	options  ClientOptions
	calls    *datagram.Calls[*rpc.ScheduleAnswer]
	backoffs datagram.Silent
}

// NewClient returns a client.
func NewClient(o ClientOptions) *Client {
	return &Client{options: o, calls: datagram.NewCalls[*rpc.ScheduleAnswer](o.BootEpoch)}
}

// Assignment is what a scheduler has decided about one attempt. Its methods notify the
// scheduler of how the attempt goes on; the nil value notifies nobody. It is used by one
// goroutine at a time.
type Assignment struct {
	// Choice is set if Reason is empty.
	Choice dispatch.Decision
	// Reason says why there is no endpoint now.
	Reason dispatch.RejectReason

	client    *Client
	scheduler netip.AddrPort
	number    uint64
	started   bool
}

// Ask has a scheduler choose an endpoint. It returns nil if the instance has to choose
// locally: it is the scheduler of the request, or none has answered in time.
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
			return &Assignment{
				Choice: decodeChoice(answer), Reason: dispatch.RejectReason(answer.GetReason()),
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

// schedulerKey draws the scheduler of a request: requests that share their whole beginning
// have the same one.
func schedulerKey(r *dispatch.Request) uint64 {
	if len(r.SharedParts) == 0 {
		return uint64(r.ArrivedAt)
	}
	return uint64(r.SharedParts[len(r.SharedParts)-1].Name)
}

// pickScheduler returns the scheduler of a request of those that answer.
func (c *Client) pickScheduler(key uint64) (membership.EntryInstance, bool) {
	now := c.options.Now()
	return datagram.Pick(key, c.options.Schedulers(), func(id tables.InstanceID) bool { return c.backoffs.Left(id, now) })
}

// askScheduler asks one scheduler; a nil answer means that none came in time.
func (c *Client) askScheduler(ctx context.Context, s membership.EntryInstance, r *dispatch.Request) (*rpc.ScheduleAnswer, uint64) {
	answer, number, _ := c.calls.Ask(ctx, answerTimeout, func(number uint64) {
		c.options.Send(s.Address, &rpc.ScheduleMessage{Number: number, Question: encodeQuestion(c.options.Now(), r)})
	})
	return answer, number
}

// backOff asks others for a while.
func (c *Client) backOff(s membership.EntryInstance, silent bool) {
	pause := unreadyBackoff
	if silent {
		pause = silentBackoff
		events.SchedulerSilent.Log(c.options.Log, zap.String("scheduler", string(s.Instance)))
	}
	now := c.options.Now()
	c.backoffs.Leave(s.Instance, now, now+pause)
}

// HandleAnswer takes an answer. One that comes too late is given back: the scheduler must
// not go on counting an attempt that is not made.
func (c *Client) HandleAnswer(from netip.AddrPort, number uint64, answer *rpc.ScheduleAnswer) {
	if c.calls.Answered(number, answer) {
		return
	}
	if answer.GetEndpoint() != "" {
		late := &Assignment{client: c, scheduler: from, number: number}
		late.NotifyEnded(dispatch.Cancelled)
	}
}

// NotifyStarted notifies the scheduler that the endpoint works on the request. Later calls do
// nothing.
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
