package permits

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/internal/datagram"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// answerTimeout is how long the client waits for the owner's answer: a round trip, plus the
	// scheduling delay of a slow machine.
	answerTimeout = 40 * time.Millisecond
	// releaseRepeat is the time until a release is sent once more: a lost one would occupy a slot
	// until the attempt's deadline.
	releaseRepeat = 100 * time.Millisecond
)

// Verdict is the outcome of a request for a permit.
type Verdict uint8

// The verdicts.
const (
	// Granted: the attempt may be sent.
	Granted Verdict = iota
	// Denied: the endpoint has no room, or its owner has not answered.
	Denied
	// NoOwner: there is no instance to ask.
	NoOwner
)

// String returns the name of the verdict in metrics.
func (v Verdict) String() string { return [...]string{"granted", "denied", "no owner"}[v] }

// ClientOptions configure a Client.
type ClientOptions struct {
	Self tables.InstanceID
	// BootEpoch distinguishes the process from those before a restart.
	BootEpoch uint64
	// Server holds the permits of the endpoints that this instance owns itself.
	Server *Server
	// Entries lists the live entry instances of all zones, this one included.
	Entries func() []membership.EntryInstance
	// Send sends a datagram, which may be lost.
	Send func(to netip.AddrPort, message *rpc.ScheduleMessage)
	// Now reads a monotonic clock.
	Now func() tables.Instant
}

// Client requests permits. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	calls   *datagram.Correlator[*rpc.PermitAnswer]
	owners  ownerStates
}

// NewClient returns a client that has asked no owner yet.
func NewClient(o ClientOptions) *Client {
	return &Client{options: o, calls: datagram.NewCorrelator[*rpc.PermitAnswer](o.BootEpoch)}
}

// Permit allows one attempt. It must be released.
type Permit struct {
	client   *Client
	owner    membership.EntryInstance
	number   uint64
	endpoint tables.EndpointID
	once     sync.Once
}

// Acquire requests a permit for an attempt at an endpoint that lasts for left at most. The permit
// is nil unless it is granted.
func (c *Client) Acquire(ctx context.Context, endpoint tables.EndpointID, left time.Duration) (*Permit, Verdict) {
	owner, otherOwner, found := c.owner(endpoint)
	if !found {
		return nil, NoOwner
	}
	if !c.owners.mayAsk(owner.Instance, c.options.Now()) {
		return nil, Denied
	}
	request := &rpc.PermitRequest{Endpoint: string(endpoint), LeftMs: uint32(max(0, left.Milliseconds())), OtherOwner: otherOwner}
	answer, number := c.ask(ctx, owner, request)
	switch {
	case answer.GetReady():
		c.owners.recordAnswer(owner.Instance)
	case ctx.Err() == nil:
		c.owners.recordTimeout(owner.Instance, c.options.Now())
	}
	if !answer.GetGranted() {
		return nil, Denied
	}
	return &Permit{client: c, owner: owner, number: number, endpoint: endpoint}, Granted
}

// owner returns the owner of an endpoint, or the instance that is asked instead after a long outage of
// the owner. otherOwner is set if another instance may have granted permits recently.
func (c *Client) owner(endpoint tables.EndpointID) (owner membership.EntryInstance, otherOwner, found bool) {
	now := c.options.Now()
	owner, found = datagram.PickWeighted(xxhash.Sum64String(string(endpoint)), c.options.Entries(), func(id tables.InstanceID) bool {
		replaced := c.owners.isReplaced(id, now)
		otherOwner = otherOwner || replaced
		return replaced
	})
	otherOwner = otherOwner || c.options.Server.ownersChangedRecently(now)
	return owner, otherOwner || c.owners.wasReplaced(owner.Instance, now), found
}

// ask asks one owner. The answer is nil if none came in time; the owner may have granted a permit
// all the same, which is returned.
func (c *Client) ask(ctx context.Context, owner membership.EntryInstance, request *rpc.PermitRequest) (*rpc.PermitAnswer, uint64) {
	if owner.Instance == c.options.Self {
		number := c.calls.NextID()
		return c.options.Server.Request(c.options.Self, number, request), number
	}
	answer, number, found := c.calls.Call(ctx, answerTimeout, func(number uint64) {
		c.options.Send(owner.Address, &rpc.ScheduleMessage{Number: number, PermitRequest: request})
	})
	if !found {
		c.sendRelease(owner.Address, number, &rpc.PermitRelease{})
	}
	return answer, number
}

// sendRelease sends a release twice, since a datagram may be lost.
func (c *Client) sendRelease(to netip.AddrPort, number uint64, release *rpc.PermitRelease) {
	message := &rpc.ScheduleMessage{Number: number, PermitRelease: release}
	c.options.Send(to, message)
	time.AfterFunc(releaseRepeat, func() { c.options.Send(to, message) })
}

// HandleAnswer hands an owner's answer to the call that waits for it. A permit whose call has
// timed out is released.
func (c *Client) HandleAnswer(from netip.AddrPort, number uint64, answer *rpc.PermitAnswer) {
	if c.calls.Deliver(number, answer) || !answer.GetGranted() {
		return
	}
	c.sendRelease(from, number, &rpc.PermitRelease{})
}

// Release returns the permit; rejected is set if the endpoint rejected the attempt for want of
// room. On a nil Permit and after the first call it does nothing.
func (p *Permit) Release(rejected bool) {
	if p == nil {
		return
	}
	p.once.Do(func() {
		release := &rpc.PermitRelease{Endpoint: string(p.endpoint), Rejected: rejected}
		if p.owner.Instance == p.client.options.Self {
			p.client.options.Server.Release(p.client.options.Self, p.number, release)
			return
		}
		p.client.sendRelease(p.owner.Address, p.number, release)
	})
}
