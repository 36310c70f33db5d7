package events

import "go.uber.org/zap/zapcore"

// Events of endpoints and of requests to schedulers and usage owners.
var (
	EndpointSilent     = define(5000, zapcore.WarnLevel, "An endpoint does not respond to load report requests.")
	EndpointAnswers    = define(5001, zapcore.InfoLevel, "An endpoint responds to load report requests again.")
	EndpointRebooted   = define(5002, zapcore.WarnLevel, "An endpoint restarted with a new boot identity.")
	CacheEventGap      = define(5003, zapcore.DebugLevel, "There is a gap in the cache events of an endpoint.")
	CacheRead          = define(5004, zapcore.InfoLevel, "This instance reads the prompt cache state of an endpoint.")
	CacheLearned       = define(5005, zapcore.InfoLevel, "Another instance sent the prompt cache state of endpoints.")
	SchedulerTimedOut  = define(5007, zapcore.InfoLevel, "A scheduler did not choose an endpoint in time. It is not queried during a back-off period.")
	UsageOwnerTimedOut = define(5008, zapcore.InfoLevel, "The owner of an organisation's usage did not decide in time. It is not queried during a back-off period.")
	CacheSyncFailed    = define(5006, zapcore.InfoLevel, "The prompt cache state of endpoints could not be exchanged with another instance.")
)
