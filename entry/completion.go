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
	// callPath is where plain services answer calls; the name of the call
	// follows.
	callPath = "/v1/call/"
	typeText = "text/plain; charset=utf-8"
	typeData = "application/octet-stream"
	// onceMargin is how much longer than a profile's timeout the entry waits
	// for work that must run once.
	onceMargin = 5 * time.Second
)

// completionAsk is a completion as a caller asked for it.
type completionAsk struct {
	profile, model, key string
	prompt              string
	maxTokens           int
	stream              bool
}

// serviceAsk is a call to a plain service as a caller asked for it.
type serviceAsk struct {
	profile, service, call, key string
	body                        []byte
}

// source gives the text of an answer, in pieces or whole.
type source interface {
	next() (string, error)
	// text gives the whole text and the number of its tokens.
	text() (string, int, error)
	finishReason() string
	close()
}

// complete starts a completion and gives the source of its answer. Work that
// must run once has ended when it returns.
func (s *Server) complete(ctx context.Context, ask completionAsk) (source, *flight, error) {
	org := organisationOf(ctx)
	d := s.directory.Load()
	p, code := d.resolve(org, target{kind: tables.Engine, profile: ask.profile, model: ask.model})
	if code != 0 {
		return nil, nil, notRun("", code, 0)
	}
	f := s.newCompletion(d, org, p, ask)
	if p.Idempotent && ask.stream {
		return s.launch(ctx, f), f, nil
	}
	if p.Idempotent {
		return &restartable{reader: s.launch(ctx, f), ctx: ctx, ask: ask}, f, nil
	}
	body := bodyHash(string(p.Name), strconv.Itoa(ask.maxTokens), ask.prompt)
	answer, err := s.once(ctx, f, ask.key, body)
	if err != nil {
		return nil, nil, err
	}
	return &stored{answer: answer, limit: ask.maxTokens}, f, nil
}

// newCompletion makes the flight of a completion under the weights that are
// wanted now.
func (s *Server) newCompletion(d *directory, org *tables.Organisation, p *tables.Profile, ask completionAsk) *flight {
	f := s.newFlight(org, p)
	f.prompt = ask.prompt
	f.row.PromptTokens = prefix.EstimateTokens(len(ask.prompt))
	f.row.MaxTokens = ask.maxTokens
	f.weights = d.weights(p.Model)
	scope := prefix.Scope{Organisation: org.ID, Model: p.Model, Adapter: p.Adapter, Weights: f.weights}
	f.row.Blocks = prefix.BlockHashes(nil, scope.RootHash(), ask.prompt)
	f.row.Fingerprint = fingerprint(org.ID, p.Name, ask.prompt)
	return f
}

// restartable gives the text of an answer that is not streamed. When the answer
// cannot be completed because its weights are not in force any more, it begins
// again under the new ones: the caller has seen nothing of the old answer.
type restartable struct {
	*reader
	ctx context.Context
	ask completionAsk
}

// text gives the whole answer and the number of its tokens.
func (r *restartable) text() (string, int, error) {
	text, tokens, err := r.reader.text()
	if err == nil || !r.outdated(err) {
		return text, tokens, err
	}
	old := r.flight
	r.reader.close()
	fresh := old.server.newCompletion(old.server.directory.Load(), old.org, old.profile, r.ask)
	fresh.row.Arrived, fresh.row.Deadline = old.row.Arrived, old.row.Deadline
	r.reader = old.server.launch(r.ctx, fresh)
	return r.reader.text()
}

// outdated says whether a stream broke and other weights are wanted by now.
func (r *restartable) outdated(err error) bool {
	var failure *outcome.Failure
	if !errors.As(err, &failure) || failure.Code != tables.CodeStreamBroken {
		return false
	}
	f := r.flight
	return f.weights != f.server.directory.Load().weights(f.profile.Model)
}

