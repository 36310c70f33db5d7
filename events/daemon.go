package events

import "go.uber.org/zap/zapcore"

// Events of the daemon: start, shutdown, settings and keys.
var (
	DaemonStarted           = define(6000, zapcore.InfoLevel, "The daemon has started.")
	DaemonStopped           = define(6001, zapcore.InfoLevel, "The daemon has stopped.")
	DaemonDrainStarted      = define(6002, zapcore.InfoLevel, "The daemon is draining: it finishes its requests and then stops.")
	DaemonDrainAborted      = define(6003, zapcore.WarnLevel, "The drain was aborted while requests were running.")
	ConfigurationServed     = define(6004, zapcore.InfoLevel, "A configuration revision is in force on this instance.")
	KeysReloaded            = define(6005, zapcore.InfoLevel, "The shared keys were reloaded.")
	KeysUnreadable          = define(6006, zapcore.ErrorLevel, "The shared keys cannot be read. The last valid keys stay in use.")
	ListenerFailed          = define(6007, zapcore.ErrorLevel, "A listener has failed.")
	BootstrapFailed         = define(6008, zapcore.ErrorLevel, "The initial declarations cannot be applied.")
	SettingsReloaded        = define(6009, zapcore.InfoLevel, "The settings were reloaded.")
	LogLinesDropped         = define(6010, zapcore.WarnLevel, "Log lines were dropped.")
	SettingsUnreadable      = define(6011, zapcore.ErrorLevel, "The settings cannot be reloaded. The last valid ones stay in use.")
	SettingReplaced         = define(6014, zapcore.ErrorLevel, "A quantity in the settings is not valid. Its default or the nearest bound is used.")
	InstanceSettled         = define(6015, zapcore.InfoLevel, "The instance knows enough others to share common limits with them.")
	SizeNotRecorded         = define(6016, zapcore.WarnLevel, "The number of entry instances could not be recorded.")
	ServerError             = define(6024, zapcore.WarnLevel, "An HTTP server of this instance reported an error.")
	DrainAlreadyStarted     = define(6025, zapcore.InfoLevel, "SIGTERM was repeated; the drain goes on.")
	InstanceLoaded          = define(6020, zapcore.WarnLevel, "The instance is near the limit of its processor, link or memory.")
	InstanceNotLoaded       = define(6021, zapcore.InfoLevel, "The instance is no longer near a limit.")
	SizesInUse              = define(6023, zapcore.InfoLevel, "The division of common work by the sizes of instances has changed.")
	LoadNotMeasured         = define(6022, zapcore.WarnLevel, "The use of processor time cannot be measured.")
	WeightsWanted           = define(6012, zapcore.InfoLevel, "Newer weights of a model are wanted.")
	ReadLimitExceeded       = define(6030, zapcore.WarnLevel, "A request to another listener than that of callers was too large or came too slowly.")
	ConfigurationUnreadable = define(6013, zapcore.ErrorLevel, "A committed configuration cannot be read by this instance; the last one stays in force.")
)
