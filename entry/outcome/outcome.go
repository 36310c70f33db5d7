// Package outcome tracks whether the work of a request can have run, and
// enforces by its types that callers are told the truth. A request is either
// Undispatched or Dispatched, and only an Undispatched one can be refused as
// not run. A Dispatched request becomes Undispatched again only by a proof, for
// each of its attempts, that the endpoint did not start the work.
//
// Without this package, lost responses could be reported as work that did not
// run. The caller would send the request again, and a licence would be issued
// twice.
package outcome

import (
	"errors"
	"fmt"
	"time"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/tables"
)

// Failure is the final result of a request that got no complete response. Only
// this package can set its outcome.
type Failure struct {
	Request tables.RequestID
	Code    tables.ErrorCode
	// RetryAfter is the delay after which a retry can succeed; zero means
	// never.
	RetryAfter time.Duration
	// Detail is an additional sentence for malformed requests; may be empty.
	Detail  string
	outcome tables.Outcome
}

// Error includes the error code and the outcome.
func (f *Failure) Error() string {
	return fmt.Sprintf("request %s failed with %d, %s", f.Request, f.Code, f.outcome)
}

// Outcome returns whether the work ran.
func (f *Failure) Outcome() tables.Outcome { return f.outcome }

// DispatchedOutcome is the outcome of work that was sent to an endpoint. It has
// no value for work that did not run.
type DispatchedOutcome struct{ outcome tables.Outcome }

// The outcomes of work that was sent to an endpoint.
var (
	// MayHaveRun means that it is unknown whether the work ran.
	MayHaveRun = DispatchedOutcome{tables.OutcomeUnknown}
	// HasRun means that the work ran.
	HasRun = DispatchedOutcome{tables.OutcomeRan}
)

// State is either *Undispatched or *Dispatched.
type State interface {
	// Dispatch records that an attempt may be on its way to an endpoint.
	Dispatch(tables.AttemptID) *Dispatched
	state()
}

// Undispatched is a request of which no attempt can have reached an endpoint.
type Undispatched struct {
	request tables.RequestID
	// dispatched is set once the request was dispatched through this value, so
	// that a retained copy cannot be refused as not run.
	dispatched bool
}

// NewUndispatched returns the state of a request that this process has not sent
// anywhere.
func NewUndispatched(request tables.RequestID) *Undispatched { return &Undispatched{request: request} }

// Refuse ends the request as not run. If the value was dispatched, the outcome
// is unknown instead.
func (u *Undispatched) Refuse(r tables.Refusal) *Failure {
	f := &Failure{Request: u.request, Code: r.Code, RetryAfter: r.RetryAfter, outcome: tables.OutcomeNotRun}
	if u.dispatched {
		f.outcome = tables.OutcomeUnknown
	}
	return f
}

// Dispatch returns the dispatched state. From then on, u cannot be refused as
// not run.
func (u *Undispatched) Dispatch(attempt tables.AttemptID) *Dispatched {
	u.dispatched = true
	return &Dispatched{request: u.request, unproven: []tables.AttemptID{attempt}}
}

// Dispatched is a request that an endpoint may have started to run.
type Dispatched struct {
	request tables.RequestID
	// unproven are the attempts without a proof that they did not start.
	unproven []tables.AttemptID
}

// Dispatch adds another attempt.
func (d *Dispatched) Dispatch(attempt tables.AttemptID) *Dispatched {
	d.unproven = append(d.unproven, attempt)
	return d
}

// NotStarted applies a proof that one attempt did not start. Once every attempt
// has one, the request is Undispatched again.
func (d *Dispatched) NotStarted(p NotStartedProof) State {
	unproven := d.unproven[:0]
	for _, attempt := range d.unproven {
		if attempt != p.attempt {
			unproven = append(unproven, attempt)
		}
	}
	d.unproven = unproven
	if len(d.unproven) > 0 {
		return d
	}
	return NewUndispatched(d.request)
}

// Fail ends the request with an outcome other than not run.
func (d *Dispatched) Fail(code tables.ErrorCode, p DispatchedOutcome, retryAfter time.Duration) *Failure {
	return &Failure{Request: d.request, Code: code, RetryAfter: retryAfter, outcome: p.outcome}
}

func (*Undispatched) state() {}
func (*Dispatched) state()   {}

// NotStartedProof proves that an attempt did not start. Only this package can
// create a valid one.
type NotStartedProof struct{ attempt tables.AttemptID }

// ProofFromError returns the proof that an error of the engine client contains,
// if any.
func ProofFromError(err error) (NotStartedProof, bool) {
	var notStarted *engine.NotStartedError
	if !errors.As(err, &notStarted) {
		return NotStartedProof{}, false
	}
	return NotStartedProof{attempt: notStarted.Attempt}, true
}

// UnsentAttempt is an attempt that this process has not yet passed to the
// engine client.
type UnsentAttempt struct{ attempt tables.AttemptID }

// NewUnsentAttempt must be called before the attempt can be sent.
func NewUnsentAttempt(attempt tables.AttemptID) *UnsentAttempt {
	return &UnsentAttempt{attempt: attempt}
}

// Discard returns the proof that the attempt was never sent. The attempt must
// not be sent afterwards.
func (u *UnsentAttempt) Discard() NotStartedProof { return NotStartedProof{attempt: u.attempt} }
