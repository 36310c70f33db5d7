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
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// replyTimeout is how long an accountant may take: a round trip within a zone and
	// the time in which a slow machine gets to run. silentPause is how long one that did
	// not answer is not asked.
	replyTimeout  = 40 * time.Millisecond
	silentBackoff = 500 * time.Millisecond
	// maxOwnersAsked is how many accountants are asked for one request.
	maxOwnersAsked = 2
	// sweepInterval is the time between two looks for meters that are not in use.
	sweepInterval = 10 * time.Second
)

// Basis says what a decision rests on.
type Basis string

// What decisions rest on.
const (
	ByLease Basis = "lease"
	ByOwner Basis = "accountant"
	// ByCachedRefusal: the accountant has refused others a moment ago.
	ByCachedRefusal Basis = "refusal"
	// ByLocalShare: no accountant answers, and the instance keeps to its own part.
	ByLocalShare Basis = "own share"
	// ByNoOwner: no accountant answers, and the limit is strict.
	ByNoOwner Basis = "nobody"
	// ByNoLimit: the subject has none.
	ByNoLimit Basis = "no limit"
)

// Decision is about one request.
type Decision struct {
	Admitted bool
	// RetryAfter is when a refused caller had better come back.
	RetryAfter time.Duration
	Basis      Basis
	// Level is what was left of the burst when an accountant last answered, LevelAge ago.
	Level    int64
	LevelAge time.Duration
}

// ClientOptions set a Client up.
type ClientOptions struct {
	Self tables.InstanceID
	Zone tables.Zone
	// BootEpoch tells lives of the instance apart.
	BootEpoch uint64
	// Server keeps the accounts that fall to this instance.
	Server *Server
	// EntriesByZone lists the living entry instances of each zone, and Instances says how many
	// of them share limits, those that are cut off included.
	EntriesByZone func() map[tables.Zone][]membership.EntryInstance
	InstanceCount func() int
	Send          func(to netip.AddrPort, message *rpc.UsageMessage)
	// Now is a monotonic clock.
	Now func() tables.Instant
	Log *zap.Logger
}

// Client decides whether requests are within the limits of their subjects. It is
// safe for concurrent use.
type Client struct {
	options  ClientOptions
	calls    *datagram.Calls[*rpc.UsageAnswer]
	backoffs datagram.Silent

	mu       sync.Mutex
	limiters map[Subject]*LocalLimiter
	sweptAt  tables.Instant
}

// NewClient returns a client.
func NewClient(o ClientOptions) *Client {
	return &Client{
		options: o, calls: datagram.NewCalls[*rpc.UsageAnswer](o.BootEpoch), limiters: map[Subject]*LocalLimiter{},
	}
}

func subjectHash(id Subject) uint64 { return xxhash.Sum64String(string(id)) }

// Admit decides about a request of the given cost, and counts it if it is admitted.
func (c *Client) Admit(ctx context.Context, id Subject, limit Limit, cost int64) Decision {
	if !limit.Limited() {
		return Decision{Admitted: true, Basis: ByNoLimit}
	}
	switch verdict, retryAfter := c.check(id, cost); verdict {
	case Admit:
		c.reportUse(id)
		return c.withLevel(id, Decision{Admitted: true, Basis: ByLease})
	case Reject:
		return c.withLevel(id, Decision{RetryAfter: retryAfter, Basis: ByCachedRefusal})
	}
	for range maxOwnersAsked {
		reply, replied := c.askOwner(ctx, id, limit, cost)
		if replied {
			return c.withLevel(id, Decision{Admitted: reply.Admitted, RetryAfter: reply.RetryAfter, Basis: ByOwner})
		}
		if ctx.Err() != nil {
			break
		}
	}
	if limit.Strict {
		return c.withLevel(id, Decision{RetryAfter: silentBackoff, Basis: ByNoOwner})
	}
	return c.admitFromShare(id, limit, cost)
}

