//go:build review

// Package platform has a stand-in for model servers that load new weights under their runs, name the
// change in the stream and back runs up, as the users' pages tell it.
package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/platform/platformtest"
	"github.com/carawaystile/carawaystile/review/harness"
)

const (
	// Service is the servers' service, and Model their model.
	Service = "assess-llm"
	Model   = "m0"
	// KVTokens is the memory of a server in tokens, and Slots bounds its runs.
	KVTokens = 111_050
	Slots    = 48
	// HandleTime is handle_s: how long a copy is kept after its last part.
	HandleTime = 5 * time.Second
	// ShortPrefix starts the IDs of requests that the record leaves out.
	ShortPrefix   = "short-"
	eventInterval = 200 * time.Millisecond
	// loadTime is how long new weights take a server.
	loadTime = 830 * time.Millisecond
	headerID = "X-Carawaystile-Attempt-Id"
)

// Server is a model server as PROTOCOL.md tells it, as far as this case needs one: it streams, loads
// new weights under "retain", and backs running requests up.
type Server struct {
	pool *Pool
	// ID is the server's name in the list.
	ID      string
	zone    string
	address netip.AddrPort
	born    int64
	http    *http.Server

	mu       sync.Mutex
	version  uint64
	sequence uint64
	fence    uint64
	loading  bool
	// switchedAt is when the new weights came into force.
	switchedAt time.Time
	runs       map[string]*run
	copies     map[string]*backup
	conns      map[net.Conn]bool
	ended      bool
}

// run is a request that the server works on.
type run struct {
	backup *Server
	// madeUnder counts the events whose memory was made under each version; the prompt is event 0.
	madeUnder map[uint64]int
	// shown is the version that the stream has named last.
	shown uint64
}

// backup is the copy of a run's memory at another server.
type backup struct {
	madeUnder map[uint64]int
	events    int
	source    string
	timer     *time.Timer
}

// Continuation is a run that went on from a copy.
type Continuation struct {
	Request, Source, Target string
	// Weights is the version that the target runs, and MadeUnder counts the events whose memory was
	// made under each version.
	Weights   uint64
	MadeUnder map[uint64]int
	after     int
}

// Pool is all servers, and the platform's list.
type Pool struct {
	Record *harness.Record
	mu     sync.Mutex
	all    []*Server
	// continued lists the runs that went on from a copy.
	continued []Continuation
	ran       int
}

// Servers returns all servers.
func (p *Pool) Servers() []*Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.all)
}

// Start starts a server and adds it to the list.
func (p *Pool) Start(id, zone string, at netip.AddrPort) error {
	listener, err := platformtest.Listen(at)
	if err != nil {
		return err
	}
	s := &Server{
		pool: p, ID: id, zone: zone, address: at, born: time.Now().UnixMilli(), version: 1,
		runs: map[string]*run{}, copies: map[string]*backup{}, conns: map[net.Conn]bool{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", s.report)
	mux.HandleFunc("POST /order", s.order)
	mux.HandleFunc("GET /kv-events", s.events)
	mux.HandleFunc("GET /kv-list", s.list)
	mux.HandleFunc("/", s.serve)
	s.http = &http.Server{Handler: mux, ConnState: func(c net.Conn, state http.ConnState) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.conns[c] = true; state == http.StateClosed {
			delete(s.conns, c)
		}
	}}
	go func() { _ = s.http.Serve(listener) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, s)
	return nil
}

// Crash ends the server's process: nothing listens any more and its channels are reset.
func (s *Server) Crash() {
	s.mu.Lock()
	s.ended = true
	conns := slices.Collect(maps.Keys(s.conns))
	s.mu.Unlock()
	for _, c := range conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	_ = s.http.Close()
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP serves the platform's list. A server that has crashed stays on it.
func (p *Pool) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	entries := []any{}
	for _, s := range p.Servers() {
		s.mu.Lock()
		entries = append(entries, map[string]any{
			"id": s.ID, "service": Service, "address": s.address.String(), "zone": s.zone, "version": "v1", "slots": Slots,
			"state": "ready", "cold_remaining_ms": 0, "stage": "colocated", "born": s.born,
			"models": []any{map[string]any{"name": Model, "version": s.version, "adapters": []any{}}},
		})
		s.mu.Unlock()
	}
	writeJSON(w, map[string]any{"instances": entries, "next": nil})
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, map[string]any{
		"stage": "colocated", "models": []any{map[string]any{"name": Model, "version": s.version, "adapters": []any{}}},
		"busy": s.loading, "sequence": s.sequence, "queued": 0, "running": len(s.runs), "kv_used": 700 * len(s.runs),
		"kv_total": KVTokens, "handles": 0, "born": s.born,
	})
}

