package capacity

// The sizes of the target that lines refer to.
const (
	TargetInstances     = 340
	TargetEndpoints     = 1100
	TargetOrganisations = 8600
	// TargetBlocks is how many of the fleet's 100 million cached blocks one
	// instance keeps rows of.
	TargetBlocks = 12.5e6
	// TargetChanges is a hundred days of configuration changes.
	TargetChanges = 140_000
	// TargetCallers is how many claims are asked for at once.
	TargetCallers = 128
)

// What an instance may spend on control at the target.
const (
	ControlMemoryBytes    = 256 << 20
	ControlBytesPerSecond = 29_000
	// ControlMicrosPerSecond is 1.6 % of a core.
	ControlMicrosPerSecond = 16_000
)

// In force everywhere within 3 s, and first served within 200 ms of a start.
const (
	inForceMillis  = 3000
	restartSeconds = 0.2
	// decisionGoal is the goal for one decision at 138 endpoints, in seconds.
	decisionGoal      = 20e-6
	decisionEndpoints = 138
)

// Lines are the costs that docs/CAPACITY.md is worked out from.
var Lines = []Line{
	{
		Title: "Decision by endpoints", Benchmark: "Decision", Key: "endpoints", Match: "/blocks=12500000/",
		Unit: "sec/op", Size: "endpoints", Target: TargetEndpoints,
	},
	{
		Title: "Decision tail at 138 endpoints", Benchmark: "Decision", Key: "endpoints", Match: "/blocks=12500000/",
		Unit: "p99-sec/decision", Size: "endpoints", Target: decisionEndpoints, Limit: decisionGoal,
	},
	{
		Title: "Decision by known blocks", Benchmark: "Decision", Key: "blocks", Match: "/endpoints=1100/",
		Unit: "sec/op", Size: "blocks", Target: TargetBlocks,
	},
	{
		Title: "Failure detection bytes", Benchmark: "Second", Key: "instances",
		Unit: "bytes/s/instance", Size: "instances", Target: TargetInstances, Limit: ControlBytesPerSecond,
	},
	{
		Title: "Failure detection processor time", Benchmark: "Second", Key: "instances",
		Unit: "cpu_us/s/instance", Size: "instances", Target: TargetInstances, Limit: ControlMicrosPerSecond,
	},
	{
		Title: "Time until all know of a death", Benchmark: "Detection", Key: "instances",
		Unit: "virtual_s/death", Size: "instances", Target: TargetInstances,
	},
	{
		Title: "Change in force at all", Benchmark: "FanOut", Key: "followers",
		Unit: "in_force_p99_ms", Size: "followers", Target: TargetInstances, Limit: inForceMillis,
	},
	{
		Title: "Change bytes of a control instance", Benchmark: "FanOut", Key: "followers",
		Unit: "bytes/change/control_instance", Size: "followers", Target: TargetInstances,
	},
	{
		Title: "Claim wait before dispatch", Benchmark: "Claims", Key: "callers", Match: "/followers=0/",
		Unit: "before_dispatch_p99_ms", Size: "callers at once", Target: TargetCallers,
	},
	{
		Title: "Restart of a control replica", Benchmark: "Restart", Key: "changes",
		Unit: "sec/op", Size: "changes", Target: TargetChanges, Limit: restartSeconds,
	},
	{
		Title: "Metrics memory", Benchmark: "Organisations",
		Unit: "heap-bytes", Size: "organisations", Target: TargetOrganisations, Limit: ControlMemoryBytes,
	},
}