// callService runs a call to a plain service to its end.
func (s *Server) callService(ctx context.Context, ask serviceAsk) (tables.StoredResponse, error) {
	org := organisationOf(ctx)
	p, code := s.directory.Load().resolve(org, target{kind: tables.PlainService, profile: ask.profile, service: ask.service})
	if code != 0 {
		return tables.StoredResponse{}, notRun("", code, 0)
	}
	f := s.newFlight(org, p)
	f.call = &engine.CallRequest{Path: callPath + ask.call, ContentType: typeData, IdempotencyKey: ask.key, Body: ask.body}
	f.row.Fingerprint = fingerprint(org.ID, p.Name, ask.call, string(ask.body))
	if p.Idempotent {
		r := s.launch(ctx, f)
		defer r.close()
		return r.whole()
	}
	return s.once(ctx, f, ask.key, bodyHash(string(p.Name), ask.call, string(ask.body)))
}

func (s *Server) newFlight(org *tables.Organisation, p *tables.Profile) *flight {
	f := &flight{org: org, profile: p}
	f.row = tables.Request{
		ID:           s.newID(),
		Organisation: org.ID,
		Profile:      p.Name,
		Arrived:      s.now(),
	}
	if p.Timeout > 0 {
		f.row.Deadline = f.row.Arrived + p.Timeout
	}
	return f
}

// once runs work that must run at most once. It goes on when its caller goes
// away, so that the answer is there for the resend.
func (s *Server) once(ctx context.Context, f *flight, key string, body tables.BodyHash) (tables.StoredResponse, error) {
	if key == "" {
		return tables.StoredResponse{}, notRun(f.row.ID, tables.CodeKeyMissing, 0)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), f.profile.Timeout+onceMargin)
	defer cancel()
	f.claim = &claim{claimer: s.claimer, wait: s.limits.ClaimTimeout}
	answer, failure := f.claim.take(ctx, f, tables.IdempotencyKey(key), body)
	if failure != nil {
		return tables.StoredResponse{}, failure
	}
	if answer != nil {
		return *answer, nil
	}
	r := s.launch(ctx, f)
	defer r.close()
	got, err := r.onceAnswer()
	if err != nil {
		return tables.StoredResponse{}, f.unfinished(err)
	}
	f.claim.finish(f, got)
	return got, nil
}

// onceAnswer gives the whole answer in the form that is stored.
func (r *reader) onceAnswer() (tables.StoredResponse, error) {
	if r.flight.call != nil {
		return r.whole()
	}
	text, tokens, err := r.text()
	if err != nil {
		return tables.StoredResponse{}, err
	}
	return tables.StoredResponse{ContentType: typeText, Body: []byte(text), Tokens: tokens}, nil
}

// unfinished ends work that must run once and gave no answer.
func (f *flight) unfinished(err error) error {
	failure, ok := err.(*outcome.Failure)
	if !ok {
		return elsewhere(f.row.ID, tables.CodeOutcomeUnknown, 0)
	}
	f.claim.release(f, failure)
	return failure
}

// stored gives a stored completion as one piece.
type stored struct {
	answer tables.StoredResponse
	limit  int
	given  bool
}

func (s *stored) next() (string, error) {
	if s.given {
		return "", io.EOF
	}
	s.given = true
	return string(s.answer.Body), nil
}

func (s *stored) text() (string, int, error) { return string(s.answer.Body), s.answer.Tokens, nil }

func (s *stored) finishReason() string {
	if s.answer.Tokens >= s.limit {
		return finishLength
	}
	return finishStop
}

func (s *stored) close() {}

// chatPrompt renders messages as one text. Equal leading messages give equal
// leading text, so that they share cached prefixes.
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

// fingerprint hashes the parts of a request; equal work of one organisation
// gives equal fingerprints at every instance.
func fingerprint(org tables.OrganisationID, p tables.ProfileName, parts ...string) tables.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	for _, part := range append([]string{string(org), string(p)}, parts...) {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	return tables.Fingerprint(d.Sum64())
}

// bodyHash identifies the exact content of work that must run once. Lengths
// keep two different requests from running together into one text.
func bodyHash(parts ...string) tables.BodyHash {
	h := sha256.New()
	for _, part := range parts {
		_, _ = io.WriteString(h, strconv.Itoa(len(part))+":")
		_, _ = io.WriteString(h, part)
	}
	return tables.BodyHash(h.Sum(nil))
}
