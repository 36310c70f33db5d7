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
	// answerTimeout is how long an accountant may take: a round trip within a zone and
	// the time in which a slow machine gets to run. silentPause is how long one that did
	// not answer is not asked.
	answerTimeout = 40 * time.Millisecond
	silentPause   = 500 * time.Millisecond
	// maxAsked is how many accountants are asked for one request.
	maxAsked = 2
	// forgetPeriod is the time between two looks for meters that are not in use.
	forgetPeriod = 10 * time.Second
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
	options ClientOptions
	calls   *datagram.Calls[*rpc.UsageAnswer]
	silent  datagram.Silent

	mu        sync.Mutex
	meters    map[Subject]*LocalLimiter
	forgotten tables.Instant
}

// NewClient returns a client.
func NewClient(o ClientOptions) *Client {
	return &Client{
		options: o, calls: datagram.NewCalls[*rpc.UsageAnswer](o.BootEpoch), meters: map[Subject]*LocalLimiter{},
	}
}

func keyOf(id Subject) uint64 { return xxhash.Sum64String(string(id)) }

// Admit decides about a request of the given cost, and counts it if it is admitted.
func (c *Client) Admit(ctx context.Context, id Subject, limit Limit, cost int64) Decision {
	if !limit.Limited() {
		return Decision{Admitted: true, Basis: ByNoLimit}
	}
	switch step, retryAfter := c.decide(id, cost); step {
	case Admit:
		c.report(id)
		return c.decision(id, Decision{Admitted: true, Basis: ByLease})
	case Reject:
		return c.decision(id, Decision{RetryAfter: retryAfter, Basis: ByCachedRefusal})
	}
	for range maxAsked {
		answer, answered := c.ask(ctx, id, limit, cost)
		if answered {
			return c.decision(id, Decision{Admitted: answer.Admitted, RetryAfter: answer.RetryAfter, Basis: ByOwner})
		}
		if ctx.Err() != nil {
			break
		}
	}
	if limit.Strict {
		return c.decision(id, Decision{RetryAfter: silentPause, Basis: ByNoOwner})
	}
	return c.decideAlone(id, limit, cost)
}

// Charge counts use that nobody is asked about: a further run of a request, or, negative,
// one that did not run.
func (c *Client) Charge(id Subject, limit Limit, amount int64) {
	if !limit.Limited() || amount == 0 {
		return
	}
	c.mu.Lock()
	c.meter(id).Charge(c.options.Now(), amount)
	c.mu.Unlock()
	c.report(id)
}

// meter returns an organisation's meter. It is called with mu held.
func (c *Client) meter(id Subject) *LocalLimiter {
	now := c.options.Now()
	if now-c.forgotten > forgetPeriod {
		c.forgotten = now
		for other, m := range c.meters {
			if m.Idle(now) {
				delete(c.meters, other)
			}
		}
	}
	m := c.meters[id]
	if m == nil {
		m = &LocalLimiter{}
		c.meters[id] = m
	}
	return m
}

func (c *Client) decide(id Subject, cost int64) (Verdict, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.meter(id).Check(c.options.Now(), cost)
}

func (c *Client) decideAlone(id Subject, limit Limit, cost int64) Decision {
	c.mu.Lock()
	admitted, after := c.meter(id).AdmitFromShare(c.options.Now(), limit, c.options.InstanceCount(), cost)
	c.mu.Unlock()
	return c.decision(id, Decision{Admitted: admitted, RetryAfter: after, Basis: ByLocalShare})
}

// decision adds what is known of the account.
func (c *Client) decision(id Subject, d Decision) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.meter(id); m.known {
		d.Level, d.LevelAge = m.level, c.options.Now()-m.knownAt
	}
	return d
}

