// Package transport provides RPC clients and the HTTP handler of the control
// interface between instances.
package transport

import (
	"net/http"
	"sync"

	"github.com/carawaystile/carawaystile/rpc"
)

// Dialer returns RPC clients of the control interface, one for each address. It is
// safe for concurrent use.
type Dialer struct {
	client  *http.Client
	mu      sync.Mutex
	clients map[string]rpc.Control
}

// NewDialer returns a Dialer whose RPC clients use the given HTTP client, which
// authenticates this instance to others (see keys.Transport).
func NewDialer(client *http.Client) *Dialer {
	return &Dialer{client: client, clients: map[string]rpc.Control{}}
}

// Control returns the RPC client for an address. Clients are cached and never
// evicted; their number is bounded by the instances that are asked.
func (d *Dialer) Control(address string) rpc.Control {
	d.mu.Lock()
	defer d.mu.Unlock()
	client := d.clients[address]
	if client == nil {
		client = rpc.NewControlProtobufClient("http://"+address, d.client)
		d.clients[address] = client
	}
	return client
}

// NewHandler returns the HTTP handler of the control interface. It must be served
// under rpc.ControlPathPrefix.
func NewHandler(control rpc.Control) http.Handler { return rpc.NewControlServer(control) }
