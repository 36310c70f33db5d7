package tables

import "time"

// Code is the stable number of a failure that a caller or operator sees.
// Numbers are never reused.
type Code uint16

// The codes a caller can meet.
const (
	CodeMalformed        Code = 4000
	CodeUnauthorised     Code = 4010
	CodeForbiddenProfile Code = 4030
	CodeUnknownProfile   Code = 4040
	CodeUnknownModel     Code = 4041
	CodeUnknownService   Code = 4042
	CodeUnknownRoute     Code = 4043
	CodeKeyMissing       Code = 4090
	CodeKeyReused        Code = 4091
	CodeKeyInProgress    Code = 4092
	CodeTooLarge         Code = 4130
	CodeSuspect          Code = 4220
	CodeOrganisationRate Code = 4290
	CodeOverloaded       Code = 4291
	CodeRetryBudget      Code = 4292
	CodeInternal         Code = 5000
	CodeEndpointFailed   Code = 5020
	CodeStreamBroken     Code = 5021
	CodeWrongAnswer      Code = 5022
	CodeNoEndpoint       Code = 5030
	CodeDraining         Code = 5031
	CodeNoQuorum         Code = 5032
	CodeNotReady         Code = 5033
	CodeTimeout          Code = 5040
	CodeOutcomeUnknown   Code = 5041
)

// Refusal is the final answer to a request that did not run. Only code that
// has dispatched no attempt of the request may make one.
type Refusal struct {
	Code Code
	// RetryAfter is when it is worth asking again; zero means that asking
	// again will not help.
	RetryAfter time.Duration
}
