package entry

import (
	"bufio"
	"context"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

// texts returns the text of each event of a completion stream.
func texts(t *testing.T, body string) []string {
	t.Helper()
	var found []string
	for _, event := range strings.Split(body, "\n\n") {
		_, after, ok := strings.Cut(event, `"text":"`)
		if !ok {
			continue
		}
		text, _, _ := strings.Cut(after, `"`)
		if text != "" {
			found = append(found, text)
		}
	}
	return found
}

// Guards against events that are buffered until later ones follow.
func TestEventsAreFlushedIndividually(t *testing.T) {
	r := newHarness(t, nil)
	tokens := make(chan engine.Token)
	r.client.generate = []generateFunc{func(ctx context.Context, req engine.GenerateRequest) (engine.Stream, error) {
		return r.client.stream(ctx, req, tokens, nil), nil
	}}
	go func() { tokens <- engine.Token{Index: 0, Text: "one"} }()
	resp := r.post(t, t.Context(), "/v1/completions", `{"model":"m","prompt":"p","stream":true}`)
	assert.Equal(t, resp.StatusCode, 200)
	lines := bufio.NewReader(resp.Body)
	line, err := lines.ReadString('\n')
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(line, `"text":"one"`), line)

	// The engine produces the second token only after the first has arrived.
	tokens <- engine.Token{Index: 1, Text: "two"}
	_, _ = lines.ReadString('\n')
	line, err = lines.ReadString('\n')
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(line, `"text":"two"`), line)
	close(tokens)
	rest := new(strings.Builder)
	_, err = lines.WriteTo(rest)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(rest.String(), doneEvent), rest)
}

// progressRouter passes on the reports of progress that a Router gets.
type progressRouter struct {
	Router
	progressed chan router.AttemptProgressed
}

func (p *progressRouter) Observe(now tables.Instant, in router.Input) {
	if progress, ok := in.(router.AttemptProgressed); ok {
		p.progressed <- progress
	}
	p.Router.Observe(now, in)
}

// Guards against answers whose progress is never reported to the router, or is reported with each token.
func TestProgressOfAnswersIsReportedNowAndThen(t *testing.T) {
	const words = 20
	var clock atomic.Int64
	progress := &progressRouter{Router: newRetryingRouter(1), progressed: make(chan router.AttemptProgressed, words)}
	r := newHarness(t, func(o *Options) {
		o.Router = progress
		o.Now = func() tables.Instant { return tables.Instant(clock.Load()) }
	})
	tokens := make(chan engine.Token)
	r.client.generate = []generateFunc{func(ctx context.Context, req engine.GenerateRequest) (engine.Stream, error) {
		return r.client.stream(ctx, req, tokens, nil), nil
	}}
	go func() {
		for n := range words {
			tokens <- engine.Token{Index: n, Text: "w"}
			clock.Add(int64(progressInterval / 4))
		}
		close(tokens)
	}()
	resp := r.post(t, t.Context(), "/v1/completions", `{"model":"m","prompt":"p","stream":true}`)
	assert.Equal(t, len(texts(t, read(t, resp))), words)
	first := <-progress.progressed
	assert.Assert(t, first.Tokens > 0 && first.Tokens < words, "first reported after %d tokens", first.Tokens)
	assert.Assert(t, len(progress.progressed) <= words/4, "%d more reports", len(progress.progressed))
}

// Guards against missing or repeated tokens after an engine crashes in the
// middle of a stream. The caller sees a pause and then the rest.
func TestStreamResumesOnAnotherEndpointAfterCrash(t *testing.T) {
	r := newHarness(t, nil)
	words := []string{"a", "b", "c", "d"}
	r.client.generate = []generateFunc{
		r.client.respondWith(words[:2], &engine.InterruptedError{Tokens: 2, Cause: context.DeadlineExceeded}),
		r.client.respondWith(words, nil),
	}
	resp := r.post(t, t.Context(), "/v1/completions", `{"model":"m","prompt":"p","stream":true}`)
	got := read(t, resp)
	assert.DeepEqual(t, texts(t, got), words)
	assert.Assert(t, strings.HasSuffix(got, doneEvent), got)
	requests := r.client.received()
	assert.Equal(t, len(requests), 2)
	assert.Equal(t, requests[1].ResumeFrom, 2)
	assert.Equal(t, requests[1].Emitted, "ab")
	assert.Equal(t, string(requests[1].Weights), "v1")
}
