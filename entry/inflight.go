package entry

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

// inFlight is one request from its submission until its caller has the answer.
type inFlight struct {
	server  *Server
	spec    tables.Request
	org     *tables.Organisation
	profile *tables.Profile
	// weights is the version that was wanted when the request came.
	weights tables.WeightsVersion
	// prompt is what engines get; call is what plain services get.
	prompt string
	call   *engine.CallRequest

	ctx    context.Context
	cancel context.CancelFunc

	// started hands over an attempt whose first token or whole answer is there.
	started chan *startedAttempt
	// failed carries the final failure; the loop sends at most one.
	failed chan *outcome.Failure

	// Fields of the loop alone.
	state    outcome.State
	attempts []*attempt
	queued   bool
	ended    bool
	// endpointCrashed is set once an attempt has ended with a crash of its endpoint.
	endpointCrashed bool
	// crashChecks are closed once it is known of broken attempts whether their endpoints have
	// crashed.
	crashChecks []<-chan struct{}

	// claim is set for work that must run at most once.
	claim *claim

	// mu guards what an attempt that starts needs to know of the answer so far.
	mu              sync.Mutex
	emitted         strings.Builder
	deliveredTokens int
	// emittedBytes is the length of emitted in bytes.
	emittedBytes int

	// winner holds the attempt that the caller is being answered from.
	winner atomic.Pointer[attempt]
}

// attempt is one try at running a flight.
type attempt struct {
	request  *inFlight
	dispatch router.Dispatch
	ctx      context.Context
	cancel   context.CancelCauseFunc
	unsent   *outcome.UnsentAttempt
}

// startedAttempt is an attempt that has something for the caller.
type startedAttempt struct {
	attempt    *attempt
	stream     engine.Stream
	firstToken engine.Token
	// complete is set when the stream ended before any token.
	complete bool
	response engine.CallResponse
}

// progress gives how many tokens the caller has, and their text.
func (f *inFlight) progress() (int, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.deliveredTokens, f.emitted.String()
}

// untilOverdue is how long from now the router has to end the flight. Its timeout
// ends every request; this is for the case that the router and the flight
// disagree on whether the request is open. A caller would notice it by a request
// that never ends, also past its timeout.
func (f *inFlight) untilOverdue() time.Duration {
	return f.spec.Deadline - f.server.now() + f.server.limits.DeadlineGrace
}

// recordToken records a token that is about to be given to the caller.
func (f *inFlight) recordToken(text string) {
	f.mu.Lock()
	f.deliveredTokens++
	f.emittedBytes += len(text)
	f.emitted.WriteString(text)
	f.mu.Unlock()
}

// fail hands the final failure to the goroutine that serves the caller, once all of
// the channels are closed. Only the loop calls it.
func (f *inFlight) fail(failure *outcome.Failure, waitFor ...<-chan struct{}) {
	if f.ended {
		return
	}
	f.ended = true
	failure.Request = f.spec.ID
	if len(waitFor) == 0 {
		f.failed <- failure
	} else {
		waits := slices.Clone(waitFor)
		go func() {
			for _, closed := range waits {
				<-closed
			}
			f.failed <- failure
		}()
	}
	for _, a := range f.attempts {
		a.cancel(nil)
	}
}

// removeAttempt forgets an attempt that has ended.
func (f *inFlight) removeAttempt(id tables.AttemptID) {
	for i, a := range f.attempts {
		if a.dispatch.Attempt == id {
			f.attempts = append(f.attempts[:i], f.attempts[i+1:]...)
			return
		}
	}
}

// notRun ends a flight that was never submitted.
func notRun(id tables.RequestID, code tables.ErrorCode, retryAfter time.Duration) *outcome.Failure {
	return outcome.NewUndispatched(id).Refuse(tables.Refusal{Code: code, RetryAfter: retryAfter})
}
