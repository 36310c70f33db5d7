package entry

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/api/oas"
	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/entry/gate"
	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/systems/quarantine"
	"github.com/carawaystile/carawaystile/tables"
)

// Server is the entry of one instance. Its methods are safe for concurrent use.
type Server struct {
	instance tables.InstanceID
	boot     string
	client   engine.Client
	claimer  ClaimStore
	metrics  Metrics
	log      *zap.Logger
	now      func() tables.Instant
	share    func([]quarantine.Suspect) (notified <-chan struct{})
	limits   Limits
	handler  http.Handler

	inbox    chan message
	stopped  chan struct{}
	stopOnce sync.Once
	done     sync.WaitGroup

	directory atomic.Pointer[directory]
	requests  atomic.Uint64
	// held counts the bytes of request bodies.
	held  atomic.Int64
	gate  *gate.Gate
	quota *quota
}

// New returns a Server that runs until Close. It answers requests once it has
// a configuration.
func New(o Options) (*Server, error) {
	s := &Server{
		instance: o.Instance,
		boot:     o.BootID,
		client:   o.Client,
		claimer:  o.Claims,
		metrics:  o.Metrics,
		log:      o.Log,
		now:      o.Now,
		share:    o.BroadcastSuspects,
		limits:   o.Limits.withDefaults(),
		inbox:    make(chan message, inbox),
		stopped:  make(chan struct{}),
	}
	s.gate = gate.New(s.limits.DrainDelay)
	s.quota = newQuota(s.limits.MaxInFlightPerOrganisation)
	if s.metrics == nil {
		s.metrics = NopMetrics{}
	}
	if s.log == nil {
		s.log = zap.NewNop()
	}
	if s.share == nil {
		s.share = func([]quarantine.Suspect) <-chan struct{} { return closedChannel }
	}
	if s.now == nil {
		origin := time.Now()
		s.now = func() tables.Instant { return time.Since(origin) }
	}
	server, err := oas.NewServer(&api{server: s}, &security{server: s},
		oas.WithErrorHandler(s.rejected), oas.WithNotFound(s.notFound), oas.WithMethodNotAllowed(s.notAllowed))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.handler = s.outer(server)
	l := &loop{
		server:  s,
		router:  o.Router,
		passOn:  o.GossipPlacements,
		flights: map[tables.RequestID]*flight{},
		running: map[tables.AttemptID]*attempt{},
	}
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		l.run()
	}()
	return s, nil
}

// Handler serves the callers' interface, /healthz and /readyz.
func (s *Server) Handler() http.Handler { return s.handler }

// Configure puts a configuration in force. One with a lower revision than the
// present one is ignored by the router; callers hand them in in order.
func (s *Server) Configure(c *tables.Configuration) {
	s.directory.Store(newDirectory(c))
	s.tell(configured{configuration: c})
}

// Observe hands the router what endpoints and peers say.
func (s *Server) Observe(in router.Input) { s.tell(observed{input: in}) }

// Close stops the loop. Requests that are open get no more answers; Drain
// waits for them.
func (s *Server) Close() {
	s.stopOnce.Do(func() { close(s.stopped) })
	s.done.Wait()
}

// newID names a request; no other instance and no other life of this one gives
// the same name.
func (s *Server) newID() tables.RequestID {
	id := string(s.instance) + "-" + s.boot + "-" + strconv.FormatUint(s.requests.Add(1), 36)
	return tables.RequestID(id)
}

// noteFailure logs and counts a final failure.
func (s *Server) noteFailure(org tables.OrganisationID, failure *outcome.Failure) {
	s.metrics.CountFailure(org, failure.Code, failure.Outcome())
	events.RequestFailed.Log(s.log,
		zap.String("request", string(failure.Request)),
		zap.Uint16("code", uint16(failure.Code)),
		zap.String("outcome", string(failure.Outcome())))
}

// launch submits a flight and gives the reader of its answer.
func (s *Server) launch(ctx context.Context, f *flight) *reader {
	f.server = s
	f.opened = make(chan *opened)
	f.failed = make(chan *outcome.Failure, 1)
	f.state = outcome.NewUndispatched(f.row.ID)
	f.ctx, f.cancel = context.WithCancel(ctx)
	s.tell(submitted{flight: f})
	return &reader{flight: f}
}

// withDefaults fills the fields that are zero.
func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	fill(&l.MaxBodyBytes, d.MaxBodyBytes)
	fill(&l.MaxBufferedBytes, d.MaxBufferedBytes)
	fill(&l.MaxInFlight, d.MaxInFlight)
	fill(&l.MaxInFlightPerOrganisation, d.MaxInFlightPerOrganisation)
	fill(&l.MaxCompletionBytes, d.MaxCompletionBytes)
	fill(&l.DefaultMaxTokens, d.DefaultMaxTokens)
	fill(&l.TokenTimeout, d.TokenTimeout)
	fill(&l.WriteTimeout, d.WriteTimeout)
	fill(&l.ReadTimeout, d.ReadTimeout)
	fill(&l.CancelTimeout, d.CancelTimeout)
	fill(&l.CrashCheckTimeout, d.CrashCheckTimeout)
	fill(&l.ClaimTimeout, d.ClaimTimeout)
	fill(&l.DeadlineGrace, d.DeadlineGrace)
	fill(&l.DrainDelay, d.DrainDelay)
	return l
}

func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
