package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sort"
	"time"

	"github.com/ogen-go/ogen/ogenerrors"

	"github.com/carawaystile/carawaystile/api/oas"
	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/tables"
)

// organisationKey is the context key of the caller's organisation.
type organisationKey struct{}

// organisationOf returns the caller's organisation, or nil if the request is
// not authenticated.
func organisationOf(ctx context.Context) *tables.Organisation {
	o, _ := ctx.Value(organisationKey{}).(*tables.Organisation)
	return o
}

// authenticator maps bearer tokens to organisations.
type authenticator struct{ server *Server }

// HandleBearer authenticates a request by its bearer token. The returned
// context carries the caller's organisation.
func (s *authenticator) HandleBearer(ctx context.Context, _ oas.OperationName, t oas.Bearer) (context.Context, error) {
	if o := s.server.configIndex.Load().organisationByToken(t.Token); o != nil {
		return context.WithValue(ctx, organisationKey{}, o), nil
	}
	return ctx, notRun("", tables.CodeUnauthorised, 0)
}

// apiHandler implements the handler interface of the generated HTTP server.
type apiHandler struct{ server *Server }

// CreateCompletion handles POST /v1/completions.
func (a *apiHandler) CreateCompletion(ctx context.Context, req *oas.CompletionRequest, p oas.CreateCompletionParams) (oas.CreateCompletionRes, error) {
	ask := completionParams{
		profile: p.XProfile.Or(""), model: req.Model.Or(""), key: p.IdempotencyKey.Or(""),
		prompt: req.Prompt, maxTokens: req.MaxTokens.Or(a.server.limits.DefaultMaxTokens), stream: req.Stream.Or(false),
	}
	source, f, err := a.server.startCompletion(ctx, ask)
	if err != nil {
		return nil, err
	}
	created := time.Now().Unix()
	if req.Stream.Or(false) {
		stream, err := a.server.openStream(source, f, newEventTemplate(f.spec.ID, modelName(f.profile), created, false))
		if err != nil {
			return nil, err
		}
		return &oas.CreateCompletionOKTextEventStream{Data: stream}, nil
	}
	defer source.close()
	text, tokens, err := source.readAll()
	if err != nil {
		return nil, err
	}
	return &oas.Completion{
		ID: string(f.spec.ID), Object: "text_completion", Created: created, Model: modelName(f.profile),
		Choices: []oas.CompletionChoicesItem{{Text: text, FinishReason: source.finishReason()}},
		Usage:   tokenUsage(f, tokens),
	}, nil
}

// CreateChatCompletion handles POST /v1/chat/completions.
func (a *apiHandler) CreateChatCompletion(ctx context.Context, req *oas.ChatRequest, p oas.CreateChatCompletionParams) (oas.CreateChatCompletionRes, error) {
	ask := completionParams{
		profile: p.XProfile.Or(""), model: req.Model.Or(""), key: p.IdempotencyKey.Or(""),
		prompt: chatPrompt(req.Messages), maxTokens: req.MaxTokens.Or(a.server.limits.DefaultMaxTokens), stream: req.Stream.Or(false),
	}
	source, f, err := a.server.startCompletion(ctx, ask)
	if err != nil {
		return nil, err
	}
	created := time.Now().Unix()
	if req.Stream.Or(false) {
		stream, err := a.server.openStream(source, f, newEventTemplate(f.spec.ID, modelName(f.profile), created, true))
		if err != nil {
			return nil, err
		}
		return &oas.CreateChatCompletionOKTextEventStream{Data: stream}, nil
	}
	defer source.close()
	text, tokens, err := source.readAll()
	if err != nil {
		return nil, err
	}
	message := oas.Message{Role: oas.MessageRoleAssistant, Content: text}
	return &oas.ChatCompletion{
		ID: string(f.spec.ID), Object: "chat.completion", Created: created, Model: modelName(f.profile),
		Choices: []oas.ChatCompletionChoicesItem{{Message: message, FinishReason: source.finishReason()}},
		Usage:   tokenUsage(f, tokens),
	}, nil
}

// CallService handles POST /v1/services/{service}/{call}.
func (a *apiHandler) CallService(ctx context.Context, req oas.CallServiceReq, p oas.CallServiceParams) (*oas.CallServiceOKHeaders, error) {
	content, err := io.ReadAll(req)
	if err != nil {
		return nil, a.server.decodeFailure(err)
	}
	answer, err := a.server.callService(ctx, serviceCallParams{
		profile: p.XProfile.Or(""), service: p.Service, call: p.Call, key: p.IdempotencyKey.Or(""), body: content,
	})
	if err != nil {
		return nil, err
	}
	return &oas.CallServiceOKHeaders{
		XServiceStatus: oas.NewOptInt(answer.Status),
		Response:       oas.CallServiceOK{Data: bytes.NewReader(answer.Body)},
	}, nil
}

