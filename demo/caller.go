package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// ending says how a request ended for its caller.
type ending uint8

const (
	// complete: the whole answer came.
	complete ending = iota
	// left: the caller went away on purpose.
	left
	// refused: a failure says that nothing ran.
	refused
	// failed: any other explicit failure.
	failed
	// silent: the answer stopped without an end mark and without a failure.
	silent
	// unreached: the instance could not be reached or broke off before it
	// answered.
	unreached
)

// result is what a caller got.
type result struct {
	item    *item
	ending  ending
	code    int
	outcome tables.Outcome
	text    string
	// ttft is the time to the first token of a stream, or to the whole answer.
	ttft time.Duration
	// resent says that this is a second try of the same work.
	resent bool
}

// failureBody is the part of a failure that callers of the demo read.
type failureBody struct {
	Error struct {
		Code    int            `json:"code"`
		Outcome tables.Outcome `json:"outcome"`
	} `json:"error"`
}

// caller sends requests to instances.
type caller struct{ client *http.Client }

func newCaller() *caller {
	return &caller{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}}
}

// completionAsk is the body of a completion request.
type completionAsk struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (i *item) request(ctx context.Context, address string) (*http.Request, error) {
	to, kind, content := "/v1/completions", "application/json", []byte(i.body)
	if i.isCall() {
		to, kind = "/v1/services/"+string(i.service)+"/"+i.call, "application/octet-stream"
	} else {
		var err error
		content, err = json.Marshal(completionAsk{Prompt: i.prompt, MaxTokens: i.tokens, Stream: i.stream})
		if err != nil {
			return nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+to, bytes.NewReader(content))
	if err != nil {
		return nil, err
	}
	// A caller's library must not repeat a request by itself either: the demo
	// counts how often each was sent.
	req.GetBody = nil
	req.Header.Set("Content-Type", kind)
	req.Header.Set("Authorization", "Bearer "+i.org+"-demo-token")
	req.Header.Set("X-Profile", string(i.profile))
	if i.key != "" {
		req.Header.Set("Idempotency-Key", i.key)
	}
	return req, nil
}

// send sends an item once and reads all of its answer.
func (c *caller) send(ctx context.Context, i *item, address string) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := result{item: i, ending: unreached, outcome: tables.OutcomeUnknown}
	req, err := i.request(ctx, address)
	if err != nil {
		return r
	}
	began := time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		return r
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode != http.StatusOK:
		r.readFailure(resp.Body)
	case i.stream:
		r.readStream(resp.Body, began)
	default:
		r.readWhole(resp.Body, began)
	}
	return r
}

func (r *result) readFailure(body io.Reader) {
	content, err := io.ReadAll(body)
	if err == nil {
		r.noteFailure(content)
	}
}

func (r *result) noteFailure(content []byte) {
	var failure failureBody
	if err := json.Unmarshal(content, &failure); err != nil {
		return
	}
	r.ending, r.code, r.outcome = failed, failure.Error.Code, failure.Error.Outcome
	if r.outcome == tables.OutcomeNotRun {
		r.ending = refused
	}
}

// answerBody is the part of a completion that callers of the demo read.
type answerBody struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

func (r *result) readWhole(body io.Reader, began time.Time) {
	content, err := io.ReadAll(body)
	if err != nil {
		r.ending = silent
		return
	}
	r.ttft = time.Since(began)
	r.ending = complete
	if r.item.isCall() {
		r.text = string(content)
		return
	}
	var answer answerBody
	if err := json.Unmarshal(content, &answer); err != nil || len(answer.Choices) != 1 {
		r.ending = silent
		return
	}
	r.text = answer.Choices[0].Text
}

// readStream reads server-sent events up to the end mark, a failure or the
// point at which the caller leaves.
func (r *result) readStream(body io.Reader, began time.Time) {
	r.ending = silent
	lines := bufio.NewReader(body)
	isError := false
	tokens := 0
	var text strings.Builder
	defer func() { r.text = text.String() }()
	for {
		line, err := lines.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimSpace(line)
		data, isData := strings.CutPrefix(line, "data: ")
		switch {
		case line == "event: error":
			isError = true
		case isData && isError:
			r.noteFailure([]byte(data))
			return
		case data == "[DONE]":
			r.ending = complete
			return
		case isData:
			if tokens == 0 {
				r.ttft = time.Since(began)
			}
			got, err := tokenText(data)
			if err != nil {
				return
			}
			text.WriteString(got)
			if tokens++; tokens == r.item.leaveAfter {
				r.ending = left
				return
			}
		}
	}
}

// noChoice means that an event of a stream has no text.
type noChoice struct{}

func (e *noChoice) Error() string { return "event without a choice" }

func tokenText(data string) (string, error) {
	var answer answerBody
	if err := json.Unmarshal([]byte(data), &answer); err != nil {
		return "", err
	}
	if len(answer.Choices) != 1 {
		return "", &noChoice{}
	}
	return answer.Choices[0].Text, nil
}