// events tells of no cached parts: each prompt here is used once.
func (s *Server) events(w http.ResponseWriter, r *http.Request) {
	if wait, err := strconv.Atoi(r.Header.Get("Wait-Ms")); err == nil {
		select {
		case <-time.After(time.Duration(min(wait, 1000)) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	writeJSON(w, map[string]any{"boot_epoch": s.born, "next": 1, "lost": false, "events": []any{}, "born": s.born})
}

func (s *Server) list(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, map[string]any{"boot_epoch": s.born, "next": 1, "held": []any{}, "born": s.born})
}

// order takes new weights. Runs go on under them ("retain"); requests that have not started are
// rejected until they are in force.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Operation    string  `json:"operation"`
		Version      uint64  `json:"version"`
		Strategy     string  `json:"strategy"`
		Holder       string  `json:"holder"`
		FencingToken uint64  `json:"fencing_token"`
		Precondition *uint64 `json:"precondition"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Holder == "" || order.FencingToken == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Header.Get("X-Carawaystile-Expect-Instance") != s.ID:
		w.WriteHeader(http.StatusMisdirectedRequest)
	case s.loading || order.Precondition != nil && *order.Precondition != s.sequence:
		w.WriteHeader(http.StatusConflict)
	case order.Version == s.version:
		w.WriteHeader(http.StatusOK)
	case order.Strategy != "retain":
		w.WriteHeader(http.StatusBadRequest) // this case is about runs that go on
	default:
		s.sequence++
		s.loading = true
		s.pool.Record.Add("order: %s is to load weights %d (%s), with %d runs", s.ID, order.Version, order.Strategy, len(s.runs))
		time.AfterFunc(loadTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.loading, s.version, s.switchedAt = false, order.Version, time.Now()
			s.pool.Record.Add("weights: %s runs on %d, and so do its %d runs", s.ID, s.version, len(s.runs))
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

func reject(w http.ResponseWriter, status int) {
	w.Header().Set("X-Carawaystile-Not-Executed", "1")
	w.WriteHeader(status)
}

// serve runs a request, or goes on with one from the copy of its memory that this server holds.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	backupAt := s.pool.at(r.Header.Get("X-Carawaystile-Kv-Backup"))
	s.mu.Lock()
	w.Header().Set("X-Carawaystile-Instance-Load", fmt.Sprintf("%d,0,%d,100", len(s.runs), Slots))
	expected := r.Header.Get("X-Carawaystile-Expect-Version")
	from := r.Header.Get("Kv-From")
	copied := s.copies[id]
	switch {
	case r.Header.Get("X-Carawaystile-Expect-Instance") != s.ID, expected != "" && expected != strconv.FormatUint(s.version, 10):
		s.mu.Unlock()
		reject(w, http.StatusMisdirectedRequest)
		return
	case s.loading, len(s.runs) >= Slots, from != "" && (copied == nil || from != s.address.String()+"/"+id):
		s.mu.Unlock()
		reject(w, http.StatusServiceUnavailable)
		return
	}
	this := &run{madeUnder: map[uint64]int{s.version: 1}, shown: s.version, backup: backupAt}
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if from != "" {
		delete(s.copies, id)
		this.madeUnder = copied.madeUnder
		c := Continuation{Request: id, Source: copied.source, Target: s.ID, Weights: s.version, MadeUnder: maps.Clone(copied.madeUnder), after: after}
		s.pool.mu.Lock()
		s.pool.continued = append(s.pool.continued, c)
		s.pool.mu.Unlock()
		s.pool.Record.Add("run: %s goes on at %s, weights %d, after event %d, from the copy of %s, whose memory was made under %v (weights: events)",
			id, s.ID, c.Weights, after, c.Source, c.MadeUnder)
	} else {
		s.pool.mu.Lock()
		s.pool.ran++
		s.pool.mu.Unlock()
		if !strings.HasPrefix(id, ShortPrefix) {
			s.pool.Record.Add("run: %s at %s, weights %d, backup %s", id, s.ID, s.version, name(this.backup))
		}
	}
	s.runs[id] = this
	version := s.version
	s.mu.Unlock()
	_, most, _ := strings.Cut(r.Header.Get("X-Carawaystile-Token-Usage"), ",")
	last, _ := strconv.Atoi(most)
	complete := s.stream(w, r, id, this, after, last, version)
	s.mu.Lock()
	delete(s.runs, id)
	s.mu.Unlock()
	if complete && this.backup != nil {
		this.backup.drop(id)
	}
}

func name(s *Server) string {
	if s == nil {
		return "none"
	}
	return s.ID
}

// stream sends the events after the given one. An event at which the version changes says so.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, id string, this *run, after, last int, version uint64) (complete bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Carawaystile-Server-Seal", "3e1b."+id)
	w.Header().Set("X-Carawaystile-Weight-Versions", strconv.FormatUint(version, 10))
	control := http.NewResponseController(w)
	for n := after + 1; n <= last; n++ {
		s.mu.Lock()
		now, ended := s.version, s.ended
		this.madeUnder[now]++
		changed := now != this.shown
		this.shown = now
		made := maps.Clone(this.madeUnder)
		s.mu.Unlock()
		if ended {
			return false
		}
		if this.backup != nil {
			this.backup.keep(id, s.ID, made, n)
		}
		text := fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n)
		if changed {
			text = fmt.Sprintf("x-carawaystile-weight-versions: %d\n", now) + text
		}
		if _, err := io.WriteString(w, text); err != nil || control.Flush() != nil {
			return false
		}
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return false
		}
	}
	return true
}

// keep stores the memory of a run as far as it has been made.
func (s *Server) keep(id, source string, madeUnder map[uint64]int, events int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.copies[id]; old != nil {
		old.timer.Stop()
	}
	c := &backup{madeUnder: madeUnder, events: events, source: source}
	c.timer = time.AfterFunc(HandleTime, func() { s.drop(id) })
	s.copies[id] = c
}

func (s *Server) drop(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.copies, id)
}

// at returns the running server at an address; nil if there is none.
func (p *Pool) at(address string) *Server {
	for _, s := range p.Servers() {
		s.mu.Lock()
		ended := s.ended
		s.mu.Unlock()
		if !ended && strings.EqualFold(s.address.String(), address) {
			return s
		}
	}
	return nil
}

// Results returns how many requests ran, and the runs that went on from a copy.
func (p *Pool) Results() (ran int, continued []Continuation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ran, slices.Clone(p.continued)
}

// SwitchedWithOldBackup returns a server that has run on the given weights for a moment, and has a
// run whose backup still has older ones; nil for none.
func (p *Pool) SwitchedWithOldBackup(version uint64) *Server {
	for _, s := range p.Servers() {
		s.mu.Lock()
		switched := s.version == version && time.Since(s.switchedAt) > 2*eventInterval
		var backups []*Server
		for _, r := range s.runs {
			backups = append(backups, r.backup)
		}
		s.mu.Unlock()
		for _, b := range backups {
			if !switched || b == nil {
				continue
			}
			b.mu.Lock()
			old := b.version < version && !b.loading
			b.mu.Unlock()
			if old {
				return s
			}
		}
	}
	return nil
}
