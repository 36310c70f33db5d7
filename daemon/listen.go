package daemon

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/internal/callerconn"
	"github.com/carawaystile/carawaystile/internal/keepalive"
	"github.com/carawaystile/carawaystile/internal/readlimit"
	"github.com/carawaystile/carawaystile/keys"
	"github.com/carawaystile/carawaystile/logs"
	suspectpeers "github.com/carawaystile/carawaystile/peers"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/quarantine"
)

// Limits of the HTTP servers: timeouts, and for the instance listener the size of
// request headers in bytes, the number of connections, and the bytes of and the time for
// request bodies. Deliveries between control instances have a limit of their own, because a
// snapshot holds the whole control state: answers, history and claims of up to state.Limits.
const (
	readHeaderTimeout      = 10 * time.Second
	idleTimeout            = 2 * time.Minute
	maxInstanceHeaderBytes = 32 << 10
	maxInstanceConnections = 4096
	maxInstanceBodyBytes   = 8 << 20
	maxInstanceBodies      = 8 // bodies of the largest size at once
	maxSnapshotBytes       = 256 << 20
	maxSnapshots           = 2
	instanceBodyTimeout    = time.Minute
)

// listeners holds the HTTP servers of an instance.
type listeners struct {
	mu      sync.Mutex
	servers []*http.Server
	serving sync.WaitGroup
}

// listen opens the listeners of the instance's roles.
func (d *Daemon) listen() error {
	p := d.options.Process
	if d.entry != nil {
		d.callerConnections = d.newConnections("callers", p.Limits.Connections, int(p.Limits.HeaderBytes))
		d.callerServer = &http.Server{Handler: d.entry.Handler(), MaxHeaderBytes: int(p.Limits.HeaderBytes) + callerconn.MaxReadAhead}
		if err := d.serve(d.callerServer, p.Listen.Callers, d.callerConnections); err != nil {
			return err
		}
	}
	server := &http.Server{Handler: d.limitBodies(d.instanceHandler()), MaxHeaderBytes: maxInstanceHeaderBytes + callerconn.MaxReadAhead}
	return d.serve(server, p.Listen.Instances, d.newConnections("instances", maxInstanceConnections, maxInstanceHeaderBytes))
}

// serve opens a listener and serves it until the instance stops. Without a limit of its connections a flood of
// them would exhaust the file descriptors of the process, which could then no longer connect to endpoints.
func (d *Daemon) serve(server *http.Server, address netip.AddrPort, connections *callerconn.Connections) error {
	openListener := d.options.Listen
	if openListener == nil {
		openListener = listenTCP
	}
	listener, err := openListener(address)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	server.ReadHeaderTimeout = readHeaderTimeout
	server.IdleTimeout = idleTimeout
	server.ConnState = connections.Observe
	server.ErrorLog = logs.ServerErrors(d.options.Log)
	d.listeners.mu.Lock()
	d.listeners.servers = append(d.listeners.servers, server)
	d.listeners.mu.Unlock()
	d.listeners.serving.Go(func() {
		if err := server.Serve(connections.Listen(listener)); !errors.Is(err, http.ErrServerClosed) {
			events.ListenerFailed.Log(d.options.Log, zap.Stringer("address", address), zap.Error(err))
		}
	})
	return nil
}

// listenTCP is the default of Options.Listen.
func listenTCP(address netip.AddrPort) (net.Listener, error) {
	return keepalive.Clients.Listen(address)
}

// close closes all listeners and their connections.
func (l *listeners) close() {
	l.mu.Lock()
	servers := l.servers
	l.mu.Unlock()
	for _, server := range servers {
		_ = server.Close()
	}
	l.serving.Wait()
}

// instanceHandler returns the HTTP handler for operators, other instances and
// scrapers. Every path requires a key, so that a caller who reaches the address
// obtains no information.
func (d *Daemon) instanceHandler() http.Handler {
	operators := http.NewServeMux()
	operators.HandleFunc("GET /metrics", d.serveMetrics)
	operators.HandleFunc("GET "+MeasurementsPath, d.serveMeasurements)
	operators.HandleFunc("GET "+ExplainPath, d.serveExplain)
	operators.HandleFunc("GET "+InstancesPath, d.serveInstances)
	if d.replica != nil {
		operators.HandleFunc("GET "+QuorumPath, d.serveQuorum)
	}
	if d.operatorService != nil {
		operators.Handle(rpc.OperatorPathPrefix, rpc.NewOperatorServer(d.operatorService))
	}
	mux := http.NewServeMux()
	if d.entry != nil {
		peer := rpc.NewPeerServer(suspectpeers.Service{Receive: d.observePeerSuspects})
		mux.Handle(rpc.PeerPathPrefix, keys.Require(d.instanceKeys, peer))
	}
	mux.Handle("/", keys.Require(d.operatorKeys, operators))
	mux.Handle(rpc.ControlPathPrefix, keys.Require(d.instanceKeys, d.controlHandler()))
	return mux
}

// limitBodies bounds the request bodies that other instances and operators send.
func (d *Daemon) limitBodies(handler http.Handler) http.Handler {
	exceeded := readlimit.ReportExceeded(d.options.Log, d.registry)
	bodies := &readlimit.Bodies{
		Bytes: maxInstanceBodyBytes, TotalBytes: maxInstanceBodies * maxInstanceBodyBytes, Timeout: instanceBodyTimeout, Exceeded: exceeded,
	}
	deliveries := &readlimit.Bodies{
		Bytes: maxSnapshotBytes, TotalBytes: maxSnapshots * maxSnapshotBytes, Timeout: instanceBodyTimeout, Exceeded: exceeded,
	}
	mux := http.NewServeMux()
	mux.Handle("/", bodies.Handler(handler))
	mux.Handle(rpc.ControlPathPrefix+"Deliver", deliveries.Handler(handler))
	return mux
}

// observePeerSuspects passes a peer's report of what is suspected of crashing
// endpoints to the router.
func (d *Daemon) observePeerSuspects(suspects []quarantine.Suspect) {
	for _, suspect := range suspects {
		d.entry.Observe(router.PeerSuspect{Suspect: suspect})
	}
}
