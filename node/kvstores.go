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
	// kvStoreProbeInterval is the interval between two health probes of the KV cache stores,
	// and kvStoreProbeTimeout bounds the connection attempt of a probe. An engine that fetches
	// from an unreachable store loses some tenths of a second with each request.
	kvStoreProbeInterval = 600 * time.Millisecond
	kvStoreProbeTimeout  = 300 * time.Millisecond
)

// kvStoreSet holds the KV cache stores whose last health probe succeeded. It is safe for
// concurrent use.
type kvStoreSet struct {
	mu        sync.Mutex
	reachable []fleet.Endpoint
}

// endpoints returns the reachable stores.
func (s *kvStoreSet) endpoints() []fleet.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.reachable)
}

// set replaces the reachable stores.
func (s *kvStoreSet) set(reachable []fleet.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reachable = reachable
}

// probeKVStores probes the configured stores periodically until the context ends, while this
// instance polls the platform's list. Stores are not on that list.
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

// currentConfiguration returns the newest configuration that this replica knows. It parses the
// document only if its number differs from that of known, the caller's table.
func (n *Node) currentConfiguration(known *routes.Table) *routes.Table {
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
		return known // documents are validated before they are committed
	}
	return table
}

// probeAll returns the stores that accept a connection. It probes them concurrently, so that
// an unreachable store does not delay the results of the others.
func probeAll(ctx context.Context, dial engine.DialFunc, stores []*routes.Service) []fleet.Endpoint {
	results := make([][]fleet.Endpoint, len(stores))
	var probes sync.WaitGroup
	for i, store := range stores {
		probes.Go(func() { results[i] = probe(ctx, dial, store) })
	}
	probes.Wait()
	return slices.Concat(results...)
}

// probe returns a store as an endpoint if it accepts a connection, and nothing otherwise.
func probe(ctx context.Context, dial engine.DialFunc, store *routes.Service) []fleet.Endpoint {
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
