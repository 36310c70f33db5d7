package orders

import (
	"context"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/tables"
)

// lateOrders is an engine that checks fencing tokens. While orders are late, they get no answer and are executed by
// deliver only.
type lateOrders struct {
	EngineClient
	seen tables.FencingToken
	late bool
	// waiting are the late orders, and executed the weights of the others.
	waiting  []engine.Order
	executed []tables.WeightsVersion
}

func (l *lateOrders) Order(ctx context.Context, at netip.AddrPort, order engine.Order) (engine.OrderState, error) {
	if l.late {
		l.waiting = append(l.waiting, order)
		return engine.OrderState{}, context.DeadlineExceeded
	}
	if order.Fence < l.seen {
		return engine.OrderState{}, &engine.StaleFencingTokenError{Fence: order.Fence, Seen: l.seen}
	}
	l.seen = order.Fence
	l.executed = append(l.executed, order.Weights)
	return l.EngineClient.Order(ctx, at, order)
}

// deliver has the late orders executed at an engine.
func (l *lateOrders) deliver(at netip.AddrPort) {
	for _, order := range l.waiting {
		_, _ = l.Order(context.Background(), at, order)
	}
	l.waiting = nil
}

// Guards against weights that replace newer ones: an order without an answer is executed after that of the weights
// that were configured since.
func TestLateOrderDoesNotReplaceNewerWeights(t *testing.T) {
	f := newSimulation(t, 1, 1)
	controller, at := f.instances[0].controller, f.configuration.Endpoints[0].Address
	engines := &lateOrders{EngineClient: controller.options.Engines, late: true}
	controller.options.Engines = engines
	f.advance(2 * stepInterval)
	assert.Assert(t, len(engines.waiting) > 0)

	engines.late = false
	f.configuration.Models[0].Weights = "w2"
	f.advance(2 * loadTime)
	assert.Assert(t, f.allServe("w2"))
	engines.deliver(at)
	f.advance(2 * loadTime)
	assert.DeepEqual(t, engines.executed, []tables.WeightsVersion{"w2"})
}

// Guards against a lease that is given up for each repeated order.
func TestRepeatedOrderKeepsTheLease(t *testing.T) {
	f := newSimulation(t, 1, 1)
	controller := f.instances[0].controller
	engines := &lateOrders{EngineClient: controller.options.Engines, late: true}
	controller.options.Engines = engines
	f.advance(2 * stepInterval)
	first, _ := controller.lease.TokenAndTTL()
	f.advance(LeaseDuration)
	engines.late = false
	f.advance(2 * loadTime)
	assert.Assert(t, f.allServe("w1"))
	last, left := controller.lease.TokenAndTTL()
	assert.Assert(t, left > 0)
	assert.Equal(t, last, first)
}
