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

// inFlight is a request in flight, from its submission until its caller has the
// response.
type inFlight struct {
	server *Server
	// spec holds the attributes of the request that the router needs.
	spec    tables.Request
	org     *tables.Organisation
	profile *tables.Profile
	// weights is the weights version that was configured when the request
	// arrived.
	weights tables.WeightsVersion
	// prompt is the input of an engine; call is the input of a plain service
	// and nil for completions.
	prompt string
	call   *engine.CallRequest

	ctx    context.Context
	cancel context.CancelFunc

	// started delivers an attempt whose first token or complete response has
	// arrived.
	started chan *startedAttempt
	// failed delivers the final failure; the event loop sends at most one.
	failed chan *outcome.Failure

	// Only the event loop uses the fields from state to crashChecks.
	state    outcome.State
	attempts []*attempt
	queued   bool
	ended    bool
	// endpointCrashed is set once an attempt has ended with a crash of its
	// endpoint.
	endpointCrashed bool
	// interrupted is set once an attempt was interrupted.
	interrupted bool
	// crashChecks has a channel for each interrupted attempt for which it was
	// unknown whether its endpoint had crashed. The channel is closed once that
	// is known.
	crashChecks []<-chan struct{}

	// claim is set for work that must run at most once.
	claim *claim

	// mu guards the text and the number of tokens so far, which the next
	// attempt needs for a resume.
	mu              sync.Mutex
	emitted         strings.Builder
	deliveredTokens int
	// emittedBytes is the length of emitted.
	emittedBytes int

	// winner is the attempt that the caller is being answered from.
	winner atomic.Pointer[attempt]
}

// attempt is one try to run a request at an endpoint.
type attempt struct {
	request  *inFlight
	dispatch router.Dispatch
	ctx      context.Context
	cancel   context.CancelCauseFunc
	unsent   *outcome.UnsentAttempt
}

// startedAttempt is an attempt that has output for the caller.
type startedAttempt struct {
	attempt    *attempt
	stream     engine.Stream
	firstToken engine.Token
	// complete is set if no further token follows: the stream ended before its
	// first token, or the response is that of a plain service.
	complete bool
	response engine.CallResponse
}

// progress returns the number of tokens that the caller has, and their text.
func (f *inFlight) progress() (int, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.deliveredTokens, f.emitted.String()
}

// untilOverdue returns how much longer the router may take to end the request.
// The router's timeout ends every request. The additional bound covers the case
// that the router and the entry disagree on whether the request is open; the
// caller would then wait without end, even past its timeout.
func (f *inFlight) untilOverdue() time.Duration {
	return f.spec.Deadline - f.server.now() + f.server.limits.DeadlineGrace
}

// recordToken records a token that is about to be sent to the caller.
func (f *inFlight) recordToken(text string) {
	f.mu.Lock()
	f.deliveredTokens++
	f.emittedBytes += len(text)
	f.emitted.WriteString(text)
	f.mu.Unlock()
}

// fail delivers the final failure to the caller's goroutine once all of the
// given channels are closed. Only the event loop calls it.
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

// removeAttempt removes an attempt that has ended.
func (f *inFlight) removeAttempt(id tables.AttemptID) {
	for i, a := range f.attempts {
		if a.dispatch.Attempt == id {
			f.attempts = append(f.attempts[:i], f.attempts[i+1:]...)
			return
		}
	}
}

// notRun returns a failure for a request that was never submitted, so that its
// work did not run.
func notRun(id tables.RequestID, code tables.ErrorCode, retryAfter time.Duration) *outcome.Failure {
	return outcome.NewUndispatched(id).Refuse(tables.Refusal{Code: code, RetryAfter: retryAfter})
}
