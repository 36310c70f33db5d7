package tables

import "time"

// ErrorCode is the stable number of a failure that callers and operators see.
// Numbers are never reused.
type ErrorCode uint16

// The codes that a caller can receive.
const (
	CodeMalformed         ErrorCode = 4000
	CodeUnauthorised      ErrorCode = 4010
	CodeForbiddenProfile  ErrorCode = 4030
	CodeUnknownProfile    ErrorCode = 4040
	CodeUnknownModel      ErrorCode = 4041
	CodeUnknownService    ErrorCode = 4042
	CodeUnknownRoute      ErrorCode = 4043
	CodeBodyTimeout       ErrorCode = 4080
	CodeKeyMissing        ErrorCode = 4090
	CodeKeyReused         ErrorCode = 4091
	CodeKeyInProgress     ErrorCode = 4092
	CodeTooLarge          ErrorCode = 4130
	CodeQuarantined       ErrorCode = 4220
	CodeQuarantinedPart   ErrorCode = 4221
	CodeOrganisationLimit ErrorCode = 4290
	CodeOverloaded        ErrorCode = 4291
	CodeRetryBudget       ErrorCode = 4292
	CodeInternal          ErrorCode = 5000
	CodeEndpointFailed    ErrorCode = 5020
	CodeStreamBroken      ErrorCode = 5021
	CodeInvalidResponse   ErrorCode = 5022
	CodeNoEndpoint        ErrorCode = 5030
	CodeDraining          ErrorCode = 5031
	CodeNoQuorum          ErrorCode = 5032
	CodeNotReady          ErrorCode = 5033
	CodeStreamUnknown     ErrorCode = 5034
	CodeTimeout           ErrorCode = 5040
	CodeOutcomeUnknown    ErrorCode = 5041
)

// Refusal is the final answer to a request that did not run. A refusal is only
// valid if no attempt of the request has been dispatched.
type Refusal struct {
	Code ErrorCode
	// RetryAfter is the delay after which a retry may succeed; zero means that
	// a retry won't help.
	RetryAfter time.Duration
}
