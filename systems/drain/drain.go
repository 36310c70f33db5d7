// Package drain implements graceful shutdown of an instance with a lame-duck
// period, so that no request is cut off and none is refused. The instance first
// fails its readiness check, then serves new requests until the load balancer
// must have noticed, and finally waits for open requests to end.
//
// The package is a pure state machine without clock, goroutine or socket.
package drain

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// State is a phase of the shutdown.
type State uint8

// The phases, in the order in which they occur.
const (
	// Serving means that the instance is ready and accepts requests.
	Serving State = iota
	// LameDuck means that the readiness check fails while new requests are still
	// accepted. The load balancer's health checks and open connections lag
	// behind; without this phase, requests already in transit would be refused.
	LameDuck
	// Draining means that new requests are refused while open requests continue.
	Draining
	// Stopped means that the process may exit.
	Stopped
)

// Machine is the shutdown state machine of one instance. The zero value with
// LameDuckPeriod set is ready to use and in the phase Serving.
type Machine struct {
	// LameDuckPeriod is how long the instance stays in LameDuck.
	LameDuckPeriod time.Duration

	state         State
	lameDuckSince tables.Instant
}

// Begin starts the shutdown. Later calls have no effect.
func (m *Machine) Begin(now tables.Instant) {
	if m.state == Serving {
		m.state = LameDuck
		m.lameDuckSince = now
	}
}

// Abort ends the shutdown immediately and cuts off open requests. It is called
// when the operator interrupts it or the platform's grace period ends.
// It has no effect before Begin.
func (m *Machine) Abort() {
	if m.state != Serving {
		m.state = Stopped
	}
}

// Tick advances the machine to the instant now, with the given number of open
// requests, and returns the new state.
func (m *Machine) Tick(now tables.Instant, open int) State {
	if m.state == LameDuck && now-m.lameDuckSince >= m.LameDuckPeriod {
		m.state = Draining
	}
	if m.state == Draining && open == 0 {
		m.state = Stopped
	}
	return m.state
}

// State returns the current state. It does not advance the machine.
func (m *Machine) State() State { return m.state }

// UntilDraining returns the remaining time of the phase LameDuck. It returns 0 in
// all other phases, which do not end by time.
func (m *Machine) UntilDraining(now tables.Instant) time.Duration {
	if m.state != LameDuck {
		return 0
	}
	return max(m.LameDuckPeriod-(now-m.lameDuckSince), 0)
}

// Ready reports whether the load balancer should route requests to the
// instance.
func (s State) Ready() bool { return s == Serving }

// AcceptsRequests reports whether new requests are accepted.
func (s State) AcceptsRequests() bool { return s <= LameDuck }
