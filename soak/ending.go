package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"
)

// ending is how a request ended for its caller.
type ending int

const (
	// answered requests got a whole successful response.
	answered ending = iota
	// refused requests got a response that promises that they do not run.
	refused
	// failed requests got any other whole response.
	failed
	// cut responses broke off.
	cut
	// unanswered requests lost their connection before a response.
	unanswered
	// unconnected requests got no connection.
	unconnected
	// abandoned requests are those whose caller left, at its deadline or before.
	abandoned
	endings
)

// endingNames describes each ending in summaries.
var endingNames = [endings]string{
	"answered", "refused", "failed", "cut in the response", "closed without an answer", "without a connection", "given up by the caller",
}

// Endings counts requests by how they ended.
type Endings [endings]int

func (e Endings) String() string {
	parts := make([]string, 0, len(e))
	for n, count := range e {
		parts = append(parts, fmt.Sprintf("%d %s", count, endingNames[n]))
	}
	return strings.Join(parts, ", ")
}

// ending classifies how a request that is over has ended.
func (r *request) ending() ending {
	err := r.result.Err
	switch {
	case errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded):
		return abandoned
	case err != nil && r.result.Status > 0:
		return cut
	case err != nil && !r.connected:
		return unconnected
	case err != nil:
		return unanswered
	case r.result.Complete:
		return answered
	case r.result.NotExecuted():
		return refused
	}
	return failed
}

// sendTrace observes how a request is sent. The transport calls it concurrently, also after the
// request has ended.
type sendTrace struct {
	mu        sync.Mutex
	connected bool
	written   time.Time
}

func (t *sendTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.connected = true
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			t.mu.Lock()
			defer t.mu.Unlock()
			if info.Err == nil {
				t.written = time.Now()
			}
		},
	})
}

// observed returns whether the request got a connection, and when its last byte was sent; zero if it was not.
func (t *sendTrace) observed() (connected bool, written time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.connected, t.written
}
