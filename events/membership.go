package events

import "go.uber.org/zap/zapcore"

// Events of membership and failure detection.
var (
	DatagramDropped = define(4000, zapcore.DebugLevel, "A failure detection datagram was dropped.")
)
