package peers

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/rpc"
)

// losing is an instance that does not get the first reports.
type losing struct {
	lost, told int
}

type connectionLost struct{}

func (*connectionLost) Error() string { return "connection lost" }

func (l *losing) Suspect(context.Context, *rpc.SuspectReport) (*rpc.SuspectAnswer, error) {
	if l.lost > 0 {
		l.lost--
		return nil, &connectionLost{}
	}
	l.told++
	return &rpc.SuspectAnswer{}, nil
}

// A writer's stream was broken off for good although its request was sound. Another
// request had crashed two endpoints; the word of it to one instance was lost with a
// connection, that instance took the request again and crashed two more, and with each
// the stream lost the endpoint that it went on at.
func TestALostReportIsToldAgain(t *testing.T) {
	to := &losing{lost: tellTries - 1}
	assert.NilError(t, SendReport(t.Context(), to, &rpc.SuspectReport{}))
	assert.Equal(t, to.told, 1)
}

// An instance is gone. It is not told for ever.
func TestAnInstanceThatIsGoneIsNotToldForEver(t *testing.T) {
	to := &losing{lost: 100}
	err := SendReport(t.Context(), to, &rpc.SuspectReport{})
	assert.ErrorContains(t, err, "connection lost")
	assert.Equal(t, to.lost, 100-tellTries)
}
