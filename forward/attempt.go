package forward

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/dialect"
	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/engine/exchange"
	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/schedule"
	"github.com/carawaystile/carawaystile/systems/quarantine"
	"github.com/carawaystile/carawaystile/tables"
)

// try is one attempt of a job.
type try struct {
	job    *job
	id     tables.AttemptID
	chosen *dispatch.Attempt
	// assignment reports how the attempt goes on; nil if this instance chose.
	assignment *schedule.Assignment
	ctx        context.Context
	cancel     context.CancelFunc
	hang       *time.Timer
	hung       atomic.Bool
	arrived    tables.Instant
	// answeredFirst is called once the endpoint has said something.
	answeredFirst func()
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

func (j *job) newTry(chosen *dispatch.Attempt) *try {
	s := j.server
	t := &try{
		job:     j,
		id:      tables.AttemptID(s.options.BootID + "-" + strconv.FormatUint(s.attempts.Add(1), 36)),
		chosen:  chosen,
		arrived: s.options.Now(),
	}
	t.assignment, j.assignment = j.assignment, nil
	t.ctx, t.cancel = context.WithCancel(j.ctx)
	s.metrics.placed(j, chosen.Rationale.Rule, t.assignment != nil)
	s.mu.Lock()
	life := quarantine.Incarnation{Endpoint: chosen.Endpoint.ID}
	s.suspects.Started(t.arrived, t.id, life, j.fingerprint)
	s.mu.Unlock()
	return t
}

// run sends the request and relays the answer.
func (t *try) run() {
	j := t.job
	defer t.cancel()
	j.state = j.state.Dispatch(t.id)
	j.charge.run()
	j.sends++
	t.watch(t.firstWait())
	t.answeredFirst = j.server.reach.await(t)
	defer t.answeredFirst()
	answer, err := j.server.options.Client.Send(t.ctx, t.chosen.Endpoint.Address, t.request())
	if err != nil {
		t.fail(err)
		return
	}
	t.answeredFirst()
	j.server.reach.answered(t.chosen.Endpoint.ID)
	t.noteHeader(answer.Header)
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
	if t.chosen.WeightsVersion > 0 {
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
		Once:    !j.route.SafeToRetry(),
	}
}

// maxPriority is the least urgent priority that endpoints know.
const maxPriority = 9

// describeGeneration sets what keeps cached prompts apart, and where the
// endpoint gets parts from and sends them.
func (t *try) describeGeneration(header http.Header) {
	j, h := t.job, t.job.server.headers
	header.Set(h.ExpectWeights, strconv.FormatUint(t.chosen.WeightsVersion, 10))
	header.Set(h.CacheSalt, parts.Salt(t.chosen.WeightsVersion, j.isolation()))
	header.Set(h.Priority, strconv.Itoa(min(max(j.ask.Priority, 0), maxPriority)))
	if t.chosen.HasCacheSource() {
		header.Set(h.CacheSource, t.chosen.CacheSource.Address.String())
	}
	if t.chosen.HasCacheStore() {
		header.Set(h.CacheTarget, t.chosen.CacheStore.Address.String())
	}
}

// noteHeader takes what an answer's header says of the endpoint.
func (t *try) noteHeader(header http.Header) {
	s, h := t.job.server, t.job.server.headers
	now := s.options.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if load, ok := dialect.ParseLoad(header.Get(h.Load)); ok {
		s.dispatch.RecordEndpointLoad(now, t.chosen, load)
	}
	t.noteLimit(now, header)
	if version, err := strconv.ParseUint(header.Get(h.Weights), 10, 64); err == nil && t.job.ask.Model != "" {
		s.dispatch.RecordServedVersion(t.chosen, t.job.ask.Model, version)
	}
}

// sound says whether the answer can be an endpoint's work. A success without
// the signature, or with a body in an encoding that nobody asked for, is not.
func (t *try) sound(answer *exchange.Answer) bool {
	if answer.Header.Get("Content-Encoding") != "" {
		return false
	}
	return !isSuccess(answer.Status) || answer.Header.Get(t.job.server.headers.Signature) != ""
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// end notes in the decisions how the attempt ended.
func (t *try) end(how dispatch.Outcome) {
	t.assignment.NotifyEnded(how)
	if how != dispatch.ConnectionRefused && how != dispatch.ConnectTimeout {
		t.job.ask.DeliveredAttempts++
	}
	s := t.job.server
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	s.dispatch.RecordOutcome(now, t.chosen, how)
	s.metrics.attempted(t.job, how)
	switch how {
	case dispatch.Completed:
		s.suspects.Completed(t.id)
	case dispatch.Broken:
		s.suspects.Interrupted(now, t.id, 0, int(t.job.lastID))
	default:
		s.suspects.Ended(t.id)
	}
}

// began notes in the decisions that the endpoint works on the request.
func (t *try) began() {
	t.assignment.NotifyStarted()
	s := t.job.server
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.options.Now()
	s.dispatch.RecordResponseStart(now, t.chosen)
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
		j.charge.notRun()
	}
	events.AttemptEnded.Log(j.server.log, append(t.fields(), zap.Stringer("end", how), zap.Error(err))...)
	switch how {
	case dispatch.Broken:
		t.probe()
	case dispatch.ConnectionRefused, dispatch.ConnectTimeout, dispatch.ResponseTimeout:
		j.server.reach.look(t.chosen.Endpoint)
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
func (t *try) classify(err error) dispatch.Outcome {
	hung := t.unwatch()
	var declined *exchange.Declined
	var not *engine.NotStarted
	switch {
	case errors.As(err, &declined) && declined.Status == http.StatusMisdirectedRequest:
		// The header speaks of another process, or of one with other weights.
		return dispatch.Misdirected
	case errors.As(err, &declined):
		t.noteHeader(declined.Header)
		return dispatch.Declined
	case t.job.ctx.Err() != nil:
		return dispatch.Cancelled
	case hung:
		return dispatch.ResponseTimeout
	case errors.As(err, &not) && not.Unreachable:
		return dispatch.ConnectionRefused
	case errors.As(err, &not):
		return dispatch.ConnectTimeout
	default:
		return dispatch.Broken
	}
}

func (t *try) fields() []zap.Field {
	return []zap.Field{
		zap.String("request", t.job.id),
		zap.String("attempt", string(t.id)),
		zap.String("endpoint", string(t.chosen.Endpoint.ID)),
		zap.Uint64("weights", t.chosen.WeightsVersion),
		zap.Duration("expected", t.chosen.ExpectedLatency),
		zap.Duration("took", t.job.now()-t.arrived),
		zap.String("rule", string(t.chosen.Rationale.Rule)),
		zap.Int("own", t.chosen.Rationale.OwnAttempts),
		zap.Int("others", t.chosen.Rationale.OtherAttempts),
		zap.Duration("load_age", t.chosen.Rationale.LoadAge),
		zap.Float64("doubt", t.chosen.Rationale.FailureScore),
		zap.Duration("since_answer", t.chosen.Rationale.SinceResponse),
		zap.Int("arrivals", t.job.ask.DeliveredAttempts),
	}
}
