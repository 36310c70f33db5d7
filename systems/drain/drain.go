// Package drain takes an instance out of service in steps, so that no request
// is cut and none is refused: first the balancer is told, then new requests are
// still served until it must have noticed, then open ones end.
//
// It is a pure state machine without clock, goroutine or socket.
package drain

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// State is how far an instance has gone out of service.
type State uint8

// The states, in the order in which they are passed through.
const (
	// Serving: ready, and every request is served.
	Serving State = iota
	// LameDuck: not ready, but new requests are still served. The balancer's
	// checks and its open connections lag behind; without this step requests
	// already on their way would be refused.
	LameDuck
	// Draining: new requests are refused, open ones go on.
	Draining
	// Stopped: the process may exit.
	Stopped
)

// Machine is the state of one instance. The zero value with Serve set is ready
// to use.
type Machine struct {
	// LameDuckPeriod is how long the instance stays Announced.
	LameDuckPeriod time.Duration

	state     State
	announced tables.Instant
}

// Begin starts the drain; later calls change nothing.
func (m *Machine) Begin(now tables.Instant) {
	if m.state == Serving {
		m.state = LameDuck
		m.announced = now
	}
}

// Abort ends the drain at once: the operator has signalled a second time or
// the platform's patience is over. Open requests are cut.
func (m *Machine) Abort() {
	if m.state != Serving {
		m.state = Stopped
	}
}

// Tick takes the number of open requests and gives the state.
func (m *Machine) Tick(now tables.Instant, open int) State {
	if m.state == LameDuck && now-m.announced >= m.LameDuckPeriod {
		m.state = Draining
	}
	if m.state == Draining && open == 0 {
		m.state = Stopped
	}
	return m.state
}

// State gives the state as of the last Tick.
func (m *Machine) State() State { return m.state }

// NextTransition is how long nothing changes unless a request ends; it is zero when there
// is nothing to wait for but that.
func (m *Machine) NextTransition(now tables.Instant) time.Duration {
	if m.state != LameDuck {
		return 0
	}
	return max(m.LameDuckPeriod-(now-m.announced), 0)
}

// Ready says whether the balancer should send callers here.
func (s State) Ready() bool { return s == Serving }

// AcceptsRequests says whether a new request is served.
func (s State) AcceptsRequests() bool { return s <= LameDuck }
