package peers

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/rpc"
)

// failingPeer is an instance that does not get the first reports.
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

// A writer's stream was broken off for good although its request was sound. Another
// request had crashed two endpoints; the word of it to one instance was lost with a
// connection, that instance took the request again and crashed two more, and with each
// the stream lost the endpoint that it went on at.
func TestLostReportIsRetried(t *testing.T) {
	to := &failingPeer{failures: sendAttempts - 1}
	assert.NilError(t, SendReport(t.Context(), to, &rpc.SuspectReport{}))
	assert.Equal(t, to.received, 1)
}

// An instance is gone. It is not told for ever.
func TestRetriesAreBounded(t *testing.T) {
	to := &failingPeer{failures: 100}
	err := SendReport(t.Context(), to, &rpc.SuspectReport{})
	assert.ErrorContains(t, err, "connection lost")
	assert.Equal(t, to.failures, 100-sendAttempts)
}
