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

// Possible is an outcome of work that has been handed to an endpoint. There is
// no value of it that means not run.
type Possible struct{ outcome tables.Outcome }

// The outcomes of work that has been handed to an endpoint.
var (
	MayHaveRun = Possible{tables.OutcomeUnknown}
	HasRun     = Possible{tables.OutcomeRan}
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
	// spent is set once the request was dispatched through this value, so that
	// a copy that was kept cannot be refused.
	spent bool
}

// New begins a request of which nothing has left this process.
func New(request tables.RequestID) *Undispatched { return &Undispatched{request: request} }

// Refuse ends the request as not run. A value that has been dispatched gives
// an unknown outcome instead.
func (u *Undispatched) Refuse(r tables.Refusal) *Failure {
	f := &Failure{Request: u.request, Code: r.Code, RetryAfter: r.RetryAfter, outcome: tables.OutcomeNotRun}
	if u.spent {
		f.outcome = tables.OutcomeUnknown
	}
	return f
}

// Dispatch gives up the right to refuse.
func (u *Undispatched) Dispatch(attempt tables.AttemptID) *Dispatched {
	u.spent = true
	return &Dispatched{request: u.request, open: []tables.AttemptID{attempt}}
}

// Dispatched is a request that an endpoint may have begun to run.
type Dispatched struct {
	request tables.RequestID
	// open are the attempts without a proof that they never started.
	open []tables.AttemptID
}

// Dispatch adds a further attempt.
func (d *Dispatched) Dispatch(attempt tables.AttemptID) *Dispatched {
	d.open = append(d.open, attempt)
	return d
}

// NotStarted takes a proof that one attempt did not begin. Once there is one
// for every attempt the request is Undispatched again.
func (d *Dispatched) NotStarted(p Proof) State {
	kept := d.open[:0]
	for _, attempt := range d.open {
		if attempt != p.attempt {
			kept = append(kept, attempt)
		}
	}
	d.open = kept
	if len(d.open) > 0 {
		return d
	}
	return New(d.request)
}

// Fail ends the request with an outcome other than not run.
func (d *Dispatched) Fail(code tables.ErrorCode, p Possible, retryAfter time.Duration) *Failure {
	return &Failure{Request: d.request, Code: code, RetryAfter: retryAfter, outcome: p.outcome}
}

func (*Undispatched) state() {}
func (*Dispatched) state()   {}

// Proof shows that an attempt did not begin.
type Proof struct{ attempt tables.AttemptID }

// ProofOf gives the proof that an error of the engine client carries, if any.
func ProofOf(err error) (Proof, bool) {
	var not *engine.NotStartedError
	if !errors.As(err, &not) {
		return Proof{}, false
	}
	return Proof{attempt: not.Attempt}, true
}

// Unsent is an attempt that this process has not yet handed to the client.
type Unsent struct{ attempt tables.AttemptID }

// NewUnsent is called before the attempt can be sent.
func NewUnsent(attempt tables.AttemptID) *Unsent { return &Unsent{attempt: attempt} }

// Drop gives the proof that the attempt was never sent. The value must not be
// used to send it afterwards.
func (u *Unsent) Drop() Proof { return Proof{attempt: u.attempt} }
