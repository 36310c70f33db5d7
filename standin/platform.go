package standin

import (
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/tables"
)

// datedList is a list and when it was true.
type datedList struct {
	list engine.PlatformList
	at   time.Time
}

// Platform is a stand-in for the platform's lagging list of live and leaving
// instances.
type Platform struct {
	lag    time.Duration
	server *server
	reads  atomic.Int64

	mu        sync.Mutex
	instances map[tables.EndpointID]engine.PlatformInstance
	history   []datedList
}

// StartPlatform starts a list that lags behind the truth.
func StartPlatform(address netip.AddrPort, lag time.Duration) (*Platform, error) {
	p := &Platform{lag: lag, instances: make(map[tables.EndpointID]engine.PlatformInstance)}
	p.history = []datedList{{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+engine.PathPlatform, p.serveList)
	server, err := newServer(address, mux)
	if err != nil {
		return nil, err
	}
	p.server = server
	return p, nil
}

// Address returns where the list is served.
func (p *Platform) Address() netip.AddrPort { return p.server.address }

// Close stops serving.
func (p *Platform) Close() { p.server.cut() }

// Reads counts how often the list was read.
func (p *Platform) Reads() int64 { return p.reads.Load() }

// Set adds an instance or changes what is said of it.
func (p *Platform) Set(instance engine.PlatformInstance) {
	p.change(func() { p.instances[instance.ID] = instance })
}

// Remove takes an instance off the list.
func (p *Platform) Remove(id tables.EndpointID) {
	p.change(func() { delete(p.instances, id) })
}

func (p *Platform) change(do func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	do()
	list := slices.Collect(maps.Values(p.instances))
	slices.SortFunc(list, func(a, b engine.PlatformInstance) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	p.history = append(p.history, datedList{list: engine.PlatformList{Instances: list}, at: time.Now()})
}

func (p *Platform) serveList(w http.ResponseWriter, _ *http.Request) {
	answerJSON(w, http.StatusOK, p.lagging(time.Now()))
	p.reads.Add(1)
}

func (p *Platform) lagging(now time.Time) engine.PlatformList {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.history) > 1 && now.Sub(p.history[1].at) >= p.lag {
		p.history = p.history[1:]
	}
	return p.history[0].list
}
