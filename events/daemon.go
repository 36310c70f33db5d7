package events

import "go.uber.org/zap/zapcore"

// Events of the daemon.
var (
	DaemonStarted = define(6000, zapcore.InfoLevel, "The daemon has started.")
	DaemonStopped = define(6001, zapcore.InfoLevel, "The daemon has stopped.")
)
