package rollout

import (
	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/tables"
)

// orderCounters count the orders of this process.
type orderCounters struct {
	sent, unanswered, overtaken gometrics.Counter
}

// newOrderCounters returns counters in the given registry, or in one of their own if it is nil.
func newOrderCounters(registry *metrics.Registry) orderCounters {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	return orderCounters{
		sent:       registry.Counter("carawaystile_rollout_orders_total", "Orders to load weights that this instance sent to endpoints."),
		unanswered: registry.Counter("carawaystile_rollout_orders_unanswered_total", "Orders to load weights that got no answer in time."),
		overtaken:  registry.Counter("carawaystile_rollout_orders_overtaken_total", "Orders to load weights before which an older order was carried out."),
	}
}

// orderHistory is what is known of the orders to an endpoint since it began to lag.
type orderHistory struct {
	orders int
	lastAt tables.Instant
}

// recordOrder records an order that is sent.
func (r *Controller) recordOrder(now tables.Instant, id tables.EndpointID) {
	r.counters.sent.Inc(1)
	if r.lags.orders == nil {
		r.lags.orders = map[tables.EndpointID]orderHistory{}
	}
	r.lags.orders[id] = orderHistory{orders: r.lags.orders[id].orders + 1, lastAt: now}
}

// forgetOrders drops the orders of endpoints that are not behind.
func (t *lagTracker) forgetOrders(behind []lagging) {
	kept := make(map[tables.EndpointID]orderHistory, len(behind))
	for _, l := range behind {
		if history, known := t.orders[l.id]; known {
			kept[l.id] = history
		}
	}
	t.orders = kept
}

// describeOrders returns log fields of the orders to an endpoint since it began to lag.
func (t *lagTracker) describeOrders(now tables.Instant, id tables.EndpointID) []zap.Field {
	history, known := t.orders[id]
	if !known {
		return []zap.Field{zap.Int("orders", 0)}
	}
	return []zap.Field{zap.Int("orders", history.orders), zap.Duration("last_order_ago", now-history.lastAt)}
}

// latestOrder is the subject of the latest order to an engine; its version is 0 if there was none.
type latestOrder struct {
	model   string
	version uint64
	// acceptedSequence is the sequence after the engine accepts the order.
	acceptedSequence uint64
}

// latestOrder returns the latest order to an engine's process.
func (p *Planner) latestOrder(id tables.EndpointID) latestOrder {
	r := p.engineStates[id]
	if r == nil {
		return latestOrder{}
	}
	return latestOrder{model: r.orderedModel, version: r.orderedVersion, acceptedSequence: r.acceptedSequence}
}

// isOlder reports whether a report shows older weights than were ordered last.
func (o latestOrder) isOlder(report *Report) bool {
	version, serves := report.Weights[o.model]
	return serves && version < o.version
}

// noteAnswer records that an engine has accepted its latest order, so that no older one can take its sequence.
func (p *Planner) noteAnswer(id tables.EndpointID, version uint64, result OrderResult) {
	if r := p.engineStates[id]; r != nil && result == Accepted && version == r.orderedVersion {
		r.settledSequence = r.acceptedSequence
	}
}

// noteOvertaken reports whether a report is the first one to show that an older order has taken the sequence that
// the latest one was to take. Orders without an answer may be carried out in another order than they were sent in.
func (p *Planner) noteOvertaken(id tables.EndpointID, latest latestOrder, report *Report) bool {
	r := p.engineStates[id]
	if r == nil || latest.version == 0 || r.orderedVersion != latest.version || r.acceptedSequence != latest.acceptedSequence {
		return false
	}
	if report.Busy || report.Sequence < latest.acceptedSequence || !latest.isOlder(report) || report.Sequence == r.settledSequence {
		return false
	}
	r.settledSequence = report.Sequence
	return true
}

// logReport logs what a report shows of the latest order to an engine: that it is done, or that an older one came first.
func (r *Controller) logReport(id tables.EndpointID, latest latestOrder, report *Report, done bool) {
	fields := []zap.Field{
		zap.String("endpoint", string(id)), zap.Any("weights", report.Weights), zap.String("model", latest.model),
		zap.Uint64("ordered", latest.version), zap.Uint64("sequence", report.Sequence),
	}
	if done {
		events.RolloutDone.Log(r.options.Log, append(fields, zap.Bool("older", latest.isOlder(report)))...)
	}
	if r.planner.noteOvertaken(id, latest, report) {
		r.counters.overtaken.Inc(1)
		events.RolloutOvertaken.Log(r.options.Log, append(fields, zap.Uint64("expected_sequence", latest.acceptedSequence-1),
			zap.Int("orders", r.lags.orders[id].orders))...)
	}
}
