package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// NotLoopback means that a stand-in was asked to listen where others could
// reach it. Stand-ins check nobody's credentials, so they refuse.
type NotLoopback struct{ Address netip.AddrPort }

// Error names the address.
func (e *NotLoopback) Error() string {
	return fmt.Sprintf("stand-ins listen on loopback only, not on %s", e.Address)
}

// relistenTries bounds how often a stand-in asks for its old address when it
// comes back.
const (
	relistenTries = 200
	relistenPause = 5 * time.Millisecond
)

// server is an HTTP server that can be cut off and come back under the same
// address.
type server struct {
	handler http.Handler
	address netip.AddrPort
	// swallowing makes a half-open endpoint: connections stay up, what arrives
	// is dropped and nothing is sent.
	swallowing atomic.Bool

	mu       sync.Mutex
	http     *http.Server
	listener net.Listener
	conns    map[*conn]struct{}
}

func newServer(address netip.AddrPort, handler http.Handler) (*server, error) {
	if !address.IsValid() {
		address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	}
	if !address.Addr().IsLoopback() {
		return nil, &NotLoopback{Address: address}
	}
	s := &server{handler: handler, address: address, conns: make(map[*conn]struct{})}
	if err := s.up(); err != nil {
		return nil, err
	}
	return s, nil
}

// up begins to serve, under the address that was served before.
func (s *server) up() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		return nil
	}
	listener, err := listen(s.address)
	if err != nil {
		return err
	}
	s.address = listener.Addr().(*net.TCPAddr).AddrPort()
	s.listener = listener
	if s.http == nil {
		s.http = &http.Server{Handler: s.handler, ReadHeaderTimeout: 10 * time.Second}
	}
	go func(h *http.Server) { _ = h.Serve(&trackingListener{Listener: listener, server: s}) }(s.http)
	return nil
}

func listen(address netip.AddrPort) (listener net.Listener, err error) {
	for range relistenTries {
		listener, err = net.Listen("tcp", address.String())
		if err == nil {
			return listener, nil
		}
		time.Sleep(relistenPause)
	}
	return nil, err
}

// refuse closes the listener and leaves the open connections alone.
func (s *server) refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		_ = s.listener.Close()
		s.listener = nil
	}
}

// cut closes the listener and resets every connection, as the end of a process
// does.
func (s *server) cut() {
	s.refuse()
	s.mu.Lock()
	old := s.http
	s.http = nil
	conns := s.conns
	s.conns = make(map[*conn]struct{})
	s.mu.Unlock()
	for c := range conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Conn.Close()
	}
	if old != nil {
		_ = old.Close()
	}
}

func (s *server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

type trackingListener struct {
	net.Listener
	server *server
}

// Accept notes the connection, so that it can be cut.
func (l *trackingListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, server: l.server}
	l.server.mu.Lock()
	l.server.conns[c] = struct{}{}
	l.server.mu.Unlock()
	return c, nil
}

// conn is a connection that can be made half-open.
type conn struct {
	net.Conn
	server *server
}

// Read drops what arrives while the endpoint is half-open.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.server.swallowing.Load() {
			return n, err
		}
	}
}

// Write pretends to send while the endpoint is half-open.
func (c *conn) Write(p []byte) (int, error) {
	if c.server.swallowing.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// ReadFrom hides the inner connection's own, which would go around Write.
func (c *conn) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// Close ends the connection.
func (c *conn) Close() error {
	c.server.forget(c)
	return c.Conn.Close()
}
