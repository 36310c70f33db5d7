package entry

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/api/oas"
	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/prefix"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// callPathPrefix is the path at plain services under which calls are
	// served; the name of the call follows.
	callPathPrefix    = "/v1/call/"
	contentTypeText   = "text/plain; charset=utf-8"
	contentTypeBinary = "application/octet-stream"
	// atMostOnceMargin is how much longer than the profile's timeout the entry
	// waits for work that must run at most once.
	atMostOnceMargin = 5 * time.Second
)

// completionParams are the parameters of a completion or chat completion
// request.
type completionParams struct {
	profile, model, key string
	prompt              string
	maxTokens           int
	stream              bool
}

// serviceCallParams are the parameters of a call to a plain service.
type serviceCallParams struct {
	profile, service, call, key string
	body                        []byte
}

// completionSource provides the text of a completion, in pieces or as a whole.
type completionSource interface {
	// next returns the next piece of text, and io.EOF after the last one.
	next() (string, error)
	// readAll returns the complete text and its number of tokens.
	readAll() (string, int, error)
	// finishReason returns why the completion ended.
	finishReason() string
	close()
}

// startCompletion starts a completion and returns the source of its text. Work
// that must run at most once has completed when it returns.
func (s *Server) startCompletion(ctx context.Context, params completionParams) (completionSource, *inFlight, error) {
	org := organisationOf(ctx)
	index := s.configIndex.Load()
	p, code := index.resolveProfile(org, profileQuery{kind: tables.Engine, profile: params.profile, model: params.model})
	if code != 0 {
		return nil, nil, notRun("", code, 0)
	}
	f := s.newCompletion(index, org, p, params)
	if p.Idempotent && params.stream {
		return s.submit(ctx, f), f, nil
	}
	if p.Idempotent {
		return &restartingSource{responseReader: s.submit(ctx, f), ctx: ctx, params: params}, f, nil
	}
	body := bodyHash(string(p.Name), strconv.Itoa(params.maxTokens), params.prompt)
	answer, err := s.runAtMostOnce(ctx, f, params.key, body)
	if err != nil {
		return nil, nil, err
	}
	return &storedSource{response: answer, limit: params.maxTokens}, f, nil
}

// newCompletion returns a completion request that is bound to the weights
// version of the current configuration.
func (s *Server) newCompletion(index *configIndex, org *tables.Organisation, p *tables.Profile, params completionParams) *inFlight {
	f := s.newInFlight(org, p)
	f.prompt = params.prompt
	f.spec.PromptTokens = prefix.EstimateTokens(len(params.prompt))
	f.spec.MaxTokens = params.maxTokens
	f.weights = index.weightsVersion(p.Model)
	scope := prefix.Scope{Organisation: org.ID, Model: p.Model, Adapter: p.Adapter, Weights: f.weights}
	f.spec.Blocks = prefix.BlockHashes(nil, scope.RootHash(), params.prompt)
	f.spec.Fingerprint = fingerprint(org.ID, p.Name, params.prompt)
	return f
}

// restartingSource provides a completion that is not streamed. If the
// completion fails because its weights version is no longer in use, it restarts
// once under the new version: the caller has not seen any of the old text.
type restartingSource struct {
	*responseReader
	ctx    context.Context
	params completionParams
}

// readAll returns the complete text and its number of tokens.
func (r *restartingSource) readAll() (string, int, error) {
	text, tokens, err := r.responseReader.readAll()
	if err == nil || !r.weightsChanged(err) {
		return text, tokens, err
	}
	broken := r.request
	r.responseReader.close()
	restarted := broken.server.newCompletion(broken.server.configIndex.Load(), broken.org, broken.profile, r.params)
	restarted.spec.Arrived, restarted.spec.Deadline = broken.spec.Arrived, broken.spec.Deadline
	r.responseReader = broken.server.submit(r.ctx, restarted)
	return r.responseReader.readAll()
}

// weightsChanged reports whether a stream broke and the configuration has
// another weights version by now.
func (r *restartingSource) weightsChanged(err error) bool {
	var failure *outcome.Failure
	if !errors.As(err, &failure) || failure.Code != tables.CodeStreamBroken {
		return false
	}
	f := r.request
	return f.weights != f.server.configIndex.Load().weightsVersion(f.profile.Model)
}