// ask has an accountant decide about a request; answered is false if none did.
func (c *Client) ask(ctx context.Context, id Subject, limit Limit, cost int64) (answer DebitReply, answered bool) {
	accountant, found := c.pick(id)
	if !found {
		return DebitReply{}, false
	}
	d := c.debit(id, cost)
	if limit.Strict {
		d.Limit = limit
	}
	if accountant.Instance == c.options.Self {
		answer = c.options.Server.Debit(membership.Sender{Instance: c.options.Self, Address: accountant.Address}, d)
		return c.took(d, answer)
	}
	got, _, found := c.calls.Ask(ctx, answerTimeout, func(number uint64) {
		c.options.Send(accountant.Address, &rpc.UsageMessage{Number: number, Debit: encodeDebit(d)})
	})
	if found && got.GetReady() {
		return c.took(d, decodeAnswer(got))
	}
	c.undo(d)
	if ctx.Err() == nil {
		now := c.options.Now()
		c.silent.Leave(accountant.Instance, now, now+silentPause)
		events.AccountantSilent.Log(c.options.Log, zap.String("accountant", string(accountant.Instance)), zap.Bool("answered", found))
	}
	return DebitReply{}, false
}

// report sends what was used without asking to the accountant, and takes its answer when
// it comes. Nobody waits for it: what is lost goes with the next.
func (c *Client) report(id Subject) {
	accountant, found := c.pick(id)
	if !found {
		return
	}
	d := c.debit(id, 0)
	if accountant.Instance == c.options.Self {
		answer := c.options.Server.Debit(membership.Sender{Instance: c.options.Self, Address: accountant.Address}, d)
		_, _ = c.took(d, answer)
		return
	}
	go func() {
		got, _, answered := c.calls.Ask(context.Background(), answerTimeout, func(number uint64) {
			c.options.Send(accountant.Address, &rpc.UsageMessage{Number: number, Debit: encodeDebit(d)})
		})
		if answered && got.GetReady() {
			_, _ = c.took(d, decodeAnswer(got))
			return
		}
		c.undo(d)
	}()
}

// pick returns the accountant of the own zone that is to be asked.
func (c *Client) pick(id Subject) (membership.EntryInstance, bool) {
	now := c.options.Now()
	return datagram.Pick(keyOf(id), c.options.EntriesByZone()[c.options.Zone], func(other tables.InstanceID) bool {
		return c.silent.Left(other, now)
	})
}

func (c *Client) debit(id Subject, cost int64) Debit {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.meter(id).NewDebit(c.options.Now(), id, cost)
}

func (c *Client) undo(d Debit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.meter(d.Subject).RollBack(d)
}

func (c *Client) took(d Debit, a DebitReply) (DebitReply, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !a.Ready {
		c.meter(d.Subject).RollBack(d)
		return a, false
	}
	c.meter(d.Subject).ApplyReply(c.options.Now(), d, a)
	return a, true
}

// HandleReply takes an accountant's answer to one of this instance's debits.
func (c *Client) HandleReply(number uint64, answer *rpc.UsageAnswer) {
	c.calls.Answered(number, answer)
}

// RevokeLease notes that an accountant has ended a lease.
func (c *Client) RevokeLease(id Subject) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m := c.meters[id]; m != nil {
		m.RevokeLease(c.options.Now())
	}
}

// HandleMessage takes a message of another instance, for the client or the server.
func (c *Client) HandleMessage(from membership.Sender, message *rpc.UsageMessage) {
	switch {
	case message.GetAnswer() != nil:
		c.HandleReply(message.GetNumber(), message.GetAnswer())
	case message.GetDebit() != nil:
		answer := c.options.Server.Debit(from, decodeDebit(message.GetDebit()))
		c.options.Send(from.Address, &rpc.UsageMessage{Number: message.GetNumber(), Answer: encodeAnswer(answer)})
	case message.GetLeaseEnded() != "":
		c.RevokeLease(Subject(message.GetLeaseEnded()))
	default:
		c.options.Server.HandleReports(from, message.GetReports())
	}
}
