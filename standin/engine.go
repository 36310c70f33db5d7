// Package standin holds small stand-ins for what the system talks to: model
// engines, plain services and the platform's list of instances. They listen on
// loopback only, fail on demand, and keep records of their own, so that tests
// and the demo can check promises without trusting the router.
package standin

import (
	"fmt"
	"maps"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/internal/defaults"
	"github.com/carawaystile/carawaystile/tables"
)

// PoisonMark in a prompt crashes every engine that runs the prompt.
const PoisonMark = "<<crash the engine>>"

// EngineOptions describe a stand-in engine. Durations are those of the engine
// that it stands for; Speedup shortens them.
type EngineOptions struct {
	ID tables.EndpointID
	// Address is a loopback address; unset means any free port of 127.0.0.1.
	Address netip.AddrPort
	// Weights are the models that the engine serves at start.
	Weights map[tables.ModelName]tables.WeightsVersion
	// Slots is how many attempts run at once, MaxQueue how many more may wait.
	Slots    int
	MaxQueue int
	// PrefillRate is in prompt tokens a second, DecodeRate in answer tokens a
	// second over all attempts. StepTime is what a step costs beside them.
	PrefillRate float64
	DecodeRate  float64
	StepTime    time.Duration
	CacheBlocks int
	// CacheKeep is how long an unused block stays at most; zero means until
	// its room is needed.
	CacheKeep time.Duration
	// EventDelay is how late cache events can be read; of every EventLoss
	// events one is lost, zero means none.
	EventDelay time.Duration
	EventLoss  int
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// LoadTime is how long new weights take.
	LoadTime    time.Duration
	ChecksFence bool
	// Downtime is how long the engine stays away after a poisoned prompt.
	Downtime time.Duration
	// Speedup divides every duration above and multiplies the rates; zero
	// means 1. A negative value makes all work instantaneous.
	Speedup float64
	// Owner reads from a prompt which organisation it belongs to.
	Owner func(prompt string) string
	// Records are shared by a group of engines; nil means own ones.
	Records *Records
}

// The defaults of EngineOptions.
const (
	DefaultSlots       = 8
	DefaultMaxQueue    = 64
	DefaultPrefillRate = 20_000
	DefaultDecodeRate  = 1_000
	DefaultStepTime    = 10 * time.Millisecond
	DefaultCacheBlocks = 64
)

func (o EngineOptions) withDefaults() EngineOptions {
	defaults.Set(&o.Slots, DefaultSlots)
	defaults.Set(&o.MaxQueue, DefaultMaxQueue)
	defaults.Set(&o.PrefillRate, DefaultPrefillRate)
	defaults.Set(&o.DecodeRate, DefaultDecodeRate)
	defaults.Set(&o.StepTime, DefaultStepTime)
	defaults.Set(&o.CacheBlocks, DefaultCacheBlocks)
	defaults.Set(&o.Speedup, 1)
	if o.Owner == nil {
		o.Owner = func(string) string { return "" }
	}
	if o.Records == nil {
		o.Records = NewRecords()
	}
	return o
}

// Engine is a stand-in for a model engine.
type Engine struct {
	options EngineOptions
	server  *server
	// slowdown is how many times slower than declared the engine runs.
	slowdown atomic.Int64
	hang     gate
	// lie changes load reports; nil means that they are true.
	lie atomic.Pointer[func(load *engine.Load)]

	mu      sync.Mutex
	boots   int
	life    *life
	closed  bool
	fence   tables.FencingToken
	weights map[tables.ModelName]tables.WeightsVersion
	// adapters are loaded on top of the models.
	adapters map[tables.ModelName][]tables.AdapterName
	role     string
	loading  int
}

