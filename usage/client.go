package usage

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/internal/datagram"
	"github.com/carawaystile/carawaystile/internal/wait"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// replyTimeout is how long the client waits for an owner's reply: a round trip within a
	// zone, plus the scheduling delay of a slow machine. After a timeout, silentBackoff is
	// how long the owner is not asked again.
	replyTimeout  = 40 * time.Millisecond
	silentBackoff = 500 * time.Millisecond
	// sweepInterval is the interval between two sweeps of idle limiters.
	sweepInterval = 10 * time.Second
	// settlingInterval is the interval at which a request that waits while the instance is settling
	// is decided about again.
	settlingInterval = 20 * time.Millisecond
)

// Basis is what a decision is based on. Its values are written to logs and metrics.
type Basis string

// Bases of decisions.
const (
	// ByLease: a lease covers the request.
	ByLease Basis = "lease"
	// ByOwner: the owner of the subject's bucket decided.
	ByOwner Basis = "accountant"
	// ByCachedRefusal: the owner refused another request a moment ago.
	ByCachedRefusal Basis = "refusal"
	// ByLocalShare: no owner replies, and the instance decides from its own share of the
	// limit.
	ByLocalShare Basis = "own share"
	// ByNoOwner: no owner replies, and the limit is strict.
	ByNoOwner Basis = "nobody"
	// ByNoLimit: the subject has no limit.
	ByNoLimit Basis = "no limit"
)

// Decision is the outcome of a rate limit check for one request.
type Decision struct {
	Admitted bool
	// RetryAfter is the delay after which a refused caller should retry.
	RetryAfter time.Duration
	Basis      Basis
	// Level is the level of the bucket in the owner's last reply, which came LevelAge ago. It
	// is negative if the bucket is overdrawn.
	Level    int64
	LevelAge time.Duration
}

// ClientOptions configures a Client.
type ClientOptions struct {
	Self tables.InstanceID
	Zone tables.Zone
	// BootEpoch tells apart the lives of the instance before and after a restart.
	BootEpoch uint64
	// Server holds the buckets that this instance owns itself.
	Server *Server
	// EntriesByZone lists the live entry instances in each zone. InstanceCount returns the
	// number of entry instances that share the limits, including those that a network
	// partition has cut off.
	EntriesByZone func() map[tables.Zone][]membership.EntryInstance
	InstanceCount func() int
	// Send sends a datagram, which may be lost.
	Send func(to netip.AddrPort, message *rpc.UsageMessage)
	// Settling reports whether the instance knows too few others to pick the owners that they
	// pick; nil for never. StartedAt is when the process started, on the clock of Now.
	Settling  func() bool
	StartedAt tables.Instant
	// Now reads a monotonic clock.
	Now func() tables.Instant
	Log *zap.Logger
}

// Client checks requests against the rate limits of their subjects. It is safe for
// concurrent use.
type Client struct {
	options  ClientOptions
	calls    *datagram.Correlator[*rpc.UsageAnswer]
	backoffs datagram.Backoffs

	mu       sync.Mutex
	limiters map[Subject]*LocalLimiter
	sweptAt  tables.Instant
}

// NewClient returns a client without limiters.
func NewClient(o ClientOptions) *Client {
	if o.Settling == nil {
		o.Settling = func() bool { return false }
	}
	return &Client{
		options: o, calls: datagram.NewCorrelator[*rpc.UsageAnswer](o.BootEpoch), limiters: map[Subject]*LocalLimiter{},
	}
}

// subjectHash returns the key of a subject's rendezvous hash.
func subjectHash(id Subject) uint64 { return xxhash.Sum64String(string(id)) }

// Admit decides about a request of the given cost, and counts the cost if the request is
// admitted. It waits at most for replyTimeout.
func (c *Client) Admit(ctx context.Context, id Subject, limit Limit, cost int64) Decision {
	if !limit.Limited() {
		return Decision{Admitted: true, Basis: ByNoLimit}
	}
	if !limit.Strict {
		if decision := c.admitWhileSettling(ctx, id, limit, cost); decision.Admitted {
			return decision
		}
	}
	switch verdict, retryAfter := c.check(id, cost); verdict {
	case Admit:
		c.reportUse(id)
		return c.withLevel(id, Decision{Admitted: true, Basis: ByLease})
	case Reject:
		return c.withLevel(id, Decision{RetryAfter: retryAfter, Basis: ByCachedRefusal})
	}
	if reply, replied := c.askOwner(ctx, id, limit, cost); replied {
		return c.withLevel(id, Decision{Admitted: reply.Admitted, RetryAfter: reply.RetryAfter, Basis: ByOwner})
	}
	if limit.Strict {
		return c.withLevel(id, Decision{RetryAfter: silentBackoff, Basis: ByNoOwner})
	}
	return c.admitWithoutOwner(id, limit, cost)
}

