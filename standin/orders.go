package standin

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/tables"
)

// serves returns the weights version a model is served with.
func (e *Engine) serves(model tables.ModelName) (tables.WeightsVersion, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	weights, ok := e.weights[model]
	return weights, ok
}

func (e *Engine) servedWeights() map[tables.ModelName]tables.WeightsVersion {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.weights)
}

func (e *Engine) serveOrderState(w http.ResponseWriter, _ *http.Request) {
	answerJSON(w, http.StatusOK, e.orderState())
}

func (e *Engine) orderState() engine.OrderState {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := engine.OrderState{
		Boot:     e.life.boot,
		Role:     e.role,
		Weights:  maps.Clone(e.weights),
		Adapters: make(map[tables.ModelName][]tables.AdapterName, len(e.adapters)),
		Loading:  e.loading,
	}
	if e.options.ChecksFence {
		state.Fence = e.fence
	}
	for model, adapters := range e.adapters {
		state.Adapters[model] = slices.Clone(adapters)
	}
	return state
}

// serveOrder carries an order out, unless the engine checks fencing numbers
// and has seen a higher one.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if !readJSON(w, r, &order) {
		return
	}
	seen, ok := e.admitOrder(order.Fence)
	if !ok {
		answerJSON(w, http.StatusConflict, engine.OrderRefusal{Fence: seen, Reason: "old fencing number"})
		return
	}
	time.Sleep(e.scaled(e.options.LoadTime))
	e.carryOut(order)
	answerJSON(w, http.StatusOK, e.orderState())
}

// admitOrder checks and notes a fencing number. An engine that checks them
// remembers the highest over crashes; one that does not carries old orders out
// and only records that it did.
func (e *Engine) admitOrder(fence tables.FencingToken) (seen tables.FencingToken, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	seen = e.fence
	if fence < seen {
		if e.options.ChecksFence {
			return seen, false
		}
		e.options.Records.update(func(t *Totals) { t.OldOrders++ })
	}
	e.fence = max(seen, fence)
	e.loading++
	return seen, true
}

func (e *Engine) carryOut(order engine.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loading--
	if e.options.ChecksFence && order.Fence < e.fence {
		return
	}
	switch order.Kind {
	case engine.OrderLoadModel, engine.OrderLoadVersion:
		e.weights[order.Model] = order.Weights
	case engine.OrderLoadAdapter:
		if !slices.Contains(e.adapters[order.Model], order.Adapter) {
			e.adapters[order.Model] = append(e.adapters[order.Model], order.Adapter)
		}
	case engine.OrderChangeRole:
		e.role = order.Role
	}
}

// serveExport answers with the longest run of the asked blocks that is cached.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var transfer engine.CacheTransfer
	if !readJSON(w, r, &transfer) {
		return
	}
	l := e.current()
	l.mu.Lock()
	run := l.cache.match(transfer.Blocks, time.Now())
	l.mu.Unlock()
	transfer.Blocks = transfer.Blocks[:len(run)]
	answerJSON(w, http.StatusOK, transfer)
}

// serveImport takes blocks of the weights version that the engine serves.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var transfer engine.CacheTransfer
	if !readJSON(w, r, &transfer) {
		return
	}
	if weights, ok := e.serves(transfer.Model); !ok || weights != transfer.Weights {
		transfer.Blocks = nil
	}
	l := e.current()
	l.mu.Lock()
	defer l.mu.Unlock()
	var stored, evicted []tables.BlockHash
	now := time.Now()
	for _, hash := range transfer.Blocks {
		gone, ok := l.cache.insert(&block{hash: hash, owner: transfer.Salt, weights: transfer.Weights, boot: l.boot}, now)
		evicted = append(evicted, gone...)
		if ok {
			stored = append(stored, hash)
		}
	}
	l.publish(stored, evicted)
	answerJSON(w, http.StatusOK, transfer)
}
