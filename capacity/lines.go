package capacity

// The sizes of the target that lines refer to.
const (
	TargetInstances     = 340
	TargetEndpoints     = 1100
	TargetOrganisations = 8600
	TargetBlocks        = 100e6
	TargetChanges       = 1400
	// ControlMemoryBytes, ControlBytesPerSecond and ControlCoreShare are what
	// an instance may spend on control.
	ControlMemoryBytes    = 256 << 20
	ControlBytesPerSecond = 29_000
	ControlCoreShare      = 0.016
)

// Lines are the costs that docs/CAPACITY.md is worked out from.
var Lines = []Line{
	{
		Title: "Metrics memory", Benchmark: "Organisations",
		Unit: "heap-bytes", Size: "organisations", Target: TargetOrganisations, Limit: ControlMemoryBytes,
	},
}