// StartEngine starts an engine that listens on loopback.
func StartEngine(options EngineOptions) (*Engine, error) {
	options = options.withDefaults()
	e := &Engine{options: options, weights: maps.Clone(options.Weights), role: engine.RoleServe, adapters: make(map[tables.ModelName][]tables.AdapterName)}
	if e.weights == nil {
		e.weights = make(map[tables.ModelName]tables.WeightsVersion)
	}
	e.slowdown.Store(1)
	e.hang.init()
	e.begin()
	server, err := newServer(options.Address, e.routes())
	if err != nil {
		e.life.end()
		return nil, err
	}
	e.server = server
	return e, nil
}

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+engine.PathGenerate, e.serveGenerate)
	mux.HandleFunc("POST "+engine.PathCancel, e.serveCancel)
	mux.HandleFunc("GET "+engine.PathLoad, e.serveLoad)
	mux.HandleFunc("GET "+engine.PathCacheEvents, e.serveEvents)
	mux.HandleFunc("POST "+engine.PathOrders, e.serveOrder)
	mux.HandleFunc("GET "+engine.PathOrderState, e.serveOrderState)
	mux.HandleFunc("POST "+engine.PathCacheExport, e.serveExport)
	mux.HandleFunc("POST "+engine.PathCacheImport, e.serveImport)
	return e.hang.hold(mux)
}

// begin starts a new life with an empty cache.
func (e *Engine) begin() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boots++
	boot := tables.BootID(fmt.Sprintf("%s-%d-%x", e.options.ID, e.boots, time.Now().UnixNano()))
	e.life = newLife(e, boot)
	go e.life.run()
}

func (e *Engine) current() *life {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

// Address returns where the engine listens, also while it is away.
func (e *Engine) Address() netip.AddrPort { return e.server.address }

// ID returns the engine's name.
func (e *Engine) ID() tables.EndpointID { return e.options.ID }

// Boot returns the identity of the engine's present life.
func (e *Engine) Boot() tables.BootID { return e.current().boot }

// Busy counts the attempts that are queued or running, without a lag.
func (e *Engine) Busy() int { return e.current().busy() }

// Records returns the records that the engine writes to.
func (e *Engine) Records() *Records { return e.options.Records }

// Crash cuts every connection and loses the cache. The engine refuses
// connections until Restart.
func (e *Engine) Crash() {
	e.options.Records.update(func(t *Totals) { t.Crashes++ })
	e.current().end()
	e.server.cut()
}

// Restart brings a crashed engine back, empty, under the same address and with
// a new boot identity.
func (e *Engine) Restart() error {
	e.mu.Lock()
	closed := e.closed
	e.mu.Unlock()
	if closed {
		return nil
	}
	e.begin()
	return e.server.up()
}

// crashAndReturn is what a poisoned prompt does.
func (e *Engine) crashAndReturn() {
	e.Crash()
	time.Sleep(e.scaled(e.options.Downtime))
	_ = e.Restart()
}

// Hang stops the engine without closing anything, until Resume.
func (e *Engine) Hang() { e.hang.shut() }

// Resume ends Hang and HalfOpen.
func (e *Engine) Resume() {
	e.server.swallowing.Store(false)
	e.hang.open()
}

// HalfOpen keeps connections up, drops what arrives and sends nothing, until
// Resume.
func (e *Engine) HalfOpen() { e.server.swallowing.Store(true) }

// Refuse closes the engine's port to new connections, until Accept.
func (e *Engine) Refuse() { e.server.refuse() }

// Accept ends Refuse.
func (e *Engine) Accept() error { return e.server.up() }

// Lie has every load report changed before it is sent; nil ends it.
func (e *Engine) Lie(change func(load *engine.Load)) {
	if change == nil {
		e.lie.Store(nil)
		return
	}
	e.lie.Store(&change)
}

// Slow makes the engine run so many times slower than declared; 1 ends it.
func (e *Engine) Slow(times int) { e.slowdown.Store(int64(max(times, 1))) }

// Close ends the engine for good.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.Resume()
	e.current().end()
	e.server.cut()
}

// scaled turns a duration of the real engine into one of the stand-in.
func (e *Engine) scaled(d time.Duration) time.Duration {
	if e.options.Speedup < 0 {
		return 0
	}
	return time.Duration(float64(d) / e.options.Speedup * float64(e.slowdown.Load()))
}
