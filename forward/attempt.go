package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/dialect"
	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/engine/exchange"
	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/systems/quarantine"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// placePause is the time between two looks for room.
	placePause = 10 * time.Millisecond
	// patiencePart is the part of the target for which a request is held when
	// nothing has room. A caller that is refused within it loses next to nothing
	// by coming back; one that is held longer would have been better off told.
	patiencePart = 8
	// againPart is the same for a request that an endpoint has declined: its
	// other endpoints are only a moment away.
	againPart = 3
	// holdPart is the part of the target for which a request may wait for a part
	// of its prompt that another one is reading. Half leaves time for the rest.
	holdPart = 2
	// minHang is the least time after which a repeatable request is taken away
	// from an endpoint that says nothing, and hangFactor how many times longer
	// than expected it must be.
	minHang    = 800 * time.Millisecond
	hangFactor = 4
	// probeTimeout bounds the look at an endpoint whose connection broke.
	probeTimeout = 200 * time.Millisecond
)

// try is one attempt of a job.
type try struct {
	job     *job
	id      tables.AttemptID
	chosen  *dispatch.Attempt
	ctx     context.Context
	cancel  context.CancelFunc
	hang    *time.Timer
	hung    atomic.Bool
	arrived tables.Instant
}

// run makes attempts until the request is answered.
func (j *job) run() {
	j.server.arrived(j.service.Name)
	for !j.finished {
		chosen, code := j.place()
		if chosen == nil {
			j.giveUp(code)
			return
		}
		t := j.newTry(chosen)
		t.run()
	}
}

// place finds an endpoint, waiting a moment for room.
func (j *job) place() (*dispatch.Attempt, tables.Code) {
	s := j.server
	patience := j.target() / patiencePart
	if j.sends > 0 || len(j.ask.Tried) > 0 {
		patience = j.target() / againPart
	}
	until := s.options.Now() + patience
	for {
		chosen, reason := s.place(j)
		if chosen != nil {
			return chosen, 0
		}
		code := codeOf(reason)
		if reason == "" {
			return nil, tables.CodeSuspect
		}
		final := reason == dispatch.TooLarge || reason == dispatch.TooLate
		if final || reason != dispatch.Pending && s.options.Now() >= until {
			return nil, code
		}
		select {
		case <-j.ctx.Done():
			return nil, code
		case <-time.After(placePause):
		}
	}
}

// place asks the decisions; the empty reason means that the request is
// suspected of crashing endpoints.
func (s *Server) place(j *job) (*dispatch.Attempt, dispatch.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	if !s.suspects.Quiet() && s.suspects.Verdict(now, j.fingerprint) == quarantine.Refuse {
		return nil, ""
	}
	chosen, reason := s.dispatch.Place(now, &j.ask)
	if news := s.dispatch.News(); len(news) > 0 && s.options.PassOn != nil {
		s.options.PassOn(news)
	}
	return chosen, reason
}

func (s *Server) arrived(service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch.Arrived(s.options.Now(), service)
}

func codeOf(reason dispatch.Reason) tables.Code {
	switch reason {
	case dispatch.TooLarge:
		return tables.CodeTooLarge
	case dispatch.NoEndpoint:
		return tables.CodeNoEndpoint
	default:
		return tables.CodeOverloaded
	}
}

func (j *job) newTry(chosen *dispatch.Attempt) *try {
	s := j.server
	t := &try{
		job:     j,
		id:      tables.AttemptID(s.options.Boot + "-" + strconv.FormatUint(s.attempts.Add(1), 36)),
		chosen:  chosen,
		arrived: s.options.Now(),
	}
	t.ctx, t.cancel = context.WithCancel(j.ctx)
	s.mu.Lock()
	life := quarantine.Life{Endpoint: chosen.Endpoint.ID}
	s.suspects.Started(t.arrived, t.id, life, j.fingerprint)
	s.mu.Unlock()
	return t
}

// run sends the request and relays the answer.
func (t *try) run() {
	j := t.job
	defer t.cancel()
	j.state = j.state.Dispatch(t.id)
	j.sends++
	t.watch(t.firstWait())
	answer, err := j.server.options.Client.Send(t.ctx, t.chosen.Endpoint.Address, t.request())
	if err != nil {
		t.fail(err)
		return
	}
	t.heard(answer.Header)
	if !t.sound(answer) {
		answer.Close()
		t.fail(&engine.Interrupted{Attempt: t.id, Cause: &engine.Garbled{What: "answer"}})
		return
	}
	if t.isStream(answer) {
		t.relayStream(answer)
		return
	}
	t.relayWhole(answer)
}

