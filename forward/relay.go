package forward

import (
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/engine/exchange"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/routes"
)

const (
	eventStream = "text/event-stream"
	// gapFactor is how many times the longest pause that callers are content
	// with an endpoint may pause before a resumable stream goes on elsewhere.
	gapFactor  = 2
	defaultGap = 600 * time.Millisecond
	// writeStall bounds how long a caller may take no data.
	writeStall = 10 * time.Second
)

func (t *try) isStream(answer *exchange.Answer) bool {
	if t.job.route.Kind != routes.Stream || !isSuccess(answer.Status) {
		return false
	}
	media, _, _ := mime.ParseMediaType(answer.Header.Get("Content-Type"))
	return media == eventStream
}

// relayWhole passes on an answer that is not a stream once all of it is there,
// so that a broken one can be tried again and never looks whole.
func (t *try) relayWhole(answer *exchange.Answer) {
	j := t.job
	body, err := answer.ReadAll()
	if err != nil {
		t.fail(err)
		return
	}
	t.unwatch()
	t.began()
	got := &whole{status: answer.Status, header: answer.Header, body: body, from: t}
	if answer.Status >= http.StatusInternalServerError && t.failedAtEndpoint(got) {
		return
	}
	t.end(dispatch.Completed)
	if j.started {
		// A stream that was begun elsewhere cannot go on with this.
		j.cut()
		return
	}
	j.deliver(got)
}

// whole is an endpoint's whole answer that is not a stream.
type whole struct {
	status int
	header http.Header
	body   []byte
	from   *try
}

// deliver gives a whole answer to the caller as the endpoint made it.
func (j *job) deliver(got *whole) {
	j.server.headers.ToCaller(j.w.Header(), got.header)
	j.w.Header().Set("Content-Length", strconv.Itoa(len(got.body)))
	j.plainHeader(got.header)
	j.w.WriteHeader(got.status)
	_, _ = j.w.Write(got.body)
	j.done(got.status, got.from)
}

// failedAtEndpoint tries a repeatable request again after an endpoint's own
// failure, and says whether it will. The answer is kept: if no other endpoint
// gives one, the caller gets it and not a failure of this instance in its place.
func (t *try) failedAtEndpoint(got *whole) bool {
	j := t.job
	if !j.route.SafeToRetry() || j.ctx.Err() != nil || j.started {
		return false
	}
	if j.mayTryAgain(dispatch.Completed) != 0 {
		return false
	}
	t.end(dispatch.Completed)
	j.kept = got
	j.ask.Tried = append(j.ask.Tried, t.chosen.Endpoint.ID)
	events.AttemptEnded.Log(j.server.log, append(t.fields(), zap.Int("status", got.status))...)
	return true
}

// plainHeader keeps net/http from adding a type that the endpoint did not send.
func (j *job) plainHeader(from http.Header) {
	if _, typed := from["Content-Type"]; !typed {
		j.w.Header()["Content-Type"] = nil
	}
}

// relayStream passes events on as they arrive. The caller gets whole events
// only, each once and in order, whichever endpoint made them.
func (t *try) relayStream(answer *exchange.Answer) {
	j := t.job
	stream := exchange.NewEvents(answer)
	for {
		event, err := stream.Next()
		if err == io.EOF {
			t.endStream(answer)
			return
		}
		if err != nil {
			answer.Close()
			t.fail(&engine.Interrupted{Attempt: t.id, Cause: err})
			return
		}
		t.unwatch()
		t.began()
		if event.HasID && j.hasLast && event.ID <= j.lastID {
			continue // the caller has it
		}
		if err := j.write(answer, event); err != nil {
			answer.Close()
			t.end(dispatch.Cancelled)
			j.gone(err)
			return
		}
		t.watch(t.gapWait())
	}
}

func (t *try) gapWait() time.Duration {
	if !t.job.route.Resumable {
		return 0
	}
	gap := t.job.route.TargetEventGap
	if gap <= 0 {
		gap = defaultGap
	}
	return gapFactor * gap
}

// write gives one event to the caller, the header of the first answer before
// the first event.
func (j *job) write(answer *exchange.Answer, event exchange.Event) error {
	control := http.NewResponseController(j.w)
	if !j.started {
		j.started = true
		j.server.headers.ToCaller(j.w.Header(), answer.Header)
		j.w.WriteHeader(answer.Status)
		j.first = j.now() - j.arrived
		j.server.metrics.first(j)
	} else {
		j.server.metrics.gap(j, j.now()-j.eventAt)
	}
	j.eventAt = j.now()
	_ = control.SetWriteDeadline(time.Now().Add(writeStall))
	if _, err := j.w.Write(event.Raw); err != nil {
		return err
	}
	if event.HasID {
		j.lastEvent = strconv.FormatInt(event.ID, 10)
		j.lastID, j.hasLast = event.ID, true
	}
	return control.Flush()
}

// endStream ends a stream that is whole.
func (t *try) endStream(answer *exchange.Answer) {
	j := t.job
	t.unwatch()
	t.began()
	t.end(dispatch.Completed)
	if !j.started {
		j.started = true
		j.server.headers.ToCaller(j.w.Header(), answer.Header)
		j.w.WriteHeader(answer.Status)
	}
	j.done(answer.Status, t)
}
