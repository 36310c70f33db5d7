package events

import "go.uber.org/zap/zapcore"

// Events of request handling at entry instances.
var (
	RefusedAfterDispatch = define(1000, zapcore.ErrorLevel, "A dispatched request was rejected; its outcome was reported as unknown.")
	AnswerMismatch       = define(1001, zapcore.WarnLevel, "A response that belongs to another attempt was dropped.")
	AttemptBroken        = define(1002, zapcore.WarnLevel, "An attempt ended before its response was complete.")
	AnswerNotStored      = define(1003, zapcore.WarnLevel, "The response of work that ran once could not be stored.")
	ClaimNotReleased     = define(1004, zapcore.InfoLevel, "The claim of work that did not run could not be released.")
	RequestFailed        = define(1005, zapcore.InfoLevel, "A request got no complete response.")
	DrainStarted         = define(1006, zapcore.InfoLevel, "The instance is draining.")
	DrainEnded           = define(1007, zapcore.InfoLevel, "All requests of the draining instance have ended.")
	DrainAborted         = define(1008, zapcore.WarnLevel, "The drain was aborted while requests were open.")
	RequestOverdue       = define(1009, zapcore.ErrorLevel, "A request was open after its timeout and was aborted.")
	RequestAnswered      = define(1010, zapcore.InfoLevel, "A request got an endpoint's response.")
	AttemptEnded         = define(1011, zapcore.InfoLevel, "An attempt ended without a response for the caller.")
	StreamAborted        = define(1012, zapcore.WarnLevel, "A stream was aborted because no endpoint could resume it.")
	ClientDisconnected   = define(1013, zapcore.InfoLevel, "A caller disconnected before its response was complete.")
	EndpointUnreachable  = define(1015, zapcore.WarnLevel, "An endpoint accepts no connections; it gets no requests until it does.")
	EndpointReached      = define(1016, zapcore.InfoLevel, "An endpoint accepts connections again.")
	SuspectReportFailed  = define(1017, zapcore.WarnLevel, "Another instance could not be notified of requests that may crash endpoints.")
	EndpointCrashed      = define(1014, zapcore.WarnLevel, "An endpoint broke off its connections and accepts no new ones.")
	EndpointLimited      = define(1018, zapcore.InfoLevel, "An endpoint announced a rate limit, or withdrew one.")
	EndpointPushedBack   = define(1019, zapcore.InfoLevel, "An endpoint requested a back-off from this instance.")
	EndpointDraining     = define(1020, zapcore.InfoLevel, "An endpoint announced in a response that it is draining.")
	LinksLost            = define(1022, zapcore.WarnLevel, "This instance reaches no endpoint; its requests go through other instances.")
	LinksRestored        = define(1023, zapcore.InfoLevel, "This instance reaches endpoints again.")
	EndpointBrittle      = define(1024, zapcore.InfoLevel, "An endpoint announced that it fails if it rejects many requests, or no longer announces it.")
	ReaderEvicted        = define(1050, zapcore.WarnLevel, "A caller that did not read was disconnected because the budget for buffers was used up.")
	HeaderUnusable       = define(1021, zapcore.WarnLevel, "A response header of an endpoint has a value that cannot be used as it is.")
)