// request is what the endpoint gets.
func (t *try) request() *exchange.Request {
	j, h := t.job, t.job.server.headers
	header := j.header.Clone()
	header.Set(h.Deadline, strconv.FormatInt(max(1, (j.deadline-j.now()).Milliseconds()), 10))
	header.Set(h.ExpectEndpoint, string(t.chosen.Endpoint.ID))
	if j.org != nil {
		header.Set(h.Organisation, string(j.org.ID))
	}
	if t.chosen.Weights > 0 {
		t.describeGeneration(header)
	}
	if j.lastEvent != "" {
		header.Set(h.LastEvent, j.lastEvent)
	}
	return &exchange.Request{
		Attempt: t.id,
		ID:      j.id,
		Method:  j.r.Method,
		Target:  j.r.RequestURI,
		Host:    j.r.Host,
		Header:  header,
		Body:    j.body,
		Once:    !j.route.Repeatable(),
	}
}

// maxPriority is the least urgent priority that endpoints know.
const maxPriority = 9

// describeGeneration sets what keeps cached prompts apart. The version is part
// of the salt: endpoints and stores do not say under which version a part was
// made, and an answer from parts of other weights would be wrong.
func (t *try) describeGeneration(header http.Header) {
	j, h := t.job, t.job.server.headers
	version := strconv.FormatUint(t.chosen.Weights, 10)
	header.Set(h.ExpectWeights, version)
	header.Set(h.CacheSalt, "w"+version+"/"+j.isolation())
	header.Set(h.Priority, strconv.Itoa(min(max(j.ask.Priority, 0), maxPriority)))
	if t.chosen.HasSource() {
		header.Set(h.CacheSource, t.chosen.Source.Address.String())
	}
	if t.chosen.HasStore() {
		header.Set(h.CacheTarget, t.chosen.Store.Address.String())
	}
}

// firstWait is how long the endpoint may say nothing; zero means any time. Only
// repeatable requests are taken away: of others nobody knows whether they run.
func (t *try) firstWait() time.Duration {
	if !t.job.route.Repeatable() {
		return 0
	}
	return max(minHang, t.job.target(), hangFactor*t.chosen.Expected)
}

// watch takes the request away from the endpoint when nothing comes for that
// long, if it can go on elsewhere. An endpoint's silence alone is no reason to
// end an answer: one that is only slow still brings it.
func (t *try) watch(limit time.Duration) {
	if limit <= 0 || !t.job.hasAttempts() {
		return
	}
	if t.hang != nil {
		t.hang.Reset(limit)
		return
	}
	t.hang = time.AfterFunc(limit, func() {
		if !t.job.canMove() {
			t.hang.Reset(limit)
			return
		}
		t.hung.Store(true)
		t.cancel()
	})
}

// unwatch stops the watch and says whether it has struck.
func (t *try) unwatch() bool {
	if t.hang != nil {
		t.hang.Stop()
	}
	return t.hung.Load()
}

// hasAttempts says whether the request may be handed to a further endpoint.
func (j *job) hasAttempts() bool { return j.sends < max(1, j.route.MaxAttempts) }

// canMove says whether a further endpoint could take the request now.
func (j *job) canMove() bool {
	s := j.server
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.CanRepeat(s.options.Now(), j.service.Name)
}

// heard takes what an answer's header says of the endpoint.
func (t *try) heard(header http.Header) {
	s, h := t.job.server, t.job.server.headers
	now := s.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if load, ok := dialect.ParseLoad(header.Get(h.Load)); ok {
		s.dispatch.Heard(now, t.chosen, load)
	}
	if version, err := strconv.ParseUint(header.Get(h.Weights), 10, 64); err == nil && t.job.ask.Model != "" {
		s.dispatch.Serves(t.chosen, t.job.ask.Model, version)
	}
}

