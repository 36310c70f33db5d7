package node

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/control/gossip"
	"github.com/carawaystile/carawaystile/control/server"
	"github.com/carawaystile/carawaystile/control/transport"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/internal/callerconn"
	"github.com/carawaystile/carawaystile/internal/keepalive"
	"github.com/carawaystile/carawaystile/internal/readlimit"
	"github.com/carawaystile/carawaystile/logs"
	"github.com/carawaystile/carawaystile/relay"
	"github.com/carawaystile/carawaystile/rpc"
)

const (
	// headerTimeout bounds the time to read a request's header, and idleTimeout the time
	// between two requests of a connection. Both are above what operators allow callers.
	headerTimeout = 10 * time.Second
	idleTimeout   = time.Minute
)

// serve opens a listener and serves it in the background until the instance stops. peer is how
// it detects a dead peer, and connections bounds what clients hold.
func (n *Node) serve(server *http.Server, at netip.AddrPort, peer keepalive.Config, connections *callerconn.Connections) error {
	listener, err := n.listen(at, peer)
	if err != nil {
		return trace.Wrap(err)
	}
	n.serveListener(server, listener, connections)
	return nil
}

// listen opens a listener. Its bytes are counted if the instances are of different sizes.
func (n *Node) listen(at netip.AddrPort, peer keepalive.Config) (net.Listener, error) {
	listener, err := peer.Listen(at)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if n.sizes.enabled {
		listener = &countedListener{Listener: listener, counter: &n.sizes.link}
	}
	return listener, nil
}

// serveListener serves a listener in the background until the instance stops.
func (n *Node) serveListener(server *http.Server, listener net.Listener, connections *callerconn.Connections) {
	server.ConnState = connections.Observe
	server.ReadHeaderTimeout = headerTimeout
	server.MaxHeaderBytes = readlimit.HeaderBytes + callerconn.MaxReadAhead // the connections refuse first
	server.IdleTimeout = idleTimeout
	server.ErrorLog = logs.ServerErrors(n.log)
	n.mu.Lock()
	n.servers = append(n.servers, server)
	n.mu.Unlock()
	n.background.Go(func() {
		if err := server.Serve(connections.Listen(listener)); !errors.Is(err, http.ErrServerClosed) {
			events.ListenerFailed.Log(n.log, zap.Stringer("address", listener.Addr()), zap.Error(err))
		}
	})
}

// serveInstances serves the RPCs of other instances, and the metrics if an address for them is
// set.
func (n *Node) serveInstances() error {
	s := n.options.Settings
	mux := http.NewServeMux()
	mux.Handle(rpc.StreamsPathPrefix, rpc.NewStreamsServer(streamsServer{n}))
	if n.replica != nil {
		mux.Handle(rpc.ControlPathPrefix, transport.NewHandler(n.replica))
		mux.Handle(rpc.DeploymentPathPrefix, rpc.NewDeploymentServer(n.deployment))
	}
	if n.entry != nil {
		mux.Handle(rpc.CacheKnowledgePathPrefix, rpc.NewCacheKnowledgeServer(cacheKnowledgeServer{n}))
		mux.Handle(relay.Path, n.relayServer)
		mux.Handle(rpc.PeerPathPrefix, rpc.NewPeerServer(n.peerService()))
	}
	if err := n.serve(&http.Server{Handler: n.limitBodies(mux, n.peerBodyBytes())}, s.Listen.Instances, keepalive.Peers,
		n.newConnections("instances", peerShare, headerLimits)); err != nil {
		return err
	}
	if !s.Listen.Metrics.IsValid() {
		return nil
	}
	metrics := http.NewServeMux()
	metrics.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
		_ = n.registry.WriteText(w)
	})
	metrics.HandleFunc("GET "+gossip.SizesPath, n.listInstances)
	if n.entry != nil {
		n.handleQuarantine(metrics)
	}
	if n.replica != nil {
		metrics.HandleFunc("GET "+server.QuorumPath, n.writeQuorum)
	}
	return n.serve(&http.Server{Handler: n.limitBodies(metrics, emptyBodyBytes)}, s.Listen.Metrics, keepalive.Clients,
		n.newConnections("metrics", serviceShare, headerLimits))
}

// listInstances writes the sizes and loads of the known instances as JSON.
func (n *Node) listInstances(w http.ResponseWriter, _ *http.Request) {
	joined := n.gossip.Load()
	if joined == nil {
		http.Error(w, "this instance has not joined the others yet", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(joined.Sizes())
}

// writeQuorum writes what this control instance knows of the voters of its group as JSON.
func (n *Node) writeQuorum(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(n.replica.Status().Quorum)
}
