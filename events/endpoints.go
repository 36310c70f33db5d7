package events

import "go.uber.org/zap/zapcore"

// Events of endpoints.
var (
	EndpointSilent   = define(5000, zapcore.WarnLevel, "An endpoint does not answer its load report.")
	EndpointAnswers  = define(5001, zapcore.InfoLevel, "An endpoint answers its load report again.")
	EndpointRebooted = define(5002, zapcore.WarnLevel, "An endpoint came back with a new boot identity.")
	CacheEventGap    = define(5003, zapcore.DebugLevel, "Cache events of an endpoint are missing.")
	CacheRead        = define(5004, zapcore.InfoLevel, "This instance reads what an endpoint keeps of prompts.")
	CacheLearned     = define(5005, zapcore.InfoLevel, "Another instance told what endpoints keep of prompts.")
	SchedulerTimedOut  = define(5007, zapcore.InfoLevel, "A scheduler did not choose an endpoint in time. It is not asked for a moment.")
	UsageOwnerTimedOut = define(5008, zapcore.InfoLevel, "The accountant of an organisation's usage gave no decision in time. It is not asked for a moment.")
	CacheSyncFailed   = define(5006, zapcore.InfoLevel, "Another instance could not be told, or did not tell, what endpoints keep of prompts.")
)
