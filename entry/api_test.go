package entry

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/api/oas"
	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/tables"
)

// failureIn decodes the failure in a response body.
func failureIn(t *testing.T, content string) oas.FailureError {
	t.Helper()
	var f oas.Failure
	assert.NilError(t, json.Unmarshal([]byte(content), &f), content)
	return f.Error
}

// Guards against an entry that lets everybody in once the last organisation is removed.
func TestRemovedLastOrganisationLetsNobodyIn(t *testing.T) {
	r := newHarness(t, nil)
	c := testConfiguration()
	c.Revision, c.Organisations = 2, nil
	r.server.Configure(c)
	for _, authorization := range []string{"Bearer " + testToken, "Bearer", ""} {
		resp := r.post(t, t.Context(), "/v1/completions", `{"prompt":"p"}`, "Authorization", authorization)
		assert.Equal(t, resp.StatusCode, 401)
		assert.Equal(t, tables.ErrorCode(failureIn(t, read(t, resp)).Code), tables.CodeUnauthorised)
	}
}

// Guards against invalid requests that reach an endpoint or are reported with
// an outcome other than not run.
func TestInvalidRequestsAreNotDispatched(t *testing.T) {
	const completions = "/v1/completions"
	for _, c := range []struct {
		name    string
		path    string
		body    string
		headers []string
		status  int
		code    tables.ErrorCode
	}{
		{"bearer token missing", completions, `{"prompt":"p"}`, []string{"Authorization", ""}, 401, tables.CodeUnauthorised},
		{"other authentication scheme", completions, `{"prompt":"p"}`, []string{"Authorization", "Basic abc"}, 401, tables.CodeUnauthorised},
		{"unknown bearer token", completions, `{"prompt":"p"}`, []string{"Authorization", "Bearer nobody"}, 401, tables.CodeUnauthorised},
		{"not JSON", completions, `{"prompt":`, nil, 400, tables.CodeMalformed},
		{"two JSON values", completions, `{"prompt":"p"}{}`, nil, 400, tables.CodeMalformed},
		{"prompt missing", completions, `{"model":"m"}`, nil, 400, tables.CodeMalformed},
		{"empty list of messages", "/v1/chat/completions", `{"messages":[]}`, nil, 400, tables.CodeMalformed},
		{"wrong type", completions, `{"prompt":7}`, nil, 400, tables.CodeMalformed},
		{"max_tokens of zero", completions, `{"prompt":"p","max_tokens":0}`, nil, 400, tables.CodeMalformed},
		{"empty body", completions, ``, nil, 400, tables.CodeMalformed},
		{"other content type", completions, `{"prompt":"p"}`, []string{"Content-Type", "text/plain"}, 400, tables.CodeMalformed},
		{"idempotency key too long", completions, `{"prompt":"p"}`, []string{"Idempotency-Key", strings.Repeat("k", 300)}, 400, tables.CodeMalformed},
		{"too large", completions, `{"prompt":"` + strings.Repeat("p", 5000) + `"}`, nil, 413, tables.CodeTooLarge},
		{"unknown profile", completions, `{"prompt":"p"}`, []string{"X-Profile", "x"}, 404, tables.CodeUnknownProfile},
		{"profile of a plain service", completions, `{"prompt":"p"}`, []string{"X-Profile", "notes"}, 404, tables.CodeUnknownProfile},
		{"unknown model", completions, `{"model":"x","prompt":"p"}`, nil, 404, tables.CodeUnknownModel},
		{"unknown service", "/v1/services/x/read", `b`, []string{"Content-Type", contentTypeBinary}, 404, tables.CodeUnknownService},
		{"idempotency key missing", "/v1/services/press/publish", `b`, []string{"Content-Type", contentTypeBinary}, 400, tables.CodeKeyMissing},
		{"unknown route", "/v2/completions", `{}`, nil, 404, tables.CodeUnknownRoute},
		{"wrong method", "/v1/models", `{}`, nil, 404, tables.CodeUnknownRoute},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness(t, func(o *Options) { o.Limits.MaxBodyBytes = 4096 })
			resp := r.post(t, t.Context(), c.path, c.body, c.headers...)
			content := read(t, resp)
			assert.Equal(t, resp.StatusCode, c.status, content)
			failure := failureIn(t, content)
			assert.Equal(t, tables.ErrorCode(failure.Code), c.code, content)
			assert.Equal(t, string(failure.Outcome), string(tables.OutcomeNotRun))
			assert.Equal(t, len(r.client.received()), 0)
			assert.Equal(t, len(r.client.calls), 0)
		})
	}
}

