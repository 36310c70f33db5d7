package entry

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/tables"
)

// hangingClient never confirms a cancel, like an endpoint that hangs or is cut off.
type hangingClient struct {
	*fakeClient
	testDone chan struct{}
}

func (c *hangingClient) Cancel(context.Context, netip.AddrPort, tables.AttemptID) error {
	<-c.testDone
	return nil
}

// An engine hangs, and so it does not answer the cancel of its attempt either.
// The caller's next attempt must not wait for that word; a writer would sit
// through the timeout of the attempt and that of its cancel on top.
func TestRetryDoesNotWaitForHungEndpoint(t *testing.T) {
	over := make(chan struct{})
	r := newHarness(t, func(o *Options) { o.Client = &hangingClient{fakeClient: o.Client.(*fakeClient), testDone: over} })
	t.Cleanup(func() { close(over) })
	r.client.generate = []generateFunc{
		func(_ context.Context, req engine.GenerateRequest) (engine.Stream, error) {
			return nil, &engine.InterruptedError{Attempt: req.Attempt, Cause: &engine.ReadTimeoutError{After: time.Second}}
		},
		r.client.respondWith([]string{"a", "b"}, nil),
	}
	got := read(t, r.post(t, t.Context(), "/v1/completions", `{"prompt":"p","stream":true}`))
	assert.DeepEqual(t, texts(t, got), []string{"a", "b"})
}