// admitWhileSettling decides without an owner while the instance is settling, and reports the use
// to the instance that seems to be the owner: the owners of other zones learn of it that way. A
// request that the instance's part does not cover waits: after a restart of all instances most
// callers have used up their retries, and settling ends within a second. It returns a decision
// that does not admit the request once an owner can be asked.
func (c *Client) admitWhileSettling(ctx context.Context, id Subject, limit Limit, cost int64) Decision {
	for c.options.Settling() {
		if decision := c.admitWithoutOwner(id, limit, cost); decision.Admitted {
			c.reportUse(id)
			return decision
		}
		if wait.For(ctx, settlingInterval) != nil {
			break
		}
	}
	return Decision{}
}

// ReportSettlingUse reports what was admitted while the instance was settling and no owner has
// received yet. It returns false if nothing is left to report.
func (c *Client) ReportSettlingUse() (left bool) {
	c.mu.Lock()
	var subjects []Subject
	for id, l := range c.limiters {
		if l.settlingUse != 0 && l.unreported != 0 {
			subjects = append(subjects, id)
		}
	}
	c.mu.Unlock()
	for _, id := range subjects {
		c.reportUse(id)
	}
	return len(subjects) > 0
}

// Charge counts use that needs no admission: another attempt of a request, or, with a
// negative amount, a request that did not run.
func (c *Client) Charge(id Subject, limit Limit, amount int64) {
	if !limit.Limited() || amount == 0 {
		return
	}
	c.mu.Lock()
	c.limiter(id).Charge(c.options.Now(), amount)
	c.mu.Unlock()
	c.reportUse(id)
}

// limiter returns the limiter of a subject and creates it if there is none. The caller holds
// mu.
func (c *Client) limiter(id Subject) *LocalLimiter {
	now := c.options.Now()
	if now-c.sweptAt > sweepInterval {
		c.sweptAt = now
		for other, l := range c.limiters {
			if l.Idle(now) {
				delete(c.limiters, other)
			}
		}
	}
	l := c.limiters[id]
	if l == nil {
		l = &LocalLimiter{}
		c.limiters[id] = l
	}
	return l
}

// check decides from a lease or a cached refusal.
func (c *Client) check(id Subject, cost int64) (Verdict, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limiter(id).Check(c.options.Now(), cost)
}

// admitWithoutOwner decides from this instance's share of the limit.
func (c *Client) admitWithoutOwner(id Subject, limit Limit, cost int64) Decision {
	c.mu.Lock()
	admitted, retryAfter := c.limiter(id).AdmitWithoutOwner(c.options.Now(), c.options.StartedAt, limit, c.options.InstanceCount(), c.phase(id), cost)
	c.mu.Unlock()
	return c.withLevel(id, Decision{Admitted: admitted, RetryAfter: retryAfter, Basis: ByLocalShare})
}

// phase returns a number from 0 to 1 that differs between instances, their starts and subjects.
func (c *Client) phase(id Subject) float64 {
	hash := xxhash.Sum64String(string(c.options.Self) + "/" + string(id))
	return float64(placement.Mix64(hash^c.options.BootEpoch)>>11) / (1 << 53)
}

// withLevel adds the last known level of the bucket to a decision.
func (c *Client) withLevel(id Subject, d Decision) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.limiter(id); l.replied {
		d.Level, d.LevelAge = l.level, c.options.Now()-l.repliedAt
	}
	return d
}

