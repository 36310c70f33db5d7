package fleet

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// maxRemoved bounds the removals that are remembered for differences; a copy
// that is further behind gets all endpoints.
const maxRemoved = 512

// Table is a control instance's view of all endpoints. It is safe for
// concurrent use.
type Table struct {
	source uint64

	mu sync.Mutex
	// filled is set once the table was taken over from the list or from another instance.
	filled  bool
	version uint64
	rows    map[tables.EndpointID]*row
	removed []removal
	// reaches is the oldest version that differences can start from.
	reaches uint64
	changed chan struct{}
}

type row struct {
	Endpoint
	// version is that of the table at the row's last change.
	version uint64
}

type removal struct {
	id      tables.EndpointID
	version uint64
}

// NewTable returns an empty table. The source must differ between any two lives
// of control instances: versions of two tables cannot be compared.
func NewTable(source uint64) *Table {
	return &Table{source: source, rows: map[tables.EndpointID]*row{}, changed: make(chan struct{})}
}

// List takes over what the platform's list says, which lags behind. An endpoint
// that was seen to drain stays so for its life, and weights only grow: an older
// page of the list must not bring back what is over.
func (t *Table) List(listed []Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.fill()
	seen := make(map[tables.EndpointID]bool, len(listed))
	for _, e := range listed {
		seen[e.ID] = true
		changed = t.put(t.merged(e)) || changed
	}
	for _, id := range slices.Sorted(maps.Keys(t.rows)) {
		if !seen[id] {
			t.remove(id)
			changed = true
		}
	}
	t.announce(changed)
}

// fill notes that the table holds what others know, and says whether it did not before.
func (t *Table) fill() (first bool) {
	first = !t.filled
	t.filled = true
	return first
}

func (t *Table) merged(listed Endpoint) Endpoint {
	e := listed.Clone()
	known := t.rows[e.ID]
	if known == nil || known.Born != e.Born && e.Born != 0 {
		return e
	}
	e.Draining = e.Draining || known.Draining
	e.Loading = known.Loading
	for model, version := range known.Weights {
		e.Weights[model] = max(e.Weights[model], version)
	}
	return e
}

// Weights notes which version of a model an endpoint has said it serves.
func (t *Table) Weights(id tables.EndpointID, model string, version uint64) {
	t.change(id, func(e *Endpoint) { e.Weights[model] = max(e.Weights[model], version) })
}

// Loading notes whether an order is being carried out at an endpoint.
func (t *Table) Loading(id tables.EndpointID, loading bool) {
	t.change(id, func(e *Endpoint) { e.Loading = loading })
}

// Mirror takes over the endpoints of the instance that gives orders, what it
// says of orders included.
func (t *Table) Mirror(others map[tables.EndpointID]Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.fill()
	for _, id := range slices.Sorted(maps.Keys(others)) {
		e := t.merged(others[id])
		e.Loading = others[id].Loading
		changed = t.put(e) || changed
	}
	for _, id := range slices.Sorted(maps.Keys(t.rows)) {
		if _, present := others[id]; !present {
			t.remove(id)
			changed = true
		}
	}
	t.announce(changed)
}

// NoOrders notes that nobody is known to give orders now.
func (t *Table) NoOrders() {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, r := range t.rows {
		if r.Loading {
			e := r.Clone()
			e.Loading = false
			changed = t.put(e) || changed
		}
	}
	t.announce(changed)
}

func (t *Table) change(id tables.EndpointID, f func(*Endpoint)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.rows[id]
	if known == nil {
		return
	}
	e := known.Clone()
	f(&e)
	t.announce(t.put(e))
}

// put replaces a row under the next version and says whether it differs.
func (t *Table) put(e Endpoint) bool {
	known := t.rows[e.ID]
	if known != nil && known.Equal(&e) {
		return false
	}
	t.rows[e.ID] = &row{Endpoint: e, version: t.version + 1}
	return true
}

func (t *Table) remove(id tables.EndpointID) {
	delete(t.rows, id)
	t.removed = append(t.removed, removal{id: id, version: t.version + 1})
	if len(t.removed) > maxRemoved {
		t.reaches = t.removed[0].version
		t.removed = t.removed[1:]
	}
}

func (t *Table) announce(changed bool) {
	if !changed {
		return
	}
	t.version++
	close(t.changed)
	t.changed = make(chan struct{})
}

// Len is the number of endpoints.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

// Endpoints returns all endpoints, by identity.
func (t *Table) Endpoints() []Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Endpoint, 0, len(t.rows))
	for _, r := range t.rows {
		all = append(all, r.Clone())
	}
	slices.SortFunc(all, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Since returns what brings a copy at the given version of the given source up
// to date, nil if it is, and a channel that is closed at the next change. A table that was
// not filled yet says nothing: a copy that took it over would lose all endpoints.
func (t *Table) Since(source, version uint64) (*rpc.Fleet, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.filled {
		return nil, t.changed
	}
	full := source != t.source || version > t.version || version < t.reaches
	if !full && version == t.version {
		return nil, t.changed
	}
	update := &rpc.Fleet{Source: t.source, Version: t.version, Full: full}
	for _, id := range slices.Sorted(maps.Keys(t.rows)) {
		if r := t.rows[id]; full || r.version > version {
			update.Endpoints = append(update.Endpoints, encode(&r.Endpoint))
		}
	}
	for _, gone := range t.removed {
		if !full && gone.version > version && t.rows[gone.id] == nil {
			update.Removed = append(update.Removed, string(gone.id))
		}
	}
	return update, t.changed
}
