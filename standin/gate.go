package standin

import (
	"net/http"
	"sync"
)

// gate lets work pass or makes it wait.
type gate struct {
	mu sync.Mutex
	// passage is closed while the gate is open.
	passage chan struct{}
}

func (g *gate) init() {
	g.passage = make(chan struct{})
	close(g.passage)
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.passage:
		g.passage = make(chan struct{})
	default:
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.passage:
	default:
		close(g.passage)
	}
}

// opened returns a channel that is closed while the gate is open.
func (g *gate) opened() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.passage
}

// hold makes requests wait for the gate.
func (g *gate) hold(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-g.opened():
			next.ServeHTTP(w, r)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	})
}
