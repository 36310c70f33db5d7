package capacity

// Target sizes: the fleet and load for which the capacity is planned.
const (
	TargetInstances     = 340
	TargetEndpoints     = 1100
	TargetOrganisations = 8600
	// TargetCachedBlocks is the number of cached blocks that one instance keeps
	// rows for, out of 100 million in the fleet.
	TargetCachedBlocks = 12.5e6
	// TargetConfigurationChanges is the number of configuration changes in 100 days.
	TargetConfigurationChanges = 140_000
	// TargetConcurrentClaims is the number of callers that request claims concurrently.
	TargetConcurrentClaims = 128
)

// Budgets of one instance for memory, network traffic and processor time of the
// control functions at the target sizes.
const (
	ControlMemoryBudgetBytes           = 256 << 20
	ControlTrafficBudgetBytesPerSecond = 29_000
	// ControlCPUBudgetMicrosPerSecond is the processor time per second, 1.6 % of a core.
	ControlCPUBudgetMicrosPerSecond = 16_000
)

// Latency objectives.
const (
	// propagationLimitMillis is the time in which a configuration change takes
	// effect on all instances, 3 s.
	propagationLimitMillis = 3000
	// restartLimitSeconds is the time from the start of a control replica to its
	// first answer, 200 ms.
	restartLimitSeconds = 0.2
	// decisionLimitSeconds is the 99th percentile of the time of one decision at
	// 138 endpoints.
	decisionLimitSeconds = 20e-6
	decisionEndpoints    = 138
)

// TrackedSeries lists the series behind the cost models of docs/CAPACITY.md.
var TrackedSeries = []Series{
	{
		Title: "Decision by endpoints", Benchmark: "Decision", SizeKey: "endpoints", NameContains: "/blocks=12500000/",
		Unit: "sec/op", SizeName: "endpoints", TargetSize: TargetEndpoints,
	},
	{
		Title: "Decision tail at 138 endpoints", Benchmark: "Decision", SizeKey: "endpoints", NameContains: "/blocks=12500000/",
		Unit: "p99-sec/decision", SizeName: "endpoints", TargetSize: decisionEndpoints, Limit: decisionLimitSeconds,
	},
	{
		Title: "Decision by known blocks", Benchmark: "Decision", SizeKey: "blocks", NameContains: "/endpoints=1100/",
		Unit: "sec/op", SizeName: "blocks", TargetSize: TargetCachedBlocks,
	},
	{
		Title: "Failure detection bytes", Benchmark: "SteadyState", SizeKey: "instances",
		Unit: "bytes/s/instance", SizeName: "instances", TargetSize: TargetInstances, Limit: ControlTrafficBudgetBytesPerSecond,
	},
	{
		Title: "Failure detection processor time", Benchmark: "SteadyState", SizeKey: "instances",
		Unit: "cpu_us/s/instance", SizeName: "instances", TargetSize: TargetInstances, Limit: ControlCPUBudgetMicrosPerSecond,
	},
	{
		Title: "Time until all know of a death", Benchmark: "FailureDetection", SizeKey: "instances",
		Unit: "virtual_s/death", SizeName: "instances", TargetSize: TargetInstances,
	},
	{
		Title: "Change in force at all", Benchmark: "FanOut", SizeKey: "followers",
		Unit: "in_force_p99_ms", SizeName: "followers", TargetSize: TargetInstances, Limit: propagationLimitMillis,
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
		Unit: "sec/op", SizeName: "changes", TargetSize: TargetConfigurationChanges, Limit: restartLimitSeconds,
	},
	{
		Title: "Metrics memory", Benchmark: "Organisations",
		Unit: "heap-bytes", SizeName: "organisations", TargetSize: TargetOrganisations, Limit: ControlMemoryBudgetBytes,
	},
}
