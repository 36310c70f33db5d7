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

// flight is one request from its submission until its caller has the answer.
type flight struct {
	server  *Server
	row     tables.Request
	org     *tables.Organisation
	profile *tables.Profile
	// weights is the version that was wanted when the request came.
	weights tables.WeightsVersion
	// prompt is what engines get; call is what plain services get.
	prompt string
	call   *engine.CallRequest

	ctx    context.Context
	cancel context.CancelFunc

	// opened hands over an attempt whose first token or whole answer is there.
	opened chan *opened
	// failed carries the final failure; the loop sends at most one.
	failed chan *outcome.Failure

	// Fields of the loop alone.
	state    outcome.State
	attempts []*attempt
	queued   bool
	ended    bool
	// crashed is set once an attempt has ended with a crash of its endpoint.
	crashed bool
	// settling are closed once it is known of broken attempts whether their endpoints have
	// crashed.
	settling []<-chan struct{}

	// claim is set for work that must run at most once.
	claim *claim

	// mu guards what an attempt that starts needs to know of the answer so far.
	mu        sync.Mutex
	emitted   strings.Builder
	delivered int
	// size is the length of emitted in bytes.
	size int

	// won holds the attempt that the caller is being answered from.
	won atomic.Pointer[attempt]
}

// attempt is one try at running a flight.
type attempt struct {
	flight   *flight
	dispatch router.Dispatch
	ctx      context.Context
	cancel   context.CancelCauseFunc
	unsent   *outcome.UnsentAttempt
}

// opened is an attempt that has something for the caller.
type opened struct {
	attempt *attempt
	stream  engine.Stream
	first   engine.Token
	// whole is set when the stream ended before any token.
	whole  bool
	answer engine.CallResponse
}

// progress gives how many tokens the caller has, and their text.
func (f *flight) progress() (int, string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.delivered, f.emitted.String()
}

// lostAfter is how long from now the router has to end the flight. Its timeout
// ends every request; this is for the case that the router and the flight
// disagree on whether the request is open. A caller would notice it by a request
// that never ends, also past its timeout.
func (f *flight) lostAfter() time.Duration {
	return f.row.Deadline - f.server.now() + f.server.limits.DeadlineGrace
}

// advance records a token that is about to be given to the caller.
func (f *flight) advance(text string) {
	f.mu.Lock()
	f.delivered++
	f.size += len(text)
	f.emitted.WriteString(text)
	f.mu.Unlock()
}

// fail hands the final failure to the goroutine that serves the caller, once all of
// the channels are closed. Only the loop calls it.
func (f *flight) fail(failure *outcome.Failure, after ...<-chan struct{}) {
	if f.ended {
		return
	}
	f.ended = true
	failure.Request = f.row.ID
	if len(after) == 0 {
		f.failed <- failure
	} else {
		waits := slices.Clone(after)
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

// remove forgets an attempt that has ended.
func (f *flight) remove(id tables.AttemptID) {
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
