package standin

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
)

func startService(t *testing.T, options ServiceOptions) *Service {
	t.Helper()
	options.ID = "s1"
	s, err := StartService(options)
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s
}

func publish(key string) engine.CallRequest {
	return engine.CallRequest{
		Attempt: "a1", Path: engine.PathCall + "publish",
		ContentType: "text/plain", IdempotencyKey: "k-" + key, Body: []byte("note"),
	}
}

func TestServiceCountsWhatItRan(t *testing.T) {
	s := startService(t, ServiceOptions{})
	c := engine.NewHTTPClient(engine.Options{})
	for _, key := range []string{"1", "2", "2"} {
		answer, err := c.Call(context.Background(), s.Address(), publish(key))
		assert.NilError(t, err)
		assert.Equal(t, string(answer.Body), ServiceAnswer("publish", []byte("note")))
		assert.Equal(t, answer.Boot, s.Boot())
	}
	assert.DeepEqual(t, s.Records().DuplicateKeys(), map[string]int{"k-2": 2})
	assert.Equal(t, s.Records().DuplicateAttempts(), 2)
}

// The service runs the call and its answer is lost. The caller's instance must
// treat the work as possibly done, and the records must show that it was.
func TestLostAnswerRanOnce(t *testing.T) {
	s := startService(t, ServiceOptions{AnswerLoss: 1})
	c := engine.NewHTTPClient(engine.Options{})
	_, err := c.Call(context.Background(), s.Address(), publish("1"))
	var open *engine.InterruptedError
	assert.Assert(t, errors.As(err, &open), "%v", err)
	assert.Equal(t, len(s.Records().Executions()), 1)
}

// A service that is full says so before it runs anything.
func TestFullServiceDeclines(t *testing.T) {
	s := startService(t, ServiceOptions{Slots: 1})
	s.slots <- struct{}{}
	c := engine.NewHTTPClient(engine.Options{})
	_, err := c.Call(context.Background(), s.Address(), publish("1"))
	var proven *engine.NotStartedError
	assert.Assert(t, errors.As(err, &proven), "%v", err)
	assert.Equal(t, len(s.Records().Executions()), 0)
	assert.Equal(t, s.Records().Declined(), 1)
}
