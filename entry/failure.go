package entry

import (
	"net/http"
	"time"

	"github.com/carawaystile/carawaystile/api/oas"
	"github.com/carawaystile/carawaystile/entry/outcome"
	"github.com/carawaystile/carawaystile/tables"
)

// errorResponse is the HTTP status and the message of an error code.
type errorResponse struct {
	status  int
	message string
}

// errorResponses contains every error code that a caller can receive.
// docs/operating/requests.md explains the messages further.
var errorResponses = map[tables.ErrorCode]errorResponse{
	tables.CodeMalformed:         {http.StatusBadRequest, "The request is not well formed."},
	tables.CodeUnauthorised:      {http.StatusUnauthorized, "The bearer token is missing or not known."},
	tables.CodeForbiddenProfile:  {http.StatusForbidden, "The organisation may not use this profile."},
	tables.CodeUnknownProfile:    {http.StatusNotFound, "No single profile fits; name one in X-Profile."},
	tables.CodeUnknownModel:      {http.StatusNotFound, "No profile of the organisation serves this model."},
	tables.CodeUnknownService:    {http.StatusNotFound, "No profile of the organisation serves this service."},
	tables.CodeUnknownRoute:      {http.StatusNotFound, "There is no such route."},
	tables.CodeBodyTimeout:       {http.StatusRequestTimeout, "The body of the request was not there in time."},
	tables.CodeKeyMissing:        {http.StatusBadRequest, "This work must run once; give it an Idempotency-Key."},
	tables.CodeKeyReused:         {http.StatusConflict, "The Idempotency-Key was used for a different request."},
	tables.CodeKeyInProgress:     {http.StatusConflict, "The first request with this Idempotency-Key is still running."},
	tables.CodeTooLarge:          {http.StatusRequestEntityTooLarge, "The request is too large."},
	tables.CodeQuarantined:       {http.StatusUnprocessableEntity, "Equal requests have crashed endpoints; this one is not run for a while."},
	tables.CodeQuarantinedPart:   {http.StatusUnprocessableEntity, "Prompts that begin in the same way have crashed endpoints; this one is not run for a while."},
	tables.CodeHeaderTooLarge:    {http.StatusRequestHeaderFieldsTooLarge, "The header of the request is too large."},
	tables.CodeOrganisationLimit: {http.StatusTooManyRequests, "The organisation has reached its limit."},
	tables.CodeOverloaded:        {http.StatusServiceUnavailable, "The system has too much work of this kind now."},
	tables.CodeRetryBudget:       {http.StatusServiceUnavailable, "Endpoints fail too often to try again now."},
	tables.CodeInternal:          {http.StatusInternalServerError, "The instance failed."},
	tables.CodeEndpointFailed:    {http.StatusBadGateway, "The endpoint failed before the answer was whole."},
	tables.CodeStreamBroken:      {http.StatusBadGateway, "The stream cannot be completed."},
	tables.CodeInvalidResponse:   {http.StatusBadGateway, "The endpoint gave an answer that does not belong to the request."},
	tables.CodeNoEndpoint:        {http.StatusServiceUnavailable, "No endpoint can run the request now."},
	tables.CodeDraining:          {http.StatusServiceUnavailable, "The instance is going out of service; ask again."},
	tables.CodeNoQuorum:          {http.StatusServiceUnavailable, "Work that must run once cannot be agreed on now."},
	tables.CodeNotReady:          {http.StatusServiceUnavailable, "The instance has no configuration yet; ask again."},
	tables.CodeStreamUnknown:     {http.StatusServiceUnavailable, "The stream cannot be resumed; ask anew."},
	tables.CodeTimeout:           {http.StatusGatewayTimeout, "The request's time is over."},
	tables.CodeOutcomeUnknown:    {http.StatusBadGateway, "The work may have run; it will not be run again under this key."},
}

// errorResponseFor returns the status and message of an error code. An unknown
// code counts as an internal error.
func errorResponseFor(code tables.ErrorCode) errorResponse {
	if e, ok := errorResponses[code]; ok {
		return e
	}
	return errorResponses[tables.CodeInternal]
}

// failureBody returns the response body of a failure.
func failureBody(f *outcome.Failure) oas.Failure {
	message := errorResponseFor(f.Code).message
	if f.Detail != "" {
		message += " " + f.Detail
	}
	e := oas.FailureError{
		Code:    int(f.Code),
		Message: message,
		Outcome: oas.FailureErrorOutcome(f.Outcome()),
	}
	if f.RetryAfter > 0 {
		e.RetryAfterMs = oas.NewOptInt64(f.RetryAfter.Milliseconds())
	}
	if f.Request != "" {
		e.Request = oas.NewOptString(string(f.Request))
	}
	return oas.Failure{Error: e}
}

// failureResponse returns the HTTP response of a failure: status, headers and
// body.
func failureResponse(f *outcome.Failure) *oas.FailureStatusCodeWithHeaders {
	r := &oas.FailureStatusCodeWithHeaders{StatusCode: errorResponseFor(f.Code).status, Response: failureBody(f)}
	if f.RetryAfter > 0 {
		r.RetryAfter = oas.NewOptInt(int((f.RetryAfter + time.Second - 1) / time.Second))
	}
	return r
}