// Charge counts use that nobody is asked about: a further run of a request, or, negative,
// one that did not run.
func (c *Client) Charge(id Subject, limit Limit, amount int64) {
	if !limit.Limited() || amount == 0 {
		return
	}
	c.mu.Lock()
	c.limiter(id).Charge(c.options.Now(), amount)
	c.mu.Unlock()
	c.reportUse(id)
}

// limiter returns an organisation's limiter. It is called with mu held.
func (c *Client) limiter(id Subject) *LocalLimiter {
	now := c.options.Now()
	if now-c.sweptAt > sweepInterval {
		c.sweptAt = now
		for other, m := range c.limiters {
			if m.Idle(now) {
				delete(c.limiters, other)
			}
		}
	}
	m := c.limiters[id]
	if m == nil {
		m = &LocalLimiter{}
		c.limiters[id] = m
	}
	return m
}

func (c *Client) check(id Subject, cost int64) (Verdict, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limiter(id).Check(c.options.Now(), cost)
}

func (c *Client) admitFromShare(id Subject, limit Limit, cost int64) Decision {
	c.mu.Lock()
	admitted, retryAfter := c.limiter(id).AdmitFromShare(c.options.Now(), limit, c.options.InstanceCount(), cost)
	c.mu.Unlock()
	return c.withLevel(id, Decision{Admitted: admitted, RetryAfter: retryAfter, Basis: ByLocalShare})
}

// withLevel adds what is known of the account.
func (c *Client) withLevel(id Subject, d Decision) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.limiter(id); m.replied {
		d.Level, d.LevelAge = m.level, c.options.Now()-m.repliedAt
	}
	return d
}

// askOwner has an accountant decide about a request; answered is false if none did.
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
	got, _, found := c.calls.Ask(ctx, replyTimeout, func(number uint64) {
		c.options.Send(owner.Address, &rpc.UsageMessage{Number: number, Debit: encodeDebit(d)})
	})
	if found && got.GetReady() {
		return c.applyReply(d, decodeReply(got))
	}
	c.rollBack(d)
	if ctx.Err() == nil {
		now := c.options.Now()
		c.backoffs.Leave(owner.Instance, now, now+silentBackoff)
		events.AccountantSilent.Log(c.options.Log, zap.String("accountant", string(owner.Instance)), zap.Bool("answered", found))
	}
	return DebitReply{}, false
}

// reportUse sends what was used without asking to the accountant, and takes its answer when
// it comes. Nobody waits for it: what is lost goes with the next.
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
		got, _, replied := c.calls.Ask(context.Background(), replyTimeout, func(number uint64) {
			c.options.Send(owner.Address, &rpc.UsageMessage{Number: number, Debit: encodeDebit(d)})
		})
		if replied && got.GetReady() {
			_, _ = c.applyReply(d, decodeReply(got))
			return
		}
		c.rollBack(d)
	}()
}

// pickOwner returns the accountant of the own zone that is to be asked.
func (c *Client) pickOwner(id Subject) (membership.EntryInstance, bool) {
	now := c.options.Now()
	return datagram.Pick(subjectHash(id), c.options.EntriesByZone()[c.options.Zone], func(other tables.InstanceID) bool {
		return c.backoffs.Left(other, now)
	})
}

func (c *Client) newDebit(id Subject, cost int64) Debit {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limiter(id).NewDebit(c.options.Now(), id, cost)
}

func (c *Client) rollBack(d Debit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limiter(d.Subject).RollBack(d)
}

func (c *Client) applyReply(d Debit, reply DebitReply) (DebitReply, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !reply.Ready {
		c.limiter(d.Subject).RollBack(d)
		return reply, false
	}
	c.limiter(d.Subject).ApplyReply(c.options.Now(), d, reply)
	return reply, true
}

// HandleReply takes an accountant's answer to one of this instance's debits.
func (c *Client) HandleReply(number uint64, reply *rpc.UsageAnswer) {
	c.calls.Answered(number, reply)
}

// RevokeLease notes that an accountant has ended a lease.
func (c *Client) RevokeLease(id Subject) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.limiters[id]; m != nil {
		m.RevokeLease(c.options.Now())
	}
}

// HandleMessage takes a message of another instance, for the client or the server.
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
