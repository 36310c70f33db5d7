// Package transport carries the control interface between instances over HTTP.
package transport

import (
	"net/http"
	"sync"

	"github.com/carawaystile/carawaystile/rpc"
)

// Dialer gives control interfaces by address. It is safe for concurrent use.
type Dialer struct {
	client  *http.Client
	mu      sync.Mutex
	clients map[string]rpc.Control
}

// NewDialer returns a dialer over the client, which proves this instance to the
// others (see keys.Transport).
func NewDialer(client *http.Client) *Dialer {
	return &Dialer{client: client, clients: map[string]rpc.Control{}}
}

// Control returns the control interface at an address. It keeps one for each
// address; there are as many as control instances in the settings.
func (d *Dialer) Control(address string) rpc.Control {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := d.clients[address]
	if known == nil {
		known = rpc.NewControlProtobufClient("http://"+address, d.client)
		d.clients[address] = known
	}
	return known
}

// NewHandler returns the handler of the control interface. The path that it
// has to be served under is rpc.ControlPathPrefix.
func NewHandler(control rpc.Control) http.Handler { return rpc.NewControlServer(control) }
