package settings

// CapacitySwitch is the value of a switch in ForwardingCapacity.
type CapacitySwitch uint8

// The values of a switch. With CapacityAuto the decision is made for services whose endpoints
// report that work takes longer than usual on their machines, and where the terms of the
// platform say that callers compete for capacity.
const (
	CapacityOff CapacitySwitch = iota
	CapacityAuto
	CapacityOn
)

var (
	capacityWords    = []string{"off", "auto", "on"}
	capacitySwitches = map[string]CapacitySwitch{"off": CapacityOff, "auto": CapacityAuto, "on": CapacityOn}
)

// ForwardingCapacity turns the decisions for contended services on and off. All are off by
// default.
type ForwardingCapacity struct {
	// Admission bounds the queues of endpoints and rejects what cannot be served in time.
	Admission CapacitySwitch
	// StreamPauses counts, in placement, the pauses that a prompt causes in running streams.
	StreamPauses CapacitySwitch
	// Backups has engines back up streams that may not be resumed.
	Backups CapacitySwitch
	// Sizes divides the common work of instances by their sizes, and spares instances near their
	// limits.
	Sizes CapacitySwitch
	// Eviction counts, in placement, what a prompt evicts from an engine's memory.
	Eviction CapacitySwitch
	// Startup shortens the time in which instances that start together can serve.
	Startup CapacitySwitch
}

func (c *ForwardingCapacity) read(n node) {
	n.object(
		field{key: "admission", read: choice(&c.Admission, capacityWords, capacitySwitches)},
		field{key: "stream_pauses", read: choice(&c.StreamPauses, capacityWords, capacitySwitches)},
		field{key: "backups", read: choice(&c.Backups, capacityWords, capacitySwitches)},
		field{key: "sizes", read: choice(&c.Sizes, capacityWords, capacitySwitches)},
		field{key: "eviction", read: choice(&c.Eviction, capacityWords, capacitySwitches)},
		field{key: "startup", read: choice(&c.Startup, capacityWords, capacitySwitches)},
	)
}

func (f *Forwarding) readPlatformTerms(n node) {
	n.list(func(item node) {
		if term, ok := item.scalar("the name of a term"); ok {
			f.PlatformTerms = append(f.PlatformTerms, term)
		}
	})
}
