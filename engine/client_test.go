package engine_test

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/prefix"
	"github.com/carawaystile/carawaystile/standin"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	model   = tables.ModelName("m")
	version = tables.WeightsVersion("v1")
)

// startEngine starts a stand-in engine that simulates no computing time.
func startEngine(t *testing.T, change func(o *standin.EngineOptions)) *standin.Engine {
	t.Helper()
	options := standin.EngineOptions{
		ID:      "e1",
		Weights: map[tables.ModelName]tables.WeightsVersion{model: version},
		Speedup: -1,
	}
	if change != nil {
		change(&options)
	}
	e, err := standin.StartEngine(options)
	assert.NilError(t, err)
	t.Cleanup(e.Close)
	return e
}

func request(attempt string, prompt string, tokens int) engine.GenerateRequest {
	return engine.GenerateRequest{
		Attempt: tables.AttemptID(attempt), Model: model, Weights: version,
		Prompt: prompt, MaxTokens: tokens, Salt: "org",
	}
}

func readAll(t *testing.T, s engine.Stream) string {
	t.Helper()
	var b strings.Builder
	for {
		token, err := s.Next()
		if err == io.EOF {
			return b.String()
		}
		assert.NilError(t, err)
		b.WriteString(token.Text)
	}
}

// expectedOutput returns the first tokens that a stand-in engine generates for a prompt.
func expectedOutput(prompt string, tokens int) string {
	return standin.NewText(model, "", version, prompt).First(tokens)
}

func TestGenerateDeliversCompleteOutput(t *testing.T) {
	e := startEngine(t, nil)
	c := engine.NewHTTPClient(engine.Options{})
	s, err := c.Generate(context.Background(), e.Address(), request("a1", "hello", 50))
	assert.NilError(t, err)
	assert.Equal(t, s.Accepted().Boot, e.Boot())
	assert.Equal(t, s.Accepted().Weights, version)
	assert.Equal(t, readAll(t, s), expectedOutput("hello", 50))
	assert.NilError(t, s.Close())
	assert.Equal(t, e.Records().Totals().Completed, 1)
}

func TestCachedPrefixIsReported(t *testing.T) {
	e := startEngine(t, nil)
	c := engine.NewHTTPClient(engine.Options{})
	prompt := strings.Repeat("p", 2*prefix.BlockBytes+100)
	for i, attempt := range []string{"a1", "a2"} {
		s, err := c.Generate(context.Background(), e.Address(), request(attempt, prompt, 1))
		assert.NilError(t, err)
		assert.Equal(t, s.Accepted().CachedTokens, i*2*prefix.BlockTokens)
		readAll(t, s)
		assert.NilError(t, s.Close())
	}
}

// An engine fails and another one resumes at the first token that the caller lacks. The
// caller must see neither a repeated nor a missing token.
func TestResumeContinuesTheSameOutput(t *testing.T) {
	e := startEngine(t, nil)
	c := engine.NewHTTPClient(engine.Options{})
	req := request("a1", "hello", 20)
	req.ResumeFrom = 7
	req.Emitted = expectedOutput("hello", 7)
	s, err := c.Generate(context.Background(), e.Address(), req)
	assert.NilError(t, err)
	assert.Equal(t, req.Emitted+readAll(t, s), expectedOutput("hello", 20))
	assert.NilError(t, s.Close())
}

// The engine's process is gone and its port refuses connections. Nothing can have run, so
// the attempt must be reported as not started.
func TestRefusedConnectionIsNotStarted(t *testing.T) {
	e := startEngine(t, nil)
	e.Crash()
	c := engine.NewHTTPClient(engine.Options{})
	_, err := c.Generate(context.Background(), e.Address(), request("a1", "hello", 1))
	var failure *engine.NotStartedError
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	assert.Assert(t, failure.Unreachable)
}

// An engine serves newer weights than the instance expects. It must reject the request
// before running it instead of mixing versions.
func TestOtherWeightsAreRejected(t *testing.T) {
	e := startEngine(t, nil)
	c := engine.NewHTTPClient(engine.Options{})
	req := request("a1", "hello", 1)
	req.Weights = "v0"
	_, err := c.Generate(context.Background(), e.Address(), req)
	var failure *engine.NotStartedError
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	assert.Assert(t, failure.Rejected)
	assert.Equal(t, e.Records().Totals().Ran, 0)
}

// The engine crashes in the middle of its output. The stream must end with an error that
// gives the number of received tokens, and must never look complete.
func TestCrashInterruptsStream(t *testing.T) {
	e := startEngine(t, func(o *standin.EngineOptions) { o.Speedup = 1 })
	c := engine.NewHTTPClient(engine.Options{})
	s, err := c.Generate(context.Background(), e.Address(), request("a1", "hello", 100_000))
	assert.NilError(t, err)
	_, err = s.Next()
	assert.NilError(t, err)
	e.Crash()
	for err == nil {
		_, err = s.Next()
	}
	var failure *engine.InterruptedError
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	assert.Assert(t, failure.Tokens >= 1)
	var unconfirmed *engine.CancelUnconfirmedError
	assert.Assert(t, errors.As(s.Close(), &unconfirmed))
}

// A caller disconnects. The engine must stop the work and confirm that, so that its slot
// can be counted as free.
func TestCloseCancelsAtEngine(t *testing.T) {
	e := startEngine(t, func(o *standin.EngineOptions) { o.Speedup = 1 })
	c := engine.NewHTTPClient(engine.Options{})
	s, err := c.Generate(context.Background(), e.Address(), request("a1", "hello", 100_000))
	assert.NilError(t, err)
	_, err = s.Next()
	assert.NilError(t, err)
	assert.NilError(t, s.Close())
	assert.Equal(t, e.Records().Totals().Cancelled, 1)
	load, err := c.Load(context.Background(), e.Address())
	assert.NilError(t, err)
	assert.Equal(t, load.Running+load.Queued, 0)
}

func TestStandInListensOnLoopbackOnly(t *testing.T) {
	_, err := standin.StartEngine(standin.EngineOptions{ID: "e", Address: netip.MustParseAddrPort("0.0.0.0:0")})
	var failure *standin.NotLoopback
	assert.Assert(t, errors.As(err, &failure))
}
