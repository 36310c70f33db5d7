package deployment

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/internal/wait"
	"github.com/carawaystile/carawaystile/rpc"
)

const (
	// followWait is how long a source is asked to wait for news, and
	// followTimeout how long it may take to answer. A source that falls silent
	// is given up before a change would be late.
	followWait    = time.Second
	followTimeout = 1400 * time.Millisecond
	// pauseAfterFailure is the wait before the next source is asked.
	pauseAfterFailure = 30 * time.Millisecond
	// pauseWhileBehind is the wait before the next round when no source knows its
	// documents to be the newest. Endpoints come and go meanwhile, and callers are
	// sent to those that have left until the next round tells of them.
	pauseWhileBehind = 30 * time.Millisecond
)

// ClientOptions set a Client up. The functions are called by one goroutine.
type ClientOptions struct {
	Instance string
	// Sources lists whom to follow, nearest first. It is asked again each time.
	Sources func() []Source
	// OnDocument takes a document that is newer than the last of its name.
	OnDocument func(*rpc.Document)
	// OnWeightVersion takes when versions of weights were named; nil for nobody. It is
	// called before Document is with the newest of them.
	OnWeightVersion func(*rpc.WeightsNamed)
	// OnEndpoints takes the endpoints whenever they have changed.
	OnEndpoints func(*fleet.Replica)
	// OnAnswer is told of each answer; nil for nobody.
	OnAnswer func(from Source, answer *rpc.FollowAnswer)
	// Now is a monotonic clock; nil for that of the process.
	Now func() time.Duration
	Log *zap.Logger
}

// Client follows control instances, one at a time.
type Client struct {
	options ClientOptions
	have    map[string]uint64
	fleet   *fleet.Replica
	// fleetFrom is the source that the endpoints are from.
	fleetFrom string
	choice    choice
	// followed is the source that answered last, and lost are those of which was
	// logged that they do not answer or may be behind.
	followed string
	lost     map[string]bool
}

// NewClient returns a client that has nothing yet.
func NewClient(options ClientOptions) *Client {
	if options.Now == nil {
		started := time.Now()
		options.Now = func() time.Duration { return time.Since(started) }
	}
	return &Client{
		options: options, have: map[string]uint64{}, lost: map[string]bool{}, fleet: fleet.NewReplica(),
		choice: choice{failed: map[string]time.Duration{}},
	}
}

// Run follows until the context ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if pause := c.step(ctx); pause > 0 {
			_ = wait.For(ctx, pause) // the loop looks at the context
		}
	}
}

// step chooses a source, asks it once, and returns how long to wait before the
// next step.
func (c *Client) step(ctx context.Context) time.Duration {
	source, found := c.choose(ctx)
	if !found {
		return pauseAfterFailure
	}
	asked := c.options.Now()
	answer, err := c.ask(ctx, source)
	took := c.options.Now() - asked
	if err != nil {
		c.choice.leave(source, c.options.Now())
		c.noteLost(ctx, source, zap.Duration("took", took), zap.Error(err))
		return pauseAfterFailure
	}
	c.take(source, answer, took-time.Duration(answer.GetWaitedNanos()))
	if answer.GetBehind() {
		// Others may have newer documents.
		c.choice.leave(source, c.options.Now())
		c.noteBehind(ctx, source, answer)
		return pauseWhileBehind
	}
	c.choice.following = source.Name
	c.noteFollowed(source)
	return 0
}

func (c *Client) ask(ctx context.Context, source Source) (*rpc.FollowAnswer, error) {
	bounded, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	if c.fleetFrom != source.Name {
		c.fleetFrom = source.Name
		c.fleet.RequestFullUpdate()
	}
	request := &rpc.FollowRequest{
		Instance:  c.options.Instance,
		Documents: c.have,
		WaitNanos: int64(followWait),
	}
	request.FleetSource, request.FleetVersion = c.fleet.Position()
	answer, err := source.Follow(bounded, request)
	if err != nil {
		return nil, err
	}
	return answer, unpack(answer)
}

// noteLost logs that a source is left, once until it is followed again. While no
// source answers, each is logged once: all are asked many times a second, and the
// log of that would push out what explains it.
func (c *Client) noteLost(ctx context.Context, source Source, why ...zap.Field) {
	if ctx.Err() != nil || c.lost[source.Name] {
		return
	}
	c.lost[source.Name] = true
	events.SourceLost.Log(c.options.Log, append(why, zap.String("source", source.Name))...)
}

func (c *Client) noteBehind(ctx context.Context, source Source, answer *rpc.FollowAnswer) {
	c.noteLost(ctx, source, zap.Bool("behind", true), zap.Duration("lag", time.Duration(answer.GetLagNanos())))
}

// noteFollowed logs when another source than before is followed, or one that was
// lost is back.
func (c *Client) noteFollowed(source Source) {
	if c.followed == source.Name && !c.lost[source.Name] {
		return
	}
	c.followed = source.Name
	delete(c.lost, source.Name)
	events.SourceFollowed.Log(c.options.Log, zap.String("source", source.Name))
}

// take hands out what is new. A document never goes back, whichever source
// told of it. onWay is the time that the question and its answer took beside the
// source's wait for news.
func (c *Client) take(source Source, answer *rpc.FollowAnswer, onWay time.Duration) {
	if c.options.OnWeightVersion != nil {
		for _, named := range answer.GetWeightsNamed() {
			c.options.OnWeightVersion(named)
		}
	}
	for _, document := range answer.GetDocuments() {
		if have, known := c.have[document.GetName()]; known && document.GetNumber() <= have {
			continue
		}
		c.have[document.GetName()] = document.GetNumber()
		events.DocumentTaken.Log(c.options.Log, zap.String("source", source.Name),
			zap.String("document", document.GetName()), zap.Uint64("number", document.GetNumber()),
			zap.Int("bytes", len(document.GetContent())), zap.Duration("on_way", onWay),
			zap.Duration("lag", time.Duration(answer.GetLagNanos())))
		c.options.OnDocument(document)
	}
	if answer.GetFleet() != nil {
		if err := c.fleet.Apply(answer.GetFleet()); err != nil {
			events.EndpointUnreadable.Log(c.options.Log, zap.String("source", source.Name), zap.Error(err))
		}
		c.options.OnEndpoints(c.fleet)
	}
	if c.options.OnAnswer != nil {
		c.options.OnAnswer(source, answer)
	}
}