// askOwner asks the owner to decide about a request; replied is false if no usable reply
// came.
func (c *Client) askOwner(ctx context.Context, id Subject, limit Limit, cost int64) (reply DebitReply, replied bool) {
	owner, found := c.pickOwner(id)
	if !found {
		return DebitReply{}, false
	}
	d := c.newDebit(id, cost)
	if limit.Strict {
		d.Limit = limit
	}
	if owner.Instance == c.options.Self {
		reply = c.options.Server.Debit(membership.Sender{Instance: c.options.Self, Address: owner.Address}, d)
		return c.applyReply(d, reply)
	}
	got, _, found := c.calls.Call(ctx, replyTimeout, func(number uint64) {
		c.options.Send(owner.Address, &rpc.UsageMessage{Number: number, Debit: encodeDebit(d)})
	})
	if found && got.GetReady() {
		return c.applyReply(d, decodeReply(got))
	}
	c.rollBack(d)
	if ctx.Err() == nil {
		now := c.options.Now()
		c.backoffs.BackOff(owner.Instance, now, now+silentBackoff)
		events.UsageOwnerTimedOut.Log(c.options.Log, zap.String("accountant", string(owner.Instance)), zap.Bool("answered", found))
	}
	return DebitReply{}, false
}

// reportUse reports unreported use to the owner and applies the reply when it arrives. It
// does not block. After a lost message the use goes into the next debit.
func (c *Client) reportUse(id Subject) {
	owner, found := c.pickOwner(id)
	if !found {
		return
	}
	d := c.newDebit(id, 0)
	if owner.Instance == c.options.Self {
		reply := c.options.Server.Debit(membership.Sender{Instance: c.options.Self, Address: owner.Address}, d)
		_, _ = c.applyReply(d, reply)
		return
	}
	go func() {
		got, _, replied := c.calls.Call(context.Background(), replyTimeout, func(number uint64) {
			c.options.Send(owner.Address, &rpc.UsageMessage{Number: number, Debit: encodeDebit(d)})
		})
		if replied && got.GetReady() {
			_, _ = c.applyReply(d, decodeReply(got))
			return
		}
		c.rollBack(d)
	}()
}

// pickOwner returns the owner in this zone unless it is backed off.
func (c *Client) pickOwner(id Subject) (membership.EntryInstance, bool) {
	now := c.options.Now()
	return reachableOwner(id, c.options.EntriesByZone()[c.options.Zone], func(owner tables.InstanceID) bool {
		return c.backoffs.IsBackingOff(owner, now)
	})
}

// reachableOwner returns a subject's owner among the entry instances of a zone unless it is
// backed off. It returns no other instance instead: that one would open a bucket of its own
// while the owner goes on admitting requests, and each would use the whole limit. Only
// membership replaces an owner.
func reachableOwner(id Subject, entries []membership.EntryInstance, isBackingOff func(tables.InstanceID) bool) (membership.EntryInstance, bool) {
	owner, found := pickOwnerOf(id, entries)
	return owner, found && !isBackingOff(owner.Instance)
}

// newDebit returns a debit that takes the unreported use along.
func (c *Client) newDebit(id Subject, cost int64) Debit {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limiter(id).NewDebit(c.options.Now(), id, cost)
}

// rollBack restores the unreported use of a debit without reply.
func (c *Client) rollBack(d Debit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter(d.Subject).RollBack(c.options.Now(), d)
}

// applyReply applies a reply to its limiter, or rolls the debit back if the owner was not
// ready.
func (c *Client) applyReply(d Debit, reply DebitReply) (DebitReply, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !reply.Ready {
		c.limiter(d.Subject).RollBack(c.options.Now(), d)
		return reply, false
	}
	if d.Cost == 0 && c.options.Settling() {
		// The use is reported. Another instance may be the owner later.
		return reply, true
	}
	c.limiter(d.Subject).ApplyReply(c.options.Now(), d, reply)
	return reply, true
}

// HandleReply hands an owner's reply to the call that waits for it.
func (c *Client) HandleReply(number uint64, reply *rpc.UsageAnswer) {
	c.calls.Deliver(number, reply)
}

// RevokeLease ends this instance's lease, as its owner has asked.
func (c *Client) RevokeLease(id Subject) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.limiters[id]; l != nil {
		l.RevokeLease(c.options.Now())
	}
}

// HandleMessage dispatches a message of another instance to the client or the server.
func (c *Client) HandleMessage(from membership.Sender, message *rpc.UsageMessage) {
	switch {
	case message.GetAnswer() != nil:
		c.HandleReply(message.GetNumber(), message.GetAnswer())
	case message.GetDebit() != nil:
		reply := c.options.Server.Debit(from, decodeDebit(message.GetDebit()))
		c.options.Send(from.Address, &rpc.UsageMessage{Number: message.GetNumber(), Answer: encodeReply(reply)})
	case message.GetLeaseEnded() != "":
		c.RevokeLease(Subject(message.GetLeaseEnded()))
	default:
		c.options.Server.HandleReports(from, message.GetReports())
	}
}
