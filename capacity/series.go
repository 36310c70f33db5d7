package capacity

// The sizes of the target that lines refer to.
const (
	TargetInstances     = 340
	TargetEndpoints     = 1100
	TargetOrganisations = 8600
	// TargetCachedBlocks is how many of the fleet's 100 million cached blocks one
	// instance keeps rows of.
	TargetCachedBlocks = 12.5e6
	// TargetConfigurationChanges is a hundred days of configuration changes.
	TargetConfigurationChanges = 140_000
	// TargetConcurrentClaims is how many claims are asked for at once.
	TargetConcurrentClaims = 128
)

// What an instance may spend on control at the target.
const (
	ControlMemoryBudgetBytes           = 256 << 20
	ControlTrafficBudgetBytesPerSecond = 29_000
	// ControlCPUBudgetMicrosPerSecond is 1.6 % of a core.
	ControlCPUBudgetMicrosPerSecond = 16_000
)

// In force everywhere within 3 s, and first served within 200 ms of a start.
const (
	inForceMillis  = 3000
	restartSeconds = 0.2
	// decisionGoal is the goal for one decision at 138 endpoints, in seconds.
	decisionGoal      = 20e-6
	decisionEndpoints = 138
)

// TrackedSeries are the costs that docs/CAPACITY.md is worked out from.
var TrackedSeries = []Series{
	{
		Title: "Decision by endpoints", Benchmark: "Decision", SizeKey: "endpoints", NameContains: "/blocks=12500000/",
		Unit: "sec/op", SizeName: "endpoints", TargetSize: TargetEndpoints,
	},
	{
		Title: "Decision tail at 138 endpoints", Benchmark: "Decision", SizeKey: "endpoints", NameContains: "/blocks=12500000/",
		Unit: "p99-sec/decision", SizeName: "endpoints", TargetSize: decisionEndpoints, Limit: decisionGoal,
	},
	{
		Title: "Decision by known blocks", Benchmark: "Decision", SizeKey: "blocks", NameContains: "/endpoints=1100/",
		Unit: "sec/op", SizeName: "blocks", TargetSize: TargetCachedBlocks,
	},
	{
		Title: "Failure detection bytes", Benchmark: "Second", SizeKey: "instances",
		Unit: "bytes/s/instance", SizeName: "instances", TargetSize: TargetInstances, Limit: ControlTrafficBudgetBytesPerSecond,
	},
	{
		Title: "Failure detection processor time", Benchmark: "Second", SizeKey: "instances",
		Unit: "cpu_us/s/instance", SizeName: "instances", TargetSize: TargetInstances, Limit: ControlCPUBudgetMicrosPerSecond,
	},
	{
		Title: "Time until all know of a death", Benchmark: "Detection", SizeKey: "instances",
		Unit: "virtual_s/death", SizeName: "instances", TargetSize: TargetInstances,
	},
	{
		Title: "Change in force at all", Benchmark: "FanOut", SizeKey: "followers",
		Unit: "in_force_p99_ms", SizeName: "followers", TargetSize: TargetInstances, Limit: inForceMillis,
	},
	{
		Title: "Change bytes of a control instance", Benchmark: "FanOut", SizeKey: "followers",
		Unit: "bytes/change/control_instance", SizeName: "followers", TargetSize: TargetInstances,
	},
	{
		Title: "Claim wait before dispatch", Benchmark: "Claims", SizeKey: "callers", NameContains: "/followers=0/",
		Unit: "before_dispatch_p99_ms", SizeName: "callers at once", TargetSize: TargetConcurrentClaims,
	},
	{
		Title: "Restart of a control replica", Benchmark: "Restart", SizeKey: "changes",
		Unit: "sec/op", SizeName: "changes", TargetSize: TargetConfigurationChanges, Limit: restartSeconds,
	},
	{
		Title: "Metrics memory", Benchmark: "Organisations",
		Unit: "heap-bytes", SizeName: "organisations", TargetSize: TargetOrganisations, Limit: ControlMemoryBudgetBytes,
	},
}
