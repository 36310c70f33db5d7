package events

import "go.uber.org/zap/zapcore"

// Events of the entry.
var (
	RefusedAfterDispatch = define(1000, zapcore.ErrorLevel, "A dispatched request was refused; its outcome was reported as unknown.")
	AnswerMismatch       = define(1001, zapcore.WarnLevel, "An answer that belongs to another attempt was dropped.")
	AttemptBroken        = define(1002, zapcore.WarnLevel, "An attempt ended before its answer was whole.")
	AnswerNotStored      = define(1003, zapcore.WarnLevel, "The answer of work that ran once could not be stored.")
	ClaimNotReleased     = define(1004, zapcore.InfoLevel, "A claim of work that did not run could not be given back.")
	RequestFailed        = define(1005, zapcore.InfoLevel, "A request got no whole answer.")
	DrainStarted         = define(1006, zapcore.InfoLevel, "The instance takes itself out of service.")
	DrainEnded           = define(1007, zapcore.InfoLevel, "Every request of the draining instance has ended.")
	DrainAborted             = define(1008, zapcore.WarnLevel, "The drain was ended while requests were open.")
	RequestOverdue       = define(1009, zapcore.ErrorLevel, "A request was open after its timeout and was ended.")
	RequestAnswered      = define(1010, zapcore.InfoLevel, "A request got an endpoint's answer.")
	AttemptEnded         = define(1011, zapcore.InfoLevel, "An attempt ended without an answer for the caller.")
	StreamAborted            = define(1012, zapcore.WarnLevel, "A stream was broken off because no endpoint could go on with it.")
	ClientDisconnected           = define(1013, zapcore.InfoLevel, "A caller left before its answer was whole.")
	EndpointUnreachable  = define(1015, zapcore.WarnLevel, "An endpoint takes no connections; it gets no requests until it does.")
	EndpointReached      = define(1016, zapcore.InfoLevel, "An endpoint takes connections again.")
	SuspectReportFailed      = define(1017, zapcore.WarnLevel, "Another instance could not be told which requests may crash endpoints.")
	EndpointCrashed      = define(1014, zapcore.WarnLevel, "An endpoint broke its connections off and takes none any more.")
	EndpointLimited      = define(1018, zapcore.InfoLevel, "An endpoint named a rate limit, or names none any more.")
)
