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

// startEngine starts an instantaneous stand-in.
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

func answer(prompt string, tokens int) string {
	return standin.NewText(model, "", version, prompt).First(tokens)
}

func TestGenerateDeliversTheWholeAnswer(t *testing.T) {
	e := startEngine(t, nil)
	c := engine.NewHTTPClient(engine.Options{})
	s, err := c.Generate(context.Background(), e.Address(), request("a1", "hello", 50))
	assert.NilError(t, err)
	assert.Equal(t, s.Accepted().Boot, e.Boot())
	assert.Equal(t, s.Accepted().Weights, version)
	assert.Equal(t, readAll(t, s), answer("hello", 50))
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

// An engine dies and another goes on from the token that the caller has. The
// caller must see neither a repeated nor a missing token.
func TestResumeContinuesTheSameAnswer(t *testing.T) {
	e := startEngine(t, nil)
	c := engine.NewHTTPClient(engine.Options{})
	req := request("a1", "hello", 20)
	req.ResumeFrom = 7
	req.Emitted = answer("hello", 7)
	s, err := c.Generate(context.Background(), e.Address(), req)
	assert.NilError(t, err)
	assert.Equal(t, req.Emitted+readAll(t, s), answer("hello", 20))
	assert.NilError(t, s.Close())
}

// The engine's process is gone and its port refuses connections. Nothing can
// have run, and the caller may be told so.
func TestRefusedConnectionIsNotStarted(t *testing.T) {
	e := startEngine(t, nil)
	e.Crash()
	c := engine.NewHTTPClient(engine.Options{})
	_, err := c.Generate(context.Background(), e.Address(), request("a1", "hello", 1))
	var failure *engine.NotStartedError
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	assert.Assert(t, failure.Unreachable)
}

// An engine serves newer weights than the instance thinks. It must say no
// before running instead of mixing versions.
func TestOtherWeightsAreDeclined(t *testing.T) {
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

// The engine crashes in the middle of an answer. The stream must end with a
// failure that says how far it came, and never look complete.
func TestCrashInterruptsTheStream(t *testing.T) {
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

// A caller goes away. The engine must stop the work and confirm it, so that
// its slot can be counted as free.
func TestCloseCancelsAtTheEngine(t *testing.T) {
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

func TestStandInsRefuseToListenElsewhere(t *testing.T) {
	_, err := standin.StartEngine(standin.EngineOptions{ID: "e", Address: netip.MustParseAddrPort("0.0.0.0:0")})
	var failure *standin.NotLoopback
	assert.Assert(t, errors.As(err, &failure))
}
