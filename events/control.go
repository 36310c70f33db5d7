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
	OperatorAccepted      = define(3016, zapcore.InfoLevel, "An operator's document was decided.")
	OperatorRefused       = define(3017, zapcore.WarnLevel, "An operator's call was refused because it is not valid.")
	OperatorUnanswered    = define(3018, zapcore.WarnLevel, "An operator's call got no clear answer because the control group did not decide in time.")
	SourceLost            = define(3019, zapcore.WarnLevel, "A control instance does not answer or is cut off; another one is followed.")
	EndpointUnreadable    = define(3020, zapcore.WarnLevel, "A control instance told of an endpoint that cannot be read.")
	ListUnread            = define(3021, zapcore.WarnLevel, "The platform's list cannot be read; the last endpoints stay in use.")
	RolloutOrdered        = define(3022, zapcore.InfoLevel, "An endpoint was ordered to load weights.")
	RolloutDone           = define(3023, zapcore.InfoLevel, "An endpoint serves the weights that it was ordered to load.")
	RolloutUnanswered     = define(3024, zapcore.WarnLevel, "An endpoint gave no answer to an order or to a question about it.")
	RolloutFenced         = define(3025, zapcore.WarnLevel, "An endpoint has seen a newer fencing number; the lease is given up.")
	ControlReplicaRemoved = define(3026, zapcore.WarnLevel, "A control replica that is gone is removed to make room for a new one.")
)
