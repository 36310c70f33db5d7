package peers

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/rpc"
)

// failingPeer is an instance that loses a number of reports before it receives one.
type failingPeer struct {
	failures, received int
}

type connectionLostError struct{}

func (*connectionLostError) Error() string { return "connection lost" }

func (p *failingPeer) Suspect(context.Context, *rpc.SuspectReport) (*rpc.SuspectAnswer, error) {
	if p.failures > 0 {
		p.failures--
		return nil, &connectionLostError{}
	}
	p.received++
	return &rpc.SuspectAnswer{}, nil
}

// Guards against an instance that misses a report because a connection breaks. It then
// accepts a request that has already crashed two endpoints and crashes two more with it.
// A harmless stream on those endpoints is resumed each time at one that crashes next, and
// fails for good.
func TestLostReportIsRetried(t *testing.T) {
	to := &failingPeer{failures: sendAttempts - 1}
	assert.NilError(t, SendReport(t.Context(), to, &rpc.SuspectReport{}))
	assert.Equal(t, to.received, 1)
}

// Attempts to reach an instance that has terminated must end.
func TestRetriesAreBounded(t *testing.T) {
	to := &failingPeer{failures: 100}
	err := SendReport(t.Context(), to, &rpc.SuspectReport{})
	assert.ErrorContains(t, err, "connection lost")
	assert.Equal(t, to.failures, 100-sendAttempts)
}
