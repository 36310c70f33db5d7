package scenario

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/api/oas"
	"github.com/carawaystile/carawaystile/standin"
	"github.com/carawaystile/carawaystile/tables"
)

// request is one request of a caller, or several tries at the same work.
type request struct {
	name   string
	prompt string
	key    string
	text   string
	// call is that of a plain service; empty means a completion.
	call   string
	tokens int
	cancel context.CancelFunc
	done   chan struct{}

	mu sync.Mutex
	// grown is closed and replaced whenever the caller got something.
	grown  chan struct{}
	got    strings.Builder
	pieces int
	// marked is set by the end mark of a stream, or a whole answer.
	marked  bool
	failure *oas.FailureError
	// broken is set when the connection failed instead.
	broken error
	tries  int
}

// The calls of the publishing service.
const (
	callPublish = "send"
	callLookup  = "find"
)

// callProfiles are the profiles that calls are sent under.
var callProfiles = map[string]string{callPublish: "publishing", callLookup: "lookups"}

func newRequest(name string, prompt string, tokens int) *request {
	return &request{name: name, prompt: prompt, tokens: tokens, done: make(chan struct{}), grown: make(chan struct{})}
}

// right says whether a whole answer is one that an endpoint gives. A completion
// may be that of the weights in force at the start or of newer ones, but not a
// mixture.
func (r *request) right(got string) bool {
	if r.call != "" {
		return got == standin.ServiceAnswer(r.call, []byte(r.text))
	}
	return got == standin.NewText(model, "", weights, r.prompt).First(r.tokens) ||
		got == standin.NewText(model, "", newerWeights, r.prompt).First(r.tokens)
}

func (r *request) change(do func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do()
	close(r.grown)
	r.grown = make(chan struct{})
}

// build makes the HTTP request of one try.
func (r *request) build(ctx context.Context, address string, stream bool) (*http.Request, error) {
	path, kind, body := "/v1/completions", "application/json", []byte(nil)
	if r.call != "" {
		path, kind, body = "/v1/services/press/"+r.call, "application/octet-stream", []byte(r.text)
	} else {
		body, _ = json.Marshal(map[string]any{"prompt": r.prompt, "max_tokens": r.tokens, "stream": stream})
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("Content-Type", kind)
	if r.call != "" {
		req.Header.Set("X-Profile", callProfiles[r.call])
	}
	if r.key != "" {
		req.Header.Set("Idempotency-Key", r.key)
	}
	return req, nil
}

// run sends the request. With patience it is sent again while it did not run or
// its first run is in progress, as careful callers do.
func (r *request) run(ctx context.Context, address string, stream, patient bool) {
	defer close(r.done)
	for {
		r.change(func() { r.failure, r.broken = nil, nil; r.tries++ })
		r.try(ctx, address, stream)
		if !patient || !r.again() || ctx.Err() != nil {
			return
		}
	}
}

// again waits as long as the failure asks and says whether to send once more.
func (r *request) again() bool {
	r.mu.Lock()
	f := r.failure
	r.mu.Unlock()
	if f == nil || f.Outcome != oas.FailureErrorOutcomeNotRun && tables.ErrorCode(f.Code) != tables.CodeKeyInProgress {
		return false
	}
	after, ok := f.RetryAfterMs.Get()
	if ok {
		time.Sleep(time.Duration(after) * time.Millisecond)
	}
	return ok
}

func (r *request) try(ctx context.Context, address string, stream bool) {
	req, err := r.build(ctx, address, stream)
	if err == nil {
		var resp *http.Response
		if resp, err = http.DefaultTransport.RoundTrip(req); err == nil {
			defer func() { _ = resp.Body.Close() }()
			err = r.read(resp, stream)
		}
	}
	if err != nil {
		r.change(func() { r.broken = err })
	}
}

func (r *request) read(resp *http.Response, stream bool) error {
	if stream && resp.StatusCode == http.StatusOK {
		return r.readEvents(resp.Body)
	}
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return r.fail(content)
	}
	text := string(content)
	if r.call == "" {
		var whole oas.Completion
		if err := json.Unmarshal(content, &whole); err != nil {
			return err
		}
		text = whole.Choices[0].Text
	}
	r.change(func() { r.got.WriteString(text); r.marked = true })
	return nil
}

func (r *request) fail(content []byte) error {
	var f oas.Failure
	if err := json.Unmarshal(content, &f); err != nil {
		return err
	}
	r.change(func() { r.failure = &f.Error })
	return nil
}

// event is the part of a stream's event that callers read.
type event struct {
	Choices []struct{ Text string }
}

func (r *request) readEvents(body io.Reader) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			r.change(func() { r.marked = true })
			continue
		}
		var e event
		if err := json.Unmarshal([]byte(data), &e); err != nil {
			return err
		}
		if len(e.Choices) == 0 {
			if err := r.fail([]byte(data)); err != nil {
				return err
			}
			continue
		}
		if e.Choices[0].Text != "" {
			r.change(func() { r.got.WriteString(e.Choices[0].Text); r.pieces++ })
		}
	}
	return lines.Err()
}

// await waits until the caller has so many tokens.
func (r *request) await(pieces int) error {
	over := time.After(wait)
	for {
		r.mu.Lock()
		grown, enough := r.grown, r.pieces >= pieces
		r.mu.Unlock()
		if enough {
			return nil
		}
		select {
		case <-grown:
		case <-r.done:
			return &failed{what: r.name + " ended early: " + r.describe()}
		case <-over:
			return &failed{what: r.name + " did not get so far: " + r.describe()}
		}
	}
}

// end waits until the request is over.
func (r *request) end() error {
	select {
	case <-r.done:
		return nil
	case <-time.After(wait):
		return &failed{what: r.name + " did not end: " + r.describe()}
	}
}

// describe says what became of the request.
func (r *request) describe() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.failure != nil:
		return "code " + jsonOf(r.failure)
	case r.broken != nil:
		return "broken: " + r.broken.Error()
	case r.marked && r.right(r.got.String()):
		return "whole"
	case r.marked:
		return "end mark after a wrong answer: " + r.got.String()
	default:
		return "no end mark"
	}
}

func jsonOf(f *oas.FailureError) string {
	content, _ := json.Marshal(f)
	return string(content)
}
