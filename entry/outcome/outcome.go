// Package outcome keeps what an entry tells callers about their work true. A
// request is either Undispatched or Dispatched, and only the former can be
// refused as not run. A Dispatched request returns to Undispatched only on a
// proof, for each of its attempts, that the endpoint did not begin.
//
// Without it a lost answer could be reported as work that did not run; the
// caller would send it again, and a licence would be issued twice.
package outcome

import (
	"errors"
	"fmt"
	"time"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/tables"
)

// Failure is the final answer to a request that got no whole answer. Its
// outcome can be set by this package only.
type Failure struct {
	Request tables.RequestID
	Code    tables.ErrorCode
	// RetryAfter is when it is worth asking again; zero means never.
	RetryAfter time.Duration
	// Detail adds a short sentence for malformed requests; may be empty.
	Detail  string
	outcome tables.Outcome
}

// Error gives the number and the outcome.
func (f *Failure) Error() string {
	return fmt.Sprintf("request %s failed with %d, %s", f.Request, f.Code, f.outcome)
}

// Outcome says whether the work ran.
func (f *Failure) Outcome() tables.Outcome { return f.outcome }

// DispatchedOutcome is an outcome of work that has been handed to an endpoint. There is
// no value of it that means not run.
type DispatchedOutcome struct{ outcome tables.Outcome }

// The outcomes of work that has been handed to an endpoint.
var (
	MayHaveRun = DispatchedOutcome{tables.OutcomeUnknown}
	HasRun     = DispatchedOutcome{tables.OutcomeRan}
)

// State is Undispatched or Dispatched.
type State interface {
	// Dispatch records that an attempt may be on its way to an endpoint.
	Dispatch(tables.AttemptID) *Dispatched
	state()
}

// Undispatched is a request of which nothing can have reached an endpoint.
type Undispatched struct {
	request tables.RequestID
	// dispatched is set once the request was dispatched through this value, so that
	// a copy that was kept cannot be refused.
	dispatched bool
}

// NewUndispatched begins a request of which nothing has left this process.
func NewUndispatched(request tables.RequestID) *Undispatched { return &Undispatched{request: request} }

// Refuse ends the request as not run. A value that has been dispatched gives
// an unknown outcome instead.
func (u *Undispatched) Refuse(r tables.Refusal) *Failure {
	f := &Failure{Request: u.request, Code: r.Code, RetryAfter: r.RetryAfter, outcome: tables.OutcomeNotRun}
	if u.dispatched {
		f.outcome = tables.OutcomeUnknown
	}
	return f
}

// Dispatch gives up the right to refuse.
func (u *Undispatched) Dispatch(attempt tables.AttemptID) *Dispatched {
	u.dispatched = true
	return &Dispatched{request: u.request, unproven: []tables.AttemptID{attempt}}
}

// Dispatched is a request that an endpoint may have begun to run.
type Dispatched struct {
	request tables.RequestID
	// unproven are the attempts without a proof that they never started.
	unproven []tables.AttemptID
}

// Dispatch adds a further attempt.
func (d *Dispatched) Dispatch(attempt tables.AttemptID) *Dispatched {
	d.unproven = append(d.unproven, attempt)
	return d
}

// NotStarted takes a proof that one attempt did not begin. Once there is one
// for every attempt the request is Undispatched again.
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

// NotStartedProof shows that an attempt did not begin.
type NotStartedProof struct{ attempt tables.AttemptID }

// ProofFromError gives the proof that an error of the engine client carries, if any.
func ProofFromError(err error) (NotStartedProof, bool) {
	var notStarted *engine.NotStartedError
	if !errors.As(err, &notStarted) {
		return NotStartedProof{}, false
	}
	return NotStartedProof{attempt: notStarted.Attempt}, true
}

// UnsentAttempt is an attempt that this process has not yet handed to the client.
type UnsentAttempt struct{ attempt tables.AttemptID }

// NewUnsentAttempt is called before the attempt can be sent.
func NewUnsentAttempt(attempt tables.AttemptID) *UnsentAttempt {
	return &UnsentAttempt{attempt: attempt}
}

// Discard gives the proof that the attempt was never sent. The value must not be
// used to send it afterwards.
func (u *UnsentAttempt) Discard() NotStartedProof { return NotStartedProof{attempt: u.attempt} }
