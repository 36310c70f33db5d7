package dispatch

// Switch turns one of the capacity decisions on or off.
type Switch uint8

// The values of a Switch.
const (
	// Off: the decision is not made.
	Off Switch = iota
	// Auto: the decision is made for services whose endpoints share their machines with
	// others, and where callers compete for capacity.
	Auto
	// On: the decision is made for all services.
	On
)

// Enabled reports whether the decision is made, given whether the capacity of the service is
// contended.
func (s Switch) Enabled(contended bool) bool { return s == On || s == Auto && contended }

// CapacityOptions configure the decisions for services whose capacity is contended.
type CapacityOptions struct {
	// Admission bounds the queues of endpoints and rejects what cannot be served in time.
	Admission Switch
	// StreamPauses counts the pauses that a prompt causes in running streams. Auto is on only
	// where endpoints share their machines: elsewhere pauses rarely reach the target gap, and
	// keeping streams and prompts apart costs more than it gains.
	StreamPauses Switch
	// Backups has engines back up streams that may not be resumed.
	Backups Switch
	// Eviction counts, in placement, the expected time to compute again what a prompt evicts from
	// an engine's memory.
	Eviction Switch
	// Contended states that callers compete for the capacity of all services.
	Contended bool
}

// enabled reports whether a capacity decision is made for a service.
func (d *Dispatcher) enabled(s Switch, service string) bool {
	return s.Enabled(d.options.Capacity.Contended || s == Auto && d.reportsSlowdown(service))
}

// reportsSlowdown reports whether an endpoint of the service has reported its slowdown, which
// shows that it shares its machine with others.
func (d *Dispatcher) reportsSlowdown(service string) bool {
	_, reports := d.slowdownKnown[service]
	return reports
}
