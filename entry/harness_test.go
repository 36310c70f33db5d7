package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	testToken = "secret-of-press"
	testWait  = 10 * time.Second
)

// generateFunc is the fake implementation of one attempt at a completion.
type generateFunc func(ctx context.Context, req engine.GenerateRequest) (engine.Stream, error)

// fakeClient is an engine client that runs its functions in order of dispatch.
// The last function runs for all further attempts.
type fakeClient struct {
	mu        sync.Mutex
	generate  []generateFunc
	call      []func(engine.CallRequest) (engine.CallResponse, error)
	requests  []engine.GenerateRequest
	calls     []engine.CallRequest
	cancelled chan tables.AttemptID
	cancelErr error
}

func (c *fakeClient) Generate(ctx context.Context, _ netip.AddrPort, req engine.GenerateRequest) (engine.Stream, error) {
	c.mu.Lock()
	c.requests = append(c.requests, req)
	next := c.generate[0]
	if len(c.generate) > 1 {
		c.generate = c.generate[1:]
	}
	c.mu.Unlock()
	return next(ctx, req)
}

func (c *fakeClient) Call(_ context.Context, _ netip.AddrPort, req engine.CallRequest) (engine.CallResponse, error) {
	c.mu.Lock()
	c.calls = append(c.calls, req)
	next := c.call[0]
	if len(c.call) > 1 {
		c.call = c.call[1:]
	}
	c.mu.Unlock()
	return next(req)
}

func (c *fakeClient) Cancel(_ context.Context, _ netip.AddrPort, a tables.AttemptID) error {
	select {
	case c.cancelled <- a:
	default:
	}
	return c.cancelErr
}

// received returns the completion attempts so far.
func (c *fakeClient) received() []engine.GenerateRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]engine.GenerateRequest(nil), c.requests...)
}

// fakeStream returns tokens from a channel until the channel is closed.
type fakeStream struct {
	accepted engine.AcceptedEvent
	ctx      context.Context
	tokens   <-chan engine.Token
	// err is returned once tokens is closed; nil means that the stream is
	// complete.
	err    error
	cancel func()
}

func (s *fakeStream) Accepted() engine.AcceptedEvent { return s.accepted }

func (s *fakeStream) Next() (engine.Token, error) {
	select {
	case t, ok := <-s.tokens:
		if ok {
			return t, nil
		}
	case <-s.ctx.Done():
		return engine.Token{}, &engine.InterruptedError{Attempt: s.accepted.Attempt, Cause: s.ctx.Err()}
	}
	if s.err != nil {
		return engine.Token{}, s.err
	}
	return engine.Token{}, io.EOF
}

func (s *fakeStream) Close() error {
	s.cancel()
	return nil
}

// respondWith returns a function that streams the words from the requested
// offset on, and then fails with err or completes.
func (c *fakeClient) respondWith(words []string, err error) generateFunc {
	return func(ctx context.Context, req engine.GenerateRequest) (engine.Stream, error) {
		tokens := make(chan engine.Token, len(words))
		for i := req.ResumeFrom; i < len(words); i++ {
			tokens <- engine.Token{Attempt: req.Attempt, Index: i, Text: words[i]}
		}
		close(tokens)
		return c.stream(ctx, req, tokens, err), nil
	}
}

func (c *fakeClient) stream(ctx context.Context, req engine.GenerateRequest, tokens <-chan engine.Token, err error) *fakeStream {
	if interrupted, ok := err.(*engine.InterruptedError); ok {
		interrupted.Attempt = req.Attempt
	}
	return &fakeStream{
		accepted: engine.AcceptedEvent{Attempt: req.Attempt, Boot: "b1", Weights: req.Weights},
		ctx:      ctx, tokens: tokens, err: err,
		cancel: func() { _ = c.Cancel(ctx, netip.AddrPort{}, req.Attempt) },
	}
}

// testConfiguration returns a configuration with one organisation, five engines
// and three plain services.
func testConfiguration() *tables.Configuration {
	hash := sha256.Sum256([]byte(testToken))
	c := &tables.Configuration{
		Revision: 1,
		Profiles: []tables.Profile{
			{Name: "drafting", Kind: tables.Engine, Model: "m", Timeout: time.Minute, Idempotent: true},
			{Name: "notes", Kind: tables.PlainService, Service: "notes", Timeout: time.Minute, Idempotent: true},
			{Name: "publish", Kind: tables.PlainService, Service: "press", Timeout: time.Minute},
		},
		Organisations: []tables.Organisation{{ID: "press", TokenHashes: []string{hex.EncodeToString(hash[:])}, Share: 1}},
		Models:        []tables.Model{{Name: "m", Weights: "v1"}},
		WeightLoads:   1,
	}
	for i := range 5 {
		c.Endpoints = append(c.Endpoints, tables.Endpoint{
			ID: tables.EndpointID(fmt.Sprintf("e%d", i)), Kind: tables.Engine, Life: 1,
			Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(1000+i)),
			Models:  []tables.ModelName{"m"}, Slots: 8, CacheBlocks: 100,
		})
	}
	for i, service := range []tables.ServiceName{"notes", "press", "press"} {
		c.Endpoints = append(c.Endpoints, tables.Endpoint{
			ID: tables.EndpointID(fmt.Sprintf("s%d", i)), Kind: tables.PlainService, Life: 1,
			Address: netip.AddrPortFrom(netip.IPv4Unspecified(), uint16(2000+i)), Service: service, Slots: 8,
		})
	}
	return c
}

// harness is a Server over a real router, unless a test replaces it, and a fake
// client.
type harness struct {
	server *Server
	client *fakeClient
	url    string
	http   *http.Client
}

// newHarness starts a Server; configure, if not nil, adjusts its options.
func newHarness(t *testing.T, configure func(*Options)) *harness {
	t.Helper()
	client := &fakeClient{cancelled: make(chan tables.AttemptID, 64)}
	o := Options{
		Instance: "i1", BootID: "1", Client: client, Limits: Limits{DrainDelay: time.Nanosecond},
		Router: router.New(router.Options{Instance: "i1", Seed: 1}),
	}
	if configure != nil {
		configure(&o)
	}
	server, err := New(o)
	assert.NilError(t, err)
	server.Configure(testConfiguration())
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(func() {
		listener.Close()
		server.Close()
	})
	return &harness{server: server, client: client, url: listener.URL, http: listener.Client()}
}

// post sends a POST request, by default with a JSON body. Headers are pairs of
// name and value.
func (r *harness) post(t *testing.T, ctx context.Context, path, body string, headers ...string) *http.Response {
	t.Helper()
	resp, err := r.http.Do(r.request(t, ctx, path, body, headers...))
	assert.NilError(t, err)
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func (r *harness) request(t *testing.T, ctx context.Context, path, body string, headers ...string) *http.Request {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, r.url+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+testToken)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return req
}

// read returns the body of a response.
func read(t *testing.T, resp *http.Response) string {
	t.Helper()
	content, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return string(content)
}
