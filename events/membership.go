package events

import "go.uber.org/zap/zapcore"

// Events of membership.
var (
	DatagramDropped = define(4000, zapcore.DebugLevel, "A datagram of failure detection was dropped.")
)
