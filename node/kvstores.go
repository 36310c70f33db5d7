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
	// kvStoreProbeInterval is the time between two looks at the stores of cached prompts,
	// and storeTimeout how long one may take to take a connection. An engine that
	// fetches from a store that is gone loses some tenths of a second with each
	// request.
	kvStoreProbeInterval  = 600 * time.Millisecond
	kvStoreProbeTimeout = 300 * time.Millisecond
)

// kvStoreSet holds the kvStoreSet of cached prompts that take connections. It is safe
// for concurrent use.
type kvStoreSet struct {
	mu   sync.Mutex
	rows []fleet.Endpoint
}

func (s *kvStoreSet) endpoints() []fleet.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.rows)
}

func (s *kvStoreSet) set(rows []fleet.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows = rows
}

// probeKVStores looks which of the configured stores take connections. The platform
// lists no stores.
func (n *Node) probeKVStores(ctx context.Context) {
	ticker := time.NewTicker(kvStoreProbeInterval)
	defer ticker.Stop()
	var table *routes.Table
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if !n.shouldPollList() {
			continue
		}
		table = n.currentConfiguration(table)
		if table == nil {
			n.kvStores.set(nil)
			continue
		}
		n.kvStores.set(probeAll(ctx, n.dial, table.KVStores()))
	}
}

// currentConfiguration reads the currentConfiguration that this replica has, unless it is the
// one that the caller has already.
func (n *Node) currentConfiguration(known *routes.Table) *routes.Table {
	var number uint64
	var content []byte
	n.replica.View(func(st *state.State) {
		if document := st.Document(deployment.ConfigurationName); document != nil {
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

// probeAll returns the stores that take a connection. They are asked at once,
// so that one that is gone does not hold up what is known of the others.
func probeAll(ctx context.Context, dial engine.Dial, all []*routes.Service) []fleet.Endpoint {
	found := make([][]fleet.Endpoint, len(all))
	var probes sync.WaitGroup
	for i, store := range all {
		probes.Go(func() { found[i] = probe(ctx, dial, store) })
	}
	probes.Wait()
	return slices.Concat(found...)
}

// probe returns a store as an endpoint if it takes a connection.
func probe(ctx context.Context, dial engine.Dial, store *routes.Service) []fleet.Endpoint {
	bounded, cancel := context.WithTimeout(ctx, kvStoreProbeTimeout)
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
