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
	"golang.org/x/net/netutil"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/keys"
	suspectpeers "github.com/carawaystile/carawaystile/peers"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/quarantine"
)

// Bounds of the listeners.
const (
	headerTimeout       = 10 * time.Second
	idleTimeout         = 2 * time.Minute
	instanceHeaderBytes = 32 << 10
	instanceConnections = 4096
)

// listeners are the HTTP servers of an instance.
type listeners struct {
	mu      sync.Mutex
	servers []*http.Server
	serving sync.WaitGroup
}

// listen opens the listeners of the instance's roles.
func (d *Daemon) listen() error {
	p := d.options.Process
	if d.entry != nil {
		d.callers = &http.Server{Handler: d.entry.Handler(), MaxHeaderBytes: int(p.Limits.HeaderBytes)}
		if err := d.serve(d.callers, p.Listen.Callers, p.Limits.Connections); err != nil {
			return err
		}
	}
	server := &http.Server{Handler: d.instanceHandler(), MaxHeaderBytes: instanceHeaderBytes}
	return d.serve(server, p.Listen.Instances, instanceConnections)
}

// serve opens one listener and serves it until the instance stops. The number
// of connections is bounded: without it a flood of callers takes the process's
// file descriptors, and then it can reach no endpoint either.
func (d *Daemon) serve(server *http.Server, at netip.AddrPort, connections int) error {
	open := d.options.Listen
	if open == nil {
		open = listenTCP
	}
	listener, err := open(at)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	server.ReadHeaderTimeout = headerTimeout
	server.IdleTimeout = idleTimeout
	server.ErrorLog = zap.NewStdLog(d.options.Log.WithOptions(zap.IncreaseLevel(zap.ErrorLevel)))
	d.listeners.mu.Lock()
	d.listeners.servers = append(d.listeners.servers, server)
	d.listeners.mu.Unlock()
	bounded := netutil.LimitListener(listener, connections)
	d.listeners.serving.Go(func() {
		if err := server.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
			events.ListenerFailed.Log(d.options.Log, zap.Stringer("address", at), zap.Error(err))
		}
	})
	return nil
}

func listenTCP(at netip.AddrPort) (net.Listener, error) { return net.Listen("tcp", at.String()) }

// close ends all listeners and their connections.
func (l *listeners) close() {
	l.mu.Lock()
	servers := l.servers
	l.mu.Unlock()
	for _, server := range servers {
		_ = server.Close()
	}
	l.serving.Wait()
}

// instanceHandler serves operators, other instances and scrapers. Each part
// needs a key, so that a caller who reaches the address learns nothing.
func (d *Daemon) instanceHandler() http.Handler {
	operators := http.NewServeMux()
	operators.HandleFunc("GET /metrics", d.serveMetrics)
	operators.HandleFunc("GET "+MeasurementsPath, d.serveMeasurements)
	operators.HandleFunc("GET "+ExplainPath, d.serveExplain)
	if d.operators != nil {
		operators.Handle(rpc.OperatorPathPrefix, rpc.NewOperatorServer(d.operators))
	}
	mux := http.NewServeMux()
	if d.entry != nil {
		peer := rpc.NewPeerServer(suspectpeers.Service{Receive: d.takeSuspect})
		mux.Handle(rpc.PeerPathPrefix, keys.Require(d.instanceKeys, peer))
	}
	mux.Handle("/", keys.Require(d.operatorKeys, operators))
	mux.Handle(rpc.ControlPathPrefix, keys.Require(d.instanceKeys, d.controlHandler()))
	return mux
}

// takeSuspect hands the router what another instance found out about a crash.
func (d *Daemon) takeSuspect(told quarantine.Suspect) {
	d.entry.Observe(router.PeerSuspect{Suspect: told})
}
