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

// mute never confirms a cancel, like an endpoint that hangs or is cut off.
type mute struct {
	*fakeClient
	over chan struct{}
}

func (c *mute) Cancel(context.Context, netip.AddrPort, tables.AttemptID) error {
	<-c.over
	return nil
}

// An engine hangs, and so it does not answer the cancel of its attempt either.
// The caller's next attempt must not wait for that word; a writer would sit
// through the timeout of the attempt and that of its cancel on top.
func TestNextAttemptDoesNotWaitForASilentEndpoint(t *testing.T) {
	over := make(chan struct{})
	r := newRig(t, func(o *Options) { o.Client = &mute{fakeClient: o.Client.(*fakeClient), over: over} })
	t.Cleanup(func() { close(over) })
	r.client.generate = []script{
		func(_ context.Context, req engine.GenerateRequest) (engine.Stream, error) {
			return nil, &engine.InterruptedError{Attempt: req.Attempt, Cause: &engine.ReadTimeoutError{After: time.Second}}
		},
		r.client.says([]string{"a", "b"}, nil),
	}
	got := read(t, r.post(t, t.Context(), "/v1/completions", `{"prompt":"p","stream":true}`))
	assert.DeepEqual(t, texts(t, got), []string{"a", "b"})
}