// sound says whether the answer can be an endpoint's work. A success without
// the seal, or with a body in an encoding that nobody asked for, is not.
func (t *try) sound(answer *exchange.Answer) bool {
	if answer.Header.Get("Content-Encoding") != "" {
		return false
	}
	return !isSuccess(answer.Status) || answer.Header.Get(t.job.server.headers.Seal) != ""
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// end tells the decisions how the attempt ended.
func (t *try) end(how dispatch.End) {
	s := t.job.server
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	s.dispatch.Ended(now, t.chosen, how)
	switch how {
	case dispatch.Completed:
		s.suspects.Completed(t.id)
	case dispatch.Broken:
		s.suspects.Broken(now, t.id, 0, int(t.job.lastID))
	default:
		s.suspects.Ended(t.id)
	}
}

// began tells the decisions that the endpoint works on the request.
func (t *try) began() {
	s := t.job.server
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	s.dispatch.Began(now, t.chosen)
	s.suspects.FirstToken(now, t.id)
}

// fail ends an attempt that gave no whole answer, and the request if it must
// not or cannot be tried again.
func (t *try) fail(err error) {
	j := t.job
	how := t.classify(err)
	t.end(how)
	j.failed = err
	if proof, ok := outcome.ProofOf(err); ok {
		if d, dispatched := j.state.(*outcome.Dispatched); dispatched {
			j.state = d.NotStarted(proof)
		}
	}
	events.AttemptEnded.Log(j.server.log, append(t.fields(), zap.Stringer("end", how), zap.Error(err))...)
	if how == dispatch.Broken {
		t.probe()
	}
	if how == dispatch.Cancelled {
		j.giveUp(tables.CodeTimeout)
		return
	}
	j.ask.Tried = append(j.ask.Tried, t.chosen.Endpoint.ID)
	if code := j.mayTryAgain(how); code != 0 {
		j.giveUp(code)
	}
}

// classify says how an attempt ended.
func (t *try) classify(err error) dispatch.End {
	hung := t.unwatch()
	var declined *exchange.Declined
	var not *engine.NotStarted
	switch {
	case errors.As(err, &declined):
		t.heard(declined.Header)
		return dispatch.Declined
	case t.job.ctx.Err() != nil:
		return dispatch.Cancelled
	case hung:
		return dispatch.Hung
	case errors.As(err, &not) && not.Unreachable:
		return dispatch.Unreachable
	case errors.As(err, &not):
		return dispatch.Lost
	default:
		return dispatch.Broken
	}
}

// mayTryAgain returns 0 if the request may go to another endpoint, and else the
// reason why not.
func (j *job) mayTryAgain(how dispatch.End) tables.Code {
	_, unrun := j.state.(*outcome.Undispatched)
	if !unrun && !j.route.Repeatable() {
		return tables.CodeOutcomeUnknown
	}
	if how == dispatch.Unreachable || how == dispatch.Lost {
		// Nothing arrived anywhere: another endpoint adds no load.
		j.sends--
		return 0
	}
	if how != dispatch.Declined && !j.hasAttempts() {
		return tables.CodeEndpointFailed
	}
	if how == dispatch.Declined {
		j.sends--
	}
	s := j.server
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dispatch.Repeat(s.options.Now(), j.service.Name) {
		return tables.CodeRetryBudget
	}
	return 0
}

// probe looks whether the endpoint of a broken connection is gone. A request
// that crashes endpoints shows by what was running when they went.
func (t *try) probe() {
	s, endpoint := t.job.server, t.chosen.Endpoint
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", endpoint.Address.String())
		if err == nil {
			_ = conn.Close()
			return
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		s.mu.Lock()
		told := s.suspects.Crashed(s.options.Now(), quarantine.Life{Endpoint: endpoint.ID})
		s.mu.Unlock()
		events.EndpointCrashed.Log(s.log, zap.String("endpoint", string(endpoint.ID)), zap.Int("suspects", len(told)))
		if len(told) > 0 {
			s.options.Share(told)
		}
	}()
}

func (t *try) fields() []zap.Field {
	return []zap.Field{
		zap.String("request", t.job.id),
		zap.String("attempt", string(t.id)),
		zap.String("endpoint", string(t.chosen.Endpoint.ID)),
		zap.Uint64("weights", t.chosen.Weights),
		zap.Duration("expected", t.chosen.Expected),
		zap.Duration("took", t.job.now()-t.arrived),
	}
}
