package events

import "go.uber.org/zap/zapcore"

// Events of the control state.
var (
	ControlFailed         = define(3000, zapcore.ErrorLevel, "The control replica has stopped because of a failure.")
	ControlLeads          = define(3001, zapcore.InfoLevel, "This control replica leads the group now.")
	ControlMessageDropped = define(3002, zapcore.WarnLevel, "A message of another control replica was dropped.")
	ControlSnapshotTaken  = define(3003, zapcore.InfoLevel, "The control state was taken from another replica's snapshot.")
	ControlFormed         = define(3004, zapcore.InfoLevel, "The control group was formed.")
	ControlJoins          = define(3005, zapcore.InfoLevel, "This control replica has no state and asks to join the group.")
	ControlReplicaAdded   = define(3006, zapcore.InfoLevel, "A control replica was added, promoted or removed.")
	ControlRepairRefused  = define(3007, zapcore.WarnLevel, "A change of the control group was refused.")
	ClaimsNotKeptAlive    = define(3008, zapcore.WarnLevel, "The control state was not told that this instance still works on its claims.")
	OrdersLeaseHeld       = define(3012, zapcore.InfoLevel, "This instance gives orders to endpoints now.")
	OrdersLeaseNotRenewed = define(3013, zapcore.WarnLevel, "The lease for orders to endpoints could not be renewed.")
	OrderFenced           = define(3014, zapcore.WarnLevel, "An endpoint refused an order because it has seen a newer one.")
	OrderFailed           = define(3015, zapcore.WarnLevel, "An order to an endpoint got no good answer.")
	FollowerBehind        = define(3009, zapcore.WarnLevel, "No instance gives a configuration now; the last one stays in force.")
	FollowerCopyUnusable  = define(3010, zapcore.ErrorLevel, "The saved configuration cannot be used.")
	FollowerNotSaved      = define(3011, zapcore.ErrorLevel, "The configuration in force cannot be saved.")
)
