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
	// Announced: not ready, but new requests are still served. The balancer's
	// checks and its open connections lag behind; without this step requests
	// already on their way would be refused.
	Announced
	// Closing: new requests are refused, open ones go on.
	Closing
	// Ended: the process may exit.
	Ended
)

// Machine is the state of one instance. The zero value with Serve set is ready
// to use.
type Machine struct {
	// Serve is how long the instance stays Announced.
	Serve time.Duration

	state     State
	announced tables.Instant
}

// Begin starts the drain; later calls change nothing.
func (m *Machine) Begin(now tables.Instant) {
	if m.state == Serving {
		m.state = Announced
		m.announced = now
	}
}

// Abandon ends the drain at once: the operator has signalled a second time or
// the platform's patience is over. Open requests are cut.
func (m *Machine) Abandon() {
	if m.state != Serving {
		m.state = Ended
	}
}

// Tick takes the number of open requests and gives the state.
func (m *Machine) Tick(now tables.Instant, open int) State {
	if m.state == Announced && now-m.announced >= m.Serve {
		m.state = Closing
	}
	if m.state == Closing && open == 0 {
		m.state = Ended
	}
	return m.state
}

// State gives the state as of the last Tick.
func (m *Machine) State() State { return m.state }

// Wait is how long nothing changes unless a request ends; it is zero when there
// is nothing to wait for but that.
func (m *Machine) Wait(now tables.Instant) time.Duration {
	if m.state != Announced {
		return 0
	}
	return max(m.Serve-(now-m.announced), 0)
}

// Ready says whether the balancer should send callers here.
func (s State) Ready() bool { return s == Serving }

// Admits says whether a new request is served.
func (s State) Admits() bool { return s <= Announced }
