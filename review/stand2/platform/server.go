//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/platform/platformtest"
)

// server is a stand-in of a server of a plain service.
type server struct {
	lab     *lab
	id      string
	service string
	ip      string
	zone    string
	slots   int
	work    time.Duration

	http     *http.Server
	listener net.Listener
	// handle replaces the run of a request; nil for an answer of 800 bytes after the work.
	handle func(w http.ResponseWriter, r *http.Request)
	// onRun is called when a request runs.
	onRun func(r *http.Request)
	// quiet leaves the runs out of the record.
	quiet bool

	// born is the Unix millisecond of its start.
	born int64

	mu      sync.Mutex
	running int
	leaving bool
	runs    map[string]int
}

func (l *lab) newServer(id, service string, host int, zone string) *server {
	return &server{lab: l, id: id, service: service, ip: l.ip(host), zone: zone, slots: 6, work: 30 * time.Millisecond, runs: map[string]int{}}
}

func (s *server) start() error {
	listener, err := platformtest.Listen(netip.MustParseAddrPort(fmt.Sprintf("%s:%d", s.ip, portServer)))
	if err != nil {
		return err
	}
	s.listener, s.born = listener, time.Now().UnixMilli()
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go s.http.Serve(listener)
	s.lab.closers = append(s.lab.closers, func() { s.http.Close() })
	return nil
}

// entry is the entry of the list.
func (s *server) entry(state string) string {
	return fmt.Sprintf(`{"service":%q,"address":"%s:%d","zone":%q,"version":"v1","slots":%d,"state":%q,"cold_remaining_ms":0,"id":%q,"born":%d}`,
		s.service, s.ip, portServer, s.zone, s.slots, state, s.id, s.born)
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Carawaystile-Attempt-Id")
	header := w.Header()
	header.Set("X-Carawaystile-Instance-Id", s.id)
	if id != "" {
		header.Set("X-Carawaystile-Attempt-Id", id)
	}
	s.mu.Lock()
	header.Set("X-Carawaystile-Instance-Load", fmt.Sprintf("%d,0,%d", s.running, s.slots))
	leaving := s.leaving
	s.mu.Unlock()
	if leaving {
		header.Set("Server-Leaving", "1")
		header.Set("Connection", "close")
	}
	if expected := r.Header.Get("X-Carawaystile-Expect-Instance"); expected != "" && expected != s.id {
		header.Set("X-Carawaystile-Not-Executed", "1")
		w.WriteHeader(421)
		return
	}
	if r.URL.Path == "/healthz" {
		if leaving {
			w.WriteHeader(503)
		}
		return
	}
	if id == "" {
		header.Set("X-Carawaystile-Not-Executed", "1")
		w.WriteHeader(400)
		return
	}
	s.mu.Lock()
	if s.running >= s.slots {
		s.mu.Unlock()
		header.Set("X-Carawaystile-Not-Executed", "1")
		w.WriteHeader(503)
		return
	}
	s.running++
	s.runs[id]++
	s.mu.Unlock()
	defer func() { s.mu.Lock(); s.running--; s.mu.Unlock() }()
	if !s.quiet {
		s.lab.note("server %s (%s) runs %s %s %s, %d bytes, tenant %q", s.id, s.service, id, r.Method, r.RequestURI, len(body), r.Header.Get("X-Carawaystile-Tenant"))
	}
	if s.onRun != nil {
		s.onRun(r)
	}
	header.Set("X-Carawaystile-Server-Seal", "seal-"+s.id+"-"+id)
	if s.handle != nil {
		s.handle(w, r)
		return
	}
	time.Sleep(s.work)
	header.Set("Content-Length", "800")
	_, _ = w.Write(make([]byte, 800))
}

// ran returns how often a request ran.
func (s *server) ran(id string) int { s.mu.Lock(); defer s.mu.Unlock(); return s.runs[id] }