// callService runs a call to a plain service and returns the complete response.
func (s *Server) callService(ctx context.Context, params serviceCallParams) (tables.StoredResponse, error) {
	org := organisationOf(ctx)
	p, code := s.configIndex.Load().resolveProfile(org, profileQuery{kind: tables.PlainService, profile: params.profile, service: params.service})
	if code != 0 {
		return tables.StoredResponse{}, notRun("", code, 0)
	}
	f := s.newInFlight(org, p)
	f.call = &engine.CallRequest{Path: callPathPrefix + params.call, ContentType: contentTypeBinary, IdempotencyKey: params.key, Body: params.body}
	f.spec.Fingerprint = fingerprint(org.ID, p.Name, params.call, string(params.body))
	if p.Idempotent {
		r := s.submit(ctx, f)
		defer r.close()
		return r.serviceResponse()
	}
	return s.runAtMostOnce(ctx, f, params.key, bodyHash(string(p.Name), params.call, string(params.body)))
}

// newInFlight returns a request with a new ID and a deadline after the
// profile's timeout.
func (s *Server) newInFlight(org *tables.Organisation, p *tables.Profile) *inFlight {
	f := &inFlight{org: org, profile: p}
	f.spec = tables.Request{
		ID:           s.newRequestID(),
		Organisation: org.ID,
		Profile:      p.Name,
		Arrived:      s.now(),
	}
	if p.Timeout > 0 {
		f.spec.Deadline = f.spec.Arrived + p.Timeout
	}
	return f
}

// runAtMostOnce runs work that must run at most once. It continues when its
// caller disconnects, so that the response is available to a resend.
func (s *Server) runAtMostOnce(ctx context.Context, f *inFlight, key string, body tables.BodyHash) (tables.StoredResponse, error) {
	if key == "" {
		return tables.StoredResponse{}, notRun(f.spec.ID, tables.CodeKeyMissing, 0)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.profile.Timeout+atMostOnceMargin)
	defer cancel()
	f.claim = &claim{store: s.claims, timeout: s.limits.ClaimTimeout}
	answer, failure := f.claim.acquire(ctx, f, tables.IdempotencyKey(key), body)
	if failure != nil {
		return tables.StoredResponse{}, failure
	}
	if answer != nil {
		return *answer, nil
	}
	r := s.submit(ctx, f)
	defer r.close()
	got, err := r.storedResponse()
	if err != nil {
		return tables.StoredResponse{}, f.failClaimed(err)
	}
	f.claim.finish(f, got)
	return got, nil
}

// storedResponse reads the complete response in the form in which it is stored
// for resends.
func (r *responseReader) storedResponse() (tables.StoredResponse, error) {
	if r.request.call != nil {
		return r.serviceResponse()
	}
	text, tokens, err := r.readAll()
	if err != nil {
		return tables.StoredResponse{}, err
	}
	return tables.StoredResponse{ContentType: contentTypeText, Body: []byte(text), Tokens: tokens}, nil
}

// failClaimed ends claimed work that gave no response, and releases the claim
// if the work did not run.
func (f *inFlight) failClaimed(err error) error {
	failure, ok := err.(*outcome.Failure)
	if !ok {
		return unknownOutcome(f.spec.ID, tables.CodeOutcomeUnknown, 0)
	}
	f.claim.release(f, failure)
	return failure
}

// storedSource provides a stored completion as one piece.
type storedSource struct {
	response tables.StoredResponse
	limit    int
	read     bool
}

func (s *storedSource) next() (string, error) {
	if s.read {
		return "", io.EOF
	}
	s.read = true
	return string(s.response.Body), nil
}

func (s *storedSource) readAll() (string, int, error) {
	return string(s.response.Body), s.response.Tokens, nil
}

func (s *storedSource) finishReason() string {
	if s.response.Tokens >= s.limit {
		return finishLength
	}
	return finishStop
}

func (s *storedSource) close() {}

// chatPrompt renders chat messages as one prompt. Equal leading messages give
// equal leading text, so that requests share cached prefixes.
func chatPrompt(messages []oas.Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(string(m.Role))
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	b.WriteString("assistant: ")
	return b.String()
}

// fingerprint hashes the parts of a request. Equal requests of one organisation
// have equal fingerprints at every instance.
func fingerprint(org tables.OrganisationID, p tables.ProfileName, parts ...string) tables.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range append([]string{string(org), string(p)}, parts...) {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return tables.Fingerprint(d.Sum64())
}

// bodyHash identifies the exact content of work that must run at most once.
// Each part is preceded by its length, so that different parts never
// concatenate to the same hashed text.
func bodyHash(parts ...string) tables.BodyHash {
	h := sha256.New()
	for _, part := range parts {
		_, _ = io.WriteString(h, strconv.Itoa(len(part))+":")
		_, _ = io.WriteString(h, part)
	}
	return tables.BodyHash(h.Sum(nil))
}
