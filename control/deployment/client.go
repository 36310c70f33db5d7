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
	// followWait is the duration of a long poll, and followTimeout bounds the whole
	// call. An unresponsive source is abandoned early enough for the next one to
	// deliver a change in time.
	followWait    = time.Second
	followTimeout = 1400 * time.Millisecond
	// retryDelay is the delay before the next source is asked after a failure.
	retryDelay = 30 * time.Millisecond
	// staleRetryDelay is the delay before the next round if no source is up to
	// date. It is short because endpoints come and go in the meantime, and requests
	// are sent to endpoints that have left until the next round reports that.
	staleRetryDelay = 30 * time.Millisecond
)

// ClientOptions configures a Client. The callbacks are called from the goroutine of
// Run.
type ClientOptions struct {
	// Instance is the name of this instance.
	Instance string
	// Sources returns the control instances that can be followed, nearest first. It
	// is called before each request.
	Sources func() []Source
	// OnDocument is called with each document that is newer than the previous one
	// of its name.
	OnDocument func(*rpc.Document)
	// OnWeightVersion is called with target versions of weights and their ages,
	// before OnDocument is called with the newest of them. It may be nil.
	OnWeightVersion func(*rpc.WeightsNamed)
	// OnEndpoints is called when the endpoint table has changed.
	OnEndpoints func(*fleet.Replica)
	// OnAnswer is called with each answer to a long poll. It may be nil.
	OnAnswer func(from Source, answer *rpc.FollowAnswer)
	// Now is a monotonic clock. It defaults to that of the process.
	Now func() time.Duration
	Log *zap.Logger
}

// Client keeps documents and the endpoint table up to date by long polling one
// control instance at a time. It fails over when that instance is unresponsive or
// behind its group, and fails back to a nearer one after it has recovered.
type Client struct {
	options ClientOptions
	// versions holds the number of the newest document by name.
	versions  map[string]uint64
	endpoints *fleet.Replica
	// endpointsSource is the source that the endpoint table was last requested
	// from.
	endpointsSource string
	selector        sourceSelector
	// lastFollowed is the source whose selection was logged last. loggedLost holds
	// the sources whose failure has been logged since they were last selected.
	lastFollowed string
	loggedLost   map[string]bool
}

// NewClient returns a client without documents and endpoints.
func NewClient(options ClientOptions) *Client {
	if options.Now == nil {
		started := time.Now()
		options.Now = func() time.Duration { return time.Since(started) }
	}
	return &Client{
		options: options, versions: map[string]uint64{}, loggedLost: map[string]bool{}, endpoints: fleet.NewReplica(),
		selector: sourceSelector{failedAt: map[string]time.Duration{}},
	}
}

// Run follows sources until the context ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if pause := c.step(ctx); pause > 0 {
			_ = wait.For(ctx, pause) // the loop checks the context
		}
	}
}

// step selects a source, sends it one long poll, and returns the delay before the
// next step.
func (c *Client) step(ctx context.Context) time.Duration {
	source, found := c.selectSource(ctx)
	if !found {
		return retryDelay
	}
	asked := c.options.Now()
	answer, err := c.follow(ctx, source)
	took := c.options.Now() - asked
	if err != nil {
		c.selector.markFailed(source, c.options.Now())
		c.logLost(ctx, source, zap.Duration("took", took), zap.Error(err))
		return retryDelay
	}
	c.handleAnswer(source, answer, took-time.Duration(answer.GetWaitedNanos()))
	if answer.GetBehind() {
		// Other sources may have newer documents.
		c.selector.markFailed(source, c.options.Now())
		c.logBehind(ctx, source, answer)
		return staleRetryDelay
	}
	c.selector.current = source.Name
	c.logFollowed(source)
	return 0
}

// follow sends one long poll to a source. After a change of source it requests all
// endpoints, because the versions of two endpoint tables cannot be compared.
func (c *Client) follow(ctx context.Context, source Source) (*rpc.FollowAnswer, error) {
	bounded, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	if c.endpointsSource != source.Name {
		c.endpointsSource = source.Name
		c.endpoints.RequestFullUpdate()
	}
	request := &rpc.FollowRequest{
		Instance:  c.options.Instance,
		Documents: c.versions,
		WaitNanos: int64(followWait),
	}
	request.FleetSource, request.FleetVersion = c.endpoints.Position()
	answer, err := source.Follow(bounded, request)
	if err != nil {
		return nil, err
	}
	return answer, decompressDocuments(answer)
}

// logLost logs once that a source has failed, until it is selected again. While no
// source answers, all are asked many times per second, and logging each attempt
// would evict the entries that explain the outage.
func (c *Client) logLost(ctx context.Context, source Source, why ...zap.Field) {
	if ctx.Err() != nil || c.loggedLost[source.Name] {
		return
	}
	c.loggedLost[source.Name] = true
	events.SourceLost.Log(c.options.Log, append(why, zap.String("source", source.Name))...)
}

// logBehind logs that a source is behind its group, at most as often as logLost
// does.
func (c *Client) logBehind(ctx context.Context, source Source, answer *rpc.FollowAnswer) {
	c.logLost(ctx, source, zap.Bool("behind", true), zap.Duration("lag", time.Duration(answer.GetLagNanos())))
}

// logFollowed logs that another source was selected, or that a failed source has
// recovered.
func (c *Client) logFollowed(source Source) {
	if c.lastFollowed == source.Name && !c.loggedLost[source.Name] {
		return
	}
	c.lastFollowed = source.Name
	delete(c.loggedLost, source.Name)
	events.SourceFollowed.Log(c.options.Log, zap.String("source", source.Name))
}

// handleAnswer applies an answer and runs the callbacks. The version of a document
// never decreases, whichever source sends it. transferTime is the duration of the
// call less the time for which the source held it.
func (c *Client) handleAnswer(source Source, answer *rpc.FollowAnswer, transferTime time.Duration) {
	if c.options.OnWeightVersion != nil {
		for _, named := range answer.GetWeightsNamed() {
			c.options.OnWeightVersion(named)
		}
	}
	for _, document := range answer.GetDocuments() {
		if have, known := c.versions[document.GetName()]; known && document.GetNumber() <= have {
			continue
		}
		c.versions[document.GetName()] = document.GetNumber()
		events.DocumentTaken.Log(c.options.Log, zap.String("source", source.Name),
			zap.String("document", document.GetName()), zap.Uint64("number", document.GetNumber()),
			zap.Int("bytes", len(document.GetContent())), zap.Duration("on_way", transferTime),
			zap.Duration("lag", time.Duration(answer.GetLagNanos())))
		c.options.OnDocument(document)
	}
	if answer.GetFleet() != nil || c.endpoints.HoldsWeights() {
		if err := c.endpoints.Apply(answer.GetFleet()); err != nil {
			events.EndpointUnreadable.Log(c.options.Log, zap.String("source", source.Name), zap.Error(err))
		}
		c.options.OnEndpoints(c.endpoints)
	}
	if c.options.OnAnswer != nil {
		c.options.OnAnswer(source, answer)
	}
}
