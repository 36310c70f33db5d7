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

// Server is the API gateway of one instance. Its methods are safe for
// concurrent use.
type Server struct {
	instance          tables.InstanceID
	bootID            string
	client            engine.Client
	claims            ClaimStore
	metrics           Metrics
	log               *zap.Logger
	now               func() tables.Instant
	broadcastSuspects func([]quarantine.Suspect) (notified <-chan struct{})
	gossipConvictions func([]quarantine.Suspect)
	// allowTimeout asks the router whether an attempt may end with a read timeout; nil means always.
	allowTimeout func(tables.Instant, tables.AttemptID) bool
	limits       Limits
	handler      http.Handler

	inbox    chan message
	stopped  chan struct{}
	stopOnce sync.Once
	done     sync.WaitGroup

	configIndex    atomic.Pointer[configIndex]
	requestCounter atomic.Uint64
	// bufferedBytes is the total size of the request bodies in memory.
	bufferedBytes       atomic.Int64
	gate                *gate.Gate
	organisationLimiter *concurrencyLimiter
}

// New returns a Server that runs until Close. Until it has a configuration, it
// rejects requests as not ready.
func New(o Options) (*Server, error) {
	s := &Server{
		instance:          o.Instance,
		bootID:            o.BootID,
		client:            o.Client,
		claims:            o.Claims,
		metrics:           o.Metrics,
		log:               o.Log,
		now:               o.Now,
		broadcastSuspects: o.BroadcastSuspects,
		gossipConvictions: o.GossipConvictions,
		limits:            o.Limits.withDefaults(),
		inbox:             make(chan message, inboxCapacity),
		stopped:           make(chan struct{}),
	}
	if router, ok := o.Router.(attemptRouter); ok {
		s.allowTimeout = router.AllowTimeout
	}
	s.gate = gate.New(s.limits.DrainDelay)
	s.organisationLimiter = newConcurrencyLimiter(s.limits.MaxInFlightPerOrganisation)
	if s.metrics == nil {
		s.metrics = NopMetrics{}
	}
	if s.log == nil {
		s.log = zap.NewNop()
	}
	if s.broadcastSuspects == nil {
		s.broadcastSuspects = func([]quarantine.Suspect) <-chan struct{} { return closedChannel }
	}
	if s.gossipConvictions == nil {
		s.gossipConvictions = func([]quarantine.Suspect) {}
	}
	if s.now == nil {
		origin := time.Now()
		s.now = func() tables.Instant { return time.Since(origin) }
	}
	server, err := oas.NewServer(&apiHandler{server: s}, &authenticator{server: s},
		oas.WithErrorHandler(s.handleDecodeError), oas.WithNotFound(s.notFound), oas.WithMethodNotAllowed(s.methodNotAllowed))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s.handler = s.middleware(server)
	l := &eventLoop{
		server:           s,
		router:           o.Router,
		gossipPlacements: o.GossipPlacements,
		requests:         map[tables.RequestID]*inFlight{},
		attempts:         map[tables.AttemptID]*attempt{},
	}
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		l.run()
	}()
	return s, nil
}

// Handler returns the HTTP handler of the callers' API, /healthz and /readyz.
func (s *Server) Handler() http.Handler { return s.handler }

// Configure applies a configuration. It must be called in the order of the
// revisions. The router ignores a revision lower than the current one.
func (s *Server) Configure(c *tables.Configuration) {
	s.configIndex.Store(newConfigIndex(c))
	s.post(configured{configuration: c})
}

// Observe passes reports from endpoints and peers to the router.
func (s *Server) Observe(in router.Input) { s.post(inputObserved{input: in}) }

// Close stops the event loop. Open requests get no further response; Drain
// waits for them.
func (s *Server) Close() {
	s.stopOnce.Do(func() { close(s.stopped) })
	s.done.Wait()
}

// newRequestID returns an ID that no other instance and no other run of this
// instance uses.
func (s *Server) newRequestID() tables.RequestID {
	id := string(s.instance) + "-" + s.bootID + "-" + strconv.FormatUint(s.requestCounter.Add(1), 36)
	return tables.RequestID(id)
}

// recordFailure logs and counts a final failure.
func (s *Server) recordFailure(org tables.OrganisationID, failure *outcome.Failure) {
	s.metrics.CountFailure(org, failure.Code, failure.Outcome())
	events.RequestFailed.Log(s.log,
		zap.String("request", string(failure.Request)),
		zap.Uint16("code", uint16(failure.Code)),
		zap.String("outcome", string(failure.Outcome())))
}

// submit sends a request to the event loop and returns the reader of its
// response.
func (s *Server) submit(ctx context.Context, f *inFlight) *responseReader {
	f.server = s
	f.started = make(chan *startedAttempt)
	f.failed = make(chan *outcome.Failure, 1)
	f.state = outcome.NewUndispatched(f.spec.ID)
	f.ctx, f.cancel = context.WithCancel(ctx)
	s.post(requestSubmitted{request: f})
	return &responseReader{request: f}
}

// withDefaults replaces zero fields by their defaults.
func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	setDefault(&l.MaxBodyBytes, d.MaxBodyBytes)
	setDefault(&l.MaxBufferedBytes, d.MaxBufferedBytes)
	setDefault(&l.MaxInFlight, d.MaxInFlight)
	setDefault(&l.MaxInFlightPerOrganisation, d.MaxInFlightPerOrganisation)
	setDefault(&l.MaxCompletionBytes, d.MaxCompletionBytes)
	setDefault(&l.DefaultMaxTokens, d.DefaultMaxTokens)
	setDefault(&l.TokenTimeout, d.TokenTimeout)
	setDefault(&l.WriteTimeout, d.WriteTimeout)
	setDefault(&l.ReadTimeout, d.ReadTimeout)
	setDefault(&l.CancelTimeout, d.CancelTimeout)
	setDefault(&l.CrashCheckTimeout, d.CrashCheckTimeout)
	setDefault(&l.ClaimTimeout, d.ClaimTimeout)
	setDefault(&l.DeadlineGrace, d.DeadlineGrace)
	setDefault(&l.DrainDelay, d.DrainDelay)
	return l
}

// setDefault sets a field that is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
