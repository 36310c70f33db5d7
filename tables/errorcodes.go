package tables

import "time"

// ErrorCode is the stable number of a failure that a caller or operator sees.
// Numbers are never reused.
type ErrorCode uint16

// The codes a caller can meet.
const (
	CodeMalformed         ErrorCode = 4000
	CodeUnauthorised      ErrorCode = 4010
	CodeForbiddenProfile  ErrorCode = 4030
	CodeUnknownProfile    ErrorCode = 4040
	CodeUnknownModel      ErrorCode = 4041
	CodeUnknownService    ErrorCode = 4042
	CodeUnknownRoute      ErrorCode = 4043
	CodeKeyMissing        ErrorCode = 4090
	CodeKeyReused         ErrorCode = 4091
	CodeKeyInProgress     ErrorCode = 4092
	CodeTooLarge          ErrorCode = 4130
	CodeQuarantined       ErrorCode = 4220
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
	CodeTimeout           ErrorCode = 5040
	CodeOutcomeUnknown    ErrorCode = 5041
)

// Refusal is the final answer to a request that did not run. Only code that
// has dispatched no attempt of the request may make one.
type Refusal struct {
	Code ErrorCode
	// RetryAfter is when it is worth asking again; zero means that asking
	// again will not help.
	RetryAfter time.Duration
}
