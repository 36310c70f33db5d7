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
	// storePeriod is the time between two looks at the stores of cached prompts,
	// and storeTimeout how long one may take to take a connection. An engine that
	// fetches from a store that is gone loses some tenths of a second with each
	// request.
	storePeriod  = 600 * time.Millisecond
	storeTimeout = 300 * time.Millisecond
)

// stores holds the stores of cached prompts that take connections. It is safe
// for concurrent use.
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

// watchStores looks which of the configured stores take connections. The platform
// lists no stores.
func (n *Node) watchStores(ctx context.Context) {
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
		if table == nil {
			n.stores.set(nil)
			continue
		}
		n.stores.set(lookAtAll(ctx, n.dial, table.KVStores()))
	}
}

// configuration reads the configuration that this replica has, unless it is the
// one that the caller has already.
func (n *Node) configuration(known *routes.Table) *routes.Table {
	var number uint64
	var content []byte
	n.replica.View(func(st *state.State) {
		if document := st.Document(deployment.ConfigurationDocument); document != nil {
			number, content = document.GetNumber(), document.GetContent()
		}
	})
	if content == nil || known != nil && known.Revision == number {
		return known
	}
	table, err := n.options.Platform.ParseConfiguration(content)
	if err != nil {
		return known // it was read before it was decided
	}
	return table
}

// lookAtAll returns the stores that take a connection. They are asked at once,
// so that one that is gone does not hold up what is known of the others.
func lookAtAll(ctx context.Context, dial engine.Dial, all []*routes.Service) []fleet.Endpoint {
	found := make([][]fleet.Endpoint, len(all))
	var looks sync.WaitGroup
	for i, store := range all {
		looks.Go(func() { found[i] = lookAt(ctx, dial, store) })
	}
	looks.Wait()
	return slices.Concat(found...)
}

// lookAt returns a store as an endpoint if it takes a connection.
func lookAt(ctx context.Context, dial engine.Dial, store *routes.Service) []fleet.Endpoint {
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	conn, err := dial(bounded, store.KVStoreAddress)
	if err != nil {
		return nil
	}
	_ = conn.Close()
	return []fleet.Endpoint{{
		ID: tables.EndpointID(store.Name + "@" + store.KVStoreAddress.String()), Service: store.Name,
		Address: store.KVStoreAddress, Zone: store.KVStoreZone, Weights: map[string]uint64{}, IsKVStore: true,
	}}
}
