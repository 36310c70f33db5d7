package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/control/deployment"
	"github.com/carawaystile/carawaystile/control/state"
	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// storePeriod is the time between two looks at the store of cached prompts,
	// and storeTimeout how long it may take to take a connection. An engine that
	// fetches from a store that is gone loses some tenths of a second with each
	// request.
	storePeriod  = 600 * time.Millisecond
	storeTimeout = 300 * time.Millisecond
)

// stores holds the store of cached prompts while it takes connections. It is
// safe for concurrent use.
type stores struct {
	mu   sync.Mutex
	rows []fleet.Endpoint
}

func (s *stores) reachable() []fleet.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.rows)
}

func (s *stores) set(rows []fleet.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = rows
}

// watchStore looks whether the configured store takes connections. The platform
// lists no stores.
func (n *Node) watchStore(ctx context.Context) {
	ticker := time.NewTicker(storePeriod)
	defer ticker.Stop()
	var table *routes.Table
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !n.readsList() {
			continue
		}
		table = n.configuration(table)
		if table == nil || table.Store() == nil {
			n.stores.set(nil)
			continue
		}
		n.stores.set(lookAt(ctx, n.dial, table.Store()))
	}
}

// configuration reads the configuration that this replica has, unless it is the
// one that the caller has already.
func (n *Node) configuration(known *routes.Table) *routes.Table {
	var number uint64
	var content []byte
	n.replica.View(func(st *state.State) {
		if document := st.Document(deployment.ConfigurationName); document != nil {
			number, content = document.GetNumber(), document.GetContent()
		}
	})
	if content == nil || known != nil && known.Number == number {
		return known
	}
	table, err := n.options.Platform.Configuration(content)
	if err != nil {
		return known // it was read before it was decided
	}
	return table
}

// lookAt returns the store as an endpoint if it takes a connection.
func lookAt(ctx context.Context, dial engine.Dial, store *routes.Service) []fleet.Endpoint {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	conn, err := dial(bounded, store.Store)
	if err != nil {
		return nil
	}
	_ = conn.Close()
	return []fleet.Endpoint{{
		ID: tables.EndpointID(store.Name + "@" + store.Store.String()), Service: store.Name,
		Address: store.Store, Zone: store.StoreZone, Weights: map[string]uint64{}, Store: true,
	}}
}
