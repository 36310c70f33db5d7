//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a stand-in of a model server. It keeps no cache.
type engine struct {
	*server
	model    string
	version  int
	sequence int
	fence    uint64
	orders   []order
	ordersMu sync.Mutex
	events   int
	gap      time.Duration
	software string
	down     bool // has crashed
}

type order struct {
	At           time.Time
	Operation    string
	Model        string
	Version      int
	Strategy     string
	Holder       string
	FencingToken uint64 `json:"fencing_token"`
	Precondition *int
}

func (l *lab) newEngine(id string, host int, zone string) *engine {
	e := &engine{server: l.newServer(id, "llais", host, zone), model: "daka510000", version: 1, events: 5, gap: 20 * time.Millisecond, software: "v1"}
	e.slots = 48
	e.handle = e.stream
	return e
}

func (e *engine) start() error {
	if err := e.server.start(); err != nil {
		return err
	}
	inner := e.http.Handler
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", e.report)
	mux.HandleFunc("POST /order", e.order)
	mux.HandleFunc("GET /kv-events", e.kvEvents)
	mux.HandleFunc("GET /kv-list", e.kvList)
	mux.Handle("/", inner)
	e.http.Handler = mux
	return nil
}

func (e *engine) entry(state string) string {
	e.ordersMu.Lock()
	defer e.ordersMu.Unlock()
	return fmt.Sprintf(`{"service":%q,"address":"%s:%d","zone":%q,"version":%q,"slots":%d,"state":%q,"cold_remaining_ms":0,"stage":"colocated","models":[{"name":%q,"version":%d,"adapters":[]}],"id":%q,"born":%d}`,
		e.service, e.ip, portServer, e.zone, e.software, e.slots, state, e.model, e.version, e.id, e.born)
}

func (e *engine) report(w http.ResponseWriter, _ *http.Request) {
	e.ordersMu.Lock()
	defer e.ordersMu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"stage":"colocated","models":[{"name":%q,"version":%d,"adapters":[]}],"busy":false,"sequence":%d,"queued":0,"running":0,"kv_used":0,"kv_total":100079,"handles":0,"born":%d}`, e.model, e.version, e.sequence, e.born)
}

func (e *engine) order(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(400)
		return
	}
	e.ordersMu.Lock()
	defer e.ordersMu.Unlock()
	o.At = time.Now()
	e.orders = append(e.orders, o)
	e.lab.note("server %s gets the order version %d of %s with fence %d", e.id, o.Version, o.Holder, o.FencingToken)
	switch {
	case o.FencingToken < e.fence:
		w.WriteHeader(412)
	case o.Precondition != nil && *o.Precondition != e.sequence:
		w.WriteHeader(409)
	case o.Version == e.version:
		e.fence = o.FencingToken
	default:
		e.fence = o.FencingToken
		e.sequence++
		e.version = o.Version
		w.WriteHeader(202)
	}
}

func (e *engine) kvEvents(w http.ResponseWriter, r *http.Request) {
	time.Sleep(800 * time.Millisecond)
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"boot_epoch":%d,"born":%d,"next":0,"lost":false,"events":[]}`, e.born, e.born)
}

func (e *engine) kvList(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"boot_epoch":%d,"born":%d,"next":0,"held":[]}`, e.born, e.born)
}

func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Carawaystile-Weight-Versions", fmt.Sprint(e.version))
	flusher := w.(http.Flusher)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	total := e.events
	if strings.HasSuffix(r.URL.Path, "/short") {
		total = 2
	}
	for n := last + 1; n <= total; n++ {
		time.Sleep(e.gap)
		if _, err := io.WriteString(w, fmt.Sprintf("id: %d\ndata: %s\n\n", n, strings.Repeat("x", 20))); err != nil {
			return
		}
		flusher.Flush()
	}
}

// engineConfig is a desired state with a model service behind two routes.
func engineConfig(version int) map[string]any {
	c := plainConfig(version)
	c["routes"] = append(c["routes"].([]any),
		map[string]any{"name": "r-long", "host": "llais.example", "path_prefix": "/rule/", "kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 1000, "priority": 1, "service": "llais", "max_attempts": 1, "public": false, "sticky": true, "resumable": false, "target_gap_ms": 600},
		map[string]any{"name": "r-short", "host": "llais.example", "path_prefix": "/sum/", "kind": "streaming", "timeout_ms": 15000, "target_latency_ms": 800, "priority": 0, "service": "llais", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "target_gap_ms": 600})
	c["services"] = append(c["services"].([]any), map[string]any{"name": "llais", "health_path": "/healthz", "max_connections": 290, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 48, "kv_capacity_tokens": 100079, "kv_token_bytes": 163840, "link_mbps": 280000.0, "moves": true, "backups": true, "stride": 4, "max_concurrency": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "daka510000"}}}})
	return c
}