// Guards against error codes without an HTTP error status or a message.
func TestEveryErrorCodeHasStatusAndMessage(t *testing.T) {
	for code, e := range errorResponses {
		assert.Assert(t, e.status >= 400 && e.message != "", "code %d", code)
	}
	assert.Equal(t, errorResponseFor(1).message, errorResponseFor(tables.CodeInternal).message)
}

// Guards against large prompts that many callers send at the same time and that
// exhaust the memory of the instance. Requests beyond the limit are rejected
// with a retry delay.
func TestBufferedBodiesAreBounded(t *testing.T) {
	r := newHarness(t, func(o *Options) { o.Limits.MaxBufferedBytes = 1000 })
	resp := r.post(t, t.Context(), "/v1/completions", `{"prompt":"`+strings.Repeat("p", 2000)+`"}`)
	content := read(t, resp)
	assert.Equal(t, resp.StatusCode, 503, content)
	failure := failureIn(t, content)
	assert.Equal(t, tables.ErrorCode(failure.Code), tables.CodeOverloaded)
	assert.Equal(t, string(failure.Outcome), string(tables.OutcomeNotRun))
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
	assert.Equal(t, r.server.bufferedBytes.Load(), int64(0))
}

// Guards against wrong formats of completions and chat completions, both
// streamed and not.
func TestCompletionResponses(t *testing.T) {
	r := newHarness(t, nil)
	r.client.generate = []generateFunc{r.client.respondWith([]string{"Hel", "lo"}, nil)}
	content := read(t, r.post(t, t.Context(), "/v1/completions", `{"prompt":"p","max_tokens":2}`))
	var completion oas.Completion
	assert.NilError(t, json.Unmarshal([]byte(content), &completion), content)
	assert.Equal(t, completion.Choices[0].Text, "Hello")
	assert.Equal(t, completion.Choices[0].FinishReason, finishLength)
	assert.Equal(t, completion.Usage.CompletionTokens, 2)
	assert.Equal(t, completion.Model, "m")

	content = read(t, r.post(t, t.Context(), "/v1/chat/completions",
		`{"messages":[{"role":"system","content":"style"},{"role":"user","content":"hi"}]}`))
	var chat oas.ChatCompletion
	assert.NilError(t, json.Unmarshal([]byte(content), &chat), content)
	assert.Equal(t, chat.Choices[0].Message.Content, "Hello")
	requests := r.client.received()
	assert.Equal(t, requests[1].Prompt, "system: style\nuser: hi\nassistant: ")
	assert.Equal(t, requests[1].Salt, "press")

	content = read(t, r.post(t, t.Context(), "/v1/chat/completions",
		`{"stream":true,"messages":[{"role":"user","content":"hi"}]}`))
	assert.Assert(t, strings.Contains(content, `"delta":{"role":"assistant","content":""}`), content)
	assert.Assert(t, strings.Contains(content, `"delta":{"content":"Hel"},"finish_reason":null`), content)
	assert.Assert(t, strings.HasSuffix(content, `"delta":{},"finish_reason":"stop"}]}`+"\n\n"+doneEvent), content)
	for _, event := range strings.Split(strings.TrimSuffix(content, "\n\n"), "\n\n") {
		data := strings.TrimPrefix(event, "data: ")
		assert.Assert(t, data == "[DONE]" || json.Valid([]byte(data)), data)
	}
}

// Guards against a wrong list of models, and against a plain service whose
// status replaces that of the HTTP response.
func TestModelsAndServices(t *testing.T) {
	r := newHarness(t, nil)
	req, err := http.NewRequest(http.MethodGet, r.url+"/v1/models", nil)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+testToken)
	resp, err := r.http.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, read(t, resp), `{"object":"list","data":[{"id":"m","object":"model"}]}`)

	r.client.call = []func(engine.CallRequest) (engine.CallResponse, error){
		func(q engine.CallRequest) (engine.CallResponse, error) {
			return engine.CallResponse{Attempt: q.Attempt, Boot: "b", Status: 404, Body: append([]byte("no "), q.Body...)}, nil
		},
	}
	resp = r.post(t, t.Context(), "/v1/services/notes/read", "7", "Content-Type", contentTypeBinary)
	assert.Equal(t, read(t, resp), "no 7")
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, resp.Header.Get("X-Service-Status"), "404")
	assert.Equal(t, r.client.calls[0].Path, "/v1/call/read")
}