// ListModels handles GET /v1/models. It lists the models that the organisation
// may use.
func (a *apiHandler) ListModels(ctx context.Context) (*oas.ModelList, error) {
	o, index := organisationOf(ctx), a.server.configIndex.Load()
	names := map[string]bool{}
	for _, p := range index.profileList {
		if p.Kind == tables.Engine && mayUseProfile(o, p.Name) {
			names[modelName(p)] = true
		}
	}
	list := &oas.ModelList{Object: "list", Data: []oas.ModelListDataItem{}}
	for name := range names {
		list.Data = append(list.Data, oas.ModelListDataItem{ID: name, Object: "model"})
	}
	sort.Slice(list.Data, func(i, j int) bool { return list.Data[i].ID < list.Data[j].ID })
	return list, nil
}

// NewError converts an error of the handlers above to an HTTP response, and
// logs and counts it.
func (a *apiHandler) NewError(ctx context.Context, err error) *oas.FailureStatusCodeWithHeaders {
	failure := a.server.failureOf(err)
	org := tables.OrganisationID("")
	if o := organisationOf(ctx); o != nil {
		org = o.ID
	}
	a.server.recordFailure(org, failure)
	return failureResponse(failure)
}

// failureOf converts an error to a failure. An error of an unknown type does
// not show whether the work ran, so its outcome is unknown.
func (s *Server) failureOf(err error) *outcome.Failure {
	var failure *outcome.Failure
	if errors.As(err, &failure) {
		return failure
	}
	var denied *ogenerrors.SecurityError
	if errors.As(err, &denied) {
		return notRun("", tables.CodeUnauthorised, 0)
	}
	return unknownOutcome("", tables.CodeInternal, 0)
}

// decodeFailure returns the failure for a request whose body could not be read
// or decoded. No work was started for it.
func (s *Server) decodeFailure(err error) *outcome.Failure {
	var full *bufferFullError
	if errors.As(err, &full) {
		return notRun("", tables.CodeOverloaded, retryAfterOverload)
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return notRun("", tables.CodeTooLarge, 0)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return notRun("", tables.CodeBodyTimeout, 0)
	}
	failure := notRun("", tables.CodeMalformed, 0)
	var params *ogenerrors.DecodeParamsError
	if errors.As(err, &params) {
		failure.Detail = "A header or a part of the path is wrong."
	}
	return failure
}

// handleDecodeError responds to requests that the generated code could not
// decode. The generated code also calls it when it cannot write a response; no
// response can reach the caller then.
func (s *Server) handleDecodeError(ctx context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	var params *ogenerrors.DecodeParamsError
	var request *ogenerrors.DecodeRequestError
	if !errors.As(err, &params) && !errors.As(err, &request) {
		return
	}
	failure := s.decodeFailure(err)
	org := tables.OrganisationID("")
	if o := organisationOf(ctx); o != nil {
		org = o.ID
	}
	s.recordFailure(org, failure)
	writeFailure(w, failure)
}

// notFound responds to a request for an unknown path.
func (s *Server) notFound(w http.ResponseWriter, _ *http.Request) {
	writeFailure(w, notRun("", tables.CodeUnknownRoute, 0))
}

// methodNotAllowed responds to a request with a method that the path does not
// support.
func (s *Server) methodNotAllowed(w http.ResponseWriter, _ *http.Request, allowed string) {
	w.Header().Set("Allow", allowed)
	writeFailure(w, notRun("", tables.CodeUnknownRoute, 0))
}

// openStream waits for the first event of a stream, so that a failure before it
// still gets its own HTTP status.
func (s *Server) openStream(source completionSource, f *inFlight, template eventTemplate) (*eventStream, error) {
	stream := &eventStream{source: source, template: template}
	stream.onFailure = func(failure *outcome.Failure) { s.recordFailure(f.spec.Organisation, failure) }
	if err := stream.renderFirst(); err != nil {
		source.close()
		return nil, err
	}
	return stream, nil
}

// tokenUsage returns the token counts of a completion.
func tokenUsage(f *inFlight, tokens int) oas.Usage {
	return oas.Usage{
		PromptTokens:     f.spec.PromptTokens,
		CompletionTokens: tokens,
		TotalTokens:      f.spec.PromptTokens + tokens,
	}
}
