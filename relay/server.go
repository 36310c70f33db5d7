package relay

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/fleet"
	"github.com/carawaystile/carawaystile/internal/resetconn"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/tables"
)

// ServerOptions configure a Server.
type ServerOptions struct {
	// Admit decides whether this instance connects to an endpoint for another one; an empty
	// reason allows it. Only the ID and the address of the endpoint are set.
	Admit func(to *fleet.Endpoint) Reason
	// Dial opens connections to endpoints.
	Dial engine.DialFunc
	// ObserveResponse receives the header of each response of an endpoint; nil for none.
	ObserveResponse func(from tables.EndpointID, status int, header http.Header)
	// MaxConnections bounds the relayed connections that are open at once.
	MaxConnections int
	// Reserve reserves the memory of a relayed connection, in bytes, and returns the function that
	// gives it back; ok is false if there is none left. Nil means that memory is not counted.
	Reserve func(bytes int64) (release func(), ok bool)
	// Registry receives the metrics; nil for none.
	Registry *metrics.Registry
}

// bufferBytes is the size of the buffers of a relayed connection, one for each direction.
const bufferBytes = 8 << 10

// connectionBytes is the most that a relayed connection holds: the two copy buffers, the writer
// towards the instance, the reader and writer of its HTTP connection, and the header of a
// response until that is complete.
const connectionBytes = 3*bufferBytes + 2*httpBufferBytes + maxHeaderBytes

// httpBufferBytes is the size of the buffers of net/http, one for each direction.
const httpBufferBytes = 4 << 10

// Server relays connections of other instances to endpoints. It is an http.Handler and safe for
// concurrent use.
type Server struct {
	options ServerOptions

	mu       sync.Mutex
	draining bool
	// open holds the connections to instances and to endpoints. count is how many relayed
	// connections are open or being opened.
	open   map[net.Conn]struct{}
	count  int
	idle   chan struct{}
	closed bool
}

// NewServer returns a server without connections.
func NewServer(o ServerOptions) *Server {
	return &Server{options: o, open: map[net.Conn]struct{}{}, idle: make(chan struct{}, 1)}
}

// ServeHTTP serves one request for a connection.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.Header.Get("Upgrade") != protocol {
		http.Error(w, "expected an upgrade to "+protocol, http.StatusUpgradeRequired)
		return
	}
	address, err := netip.ParseAddrPort(r.Header.Get(headerAddress))
	if err != nil {
		s.reject(w, UnknownEndpoint)
		return
	}
	to := &fleet.Endpoint{ID: tables.EndpointID(r.Header.Get(headerEndpoint)), Address: address}
	if r.Header.Get(headerProbe) != "" {
		s.serveProbe(w, r, to)
		return
	}
	if reason := s.reserve(to); reason != "" {
		s.reject(w, reason)
		return
	}
	defer s.release()
	giveBack, ok := s.reserveMemory()
	if !ok {
		s.reject(w, Busy)
		return
	}
	defer giveBack()
	endpoint, reason := s.connect(r.Context(), to)
	if reason != "" {
		s.reject(w, reason)
		return
	}
	defer s.close(endpoint)
	instance, buffered, err := hijack(w)
	if err != nil {
		s.countRejected(lost)
		return
	}
	if !s.track(instance) {
		return
	}
	defer s.close(instance)
	s.countRelayed()
	s.carry(instance, buffered, endpoint, to.ID)
}

// reserve counts a relayed connection, or returns why there must be none.
func (s *Server) reserve(to *fleet.Endpoint) Reason {
	if reason := s.options.Admit(to); reason != "" {
		return reason
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.draining || s.closed:
		return Draining
	case s.count >= s.options.MaxConnections:
		return Busy
	}
	s.count++
	return ""
}

// reserveMemory reserves the memory of a connection.
func (s *Server) reserveMemory() (release func(), ok bool) {
	if s.options.Reserve == nil {
		return func() {}, true
	}
	return s.options.Reserve(connectionBytes)
}

func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count--
	if s.count == 0 {
		select {
		case s.idle <- struct{}{}:
		default:
		}
	}
}

// connect opens the connection to the endpoint.
func (s *Server) connect(ctx context.Context, to *fleet.Endpoint) (net.Conn, Reason) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	dialed, err := s.options.Dial(ctx, to.Address)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, Refused
	case err != nil:
		return nil, Unreachable
	}
	conn := resetconn.New(dialed)
	if !s.track(conn) {
		return nil, Draining
	}
	return conn, ""
}

// reject answers that this instance does not relay the connection.
func (s *Server) reject(w http.ResponseWriter, reason Reason) {
	s.countRejected(reason)
	w.Header().Set(headerReason, string(reason))
	w.Header().Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Server) countRejected(reason Reason) {
	if s.options.Registry != nil {
		s.options.Registry.Counter("carawaystile_relays_rejected_total", "Connections that this instance did not relay for another one, by reason.",
			metrics.Label{Name: "reason", Value: string(reason)}).Inc(1)
	}
}

func (s *Server) countRelayed() {
	if s.options.Registry != nil {
		s.options.Registry.Counter("carawaystile_relays_total", "Connections that this instance relayed to endpoints for other instances.").Inc(1)
	}
}

// hijack takes over the connection of a request and sends the response with status 101.
func hijack(w http.ResponseWriter) (net.Conn, *bufio.Reader, error) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return nil, nil, err
	}
	_ = conn.SetDeadline(time.Time{}) // that of the request's header
	_, err = conn.Write([]byte("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n\r\n"))
	if err != nil {
		_ = conn.Close()
		return nil, nil, err
	}
	return conn, buffered.Reader, nil
}

// track registers a connection, or closes it if the server is closed.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = conn.Close()
		return false
	}
	s.open[conn] = struct{}{}
	return true
}

// close closes a connection.
func (s *Server) close(conn net.Conn) {
	s.mu.Lock()
	delete(s.open, conn)
	s.mu.Unlock()
	_ = conn.Close()
}

// Drain accepts no more connections and waits until the open ones have ended, or until the
// context ends.
func (s *Server) Drain(ctx context.Context) error {
	for {
		s.mu.Lock()
		s.draining = true
		count := s.count
		s.mu.Unlock()
		if count == 0 {
			return nil
		}
		select {
		case <-s.idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Close closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.open {
		_ = conn.Close()
	}
}
