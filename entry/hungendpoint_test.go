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

// hangingClient is a client whose cancel requests are not confirmed, as with an
// endpoint that hangs or is behind a network partition.
type hangingClient struct {
	*fakeClient
	testDone chan struct{}
}

func (c *hangingClient) Cancel(context.Context, netip.AddrPort, tables.AttemptID) error {
	<-c.testDone
	return nil
}

// Guards against a retry that waits for a hung engine to confirm the cancel of
// the previous attempt. The caller would wait for the timeout of the attempt
// and then for that of the cancel.
func TestRetryDoesNotWaitForHungEndpoint(t *testing.T) {
	testDone := make(chan struct{})
	r := newHarness(t, func(o *Options) { o.Client = &hangingClient{fakeClient: o.Client.(*fakeClient), testDone: testDone} })
	t.Cleanup(func() { close(testDone) })
	r.client.generate = []generateFunc{
		func(_ context.Context, req engine.GenerateRequest) (engine.Stream, error) {
			return nil, &engine.InterruptedError{Attempt: req.Attempt, Cause: &engine.ReadTimeoutError{After: time.Second}}
		},
		r.client.respondWith([]string{"a", "b"}, nil),
	}
	got := read(t, r.post(t, t.Context(), "/v1/completions", `{"prompt":"p","stream":true}`))
	assert.DeepEqual(t, texts(t, got), []string{"a", "b"})
}
