package standin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/internal/defaults"
	"github.com/carawaystile/carawaystile/tables"
)

// ServiceOptions describe a stand-in for a plain service.
type ServiceOptions struct {
	ID tables.EndpointID
	// Address is a loopback address; unset means any free port of 127.0.0.1.
	Address netip.AddrPort
	// CallTime is how long a call takes, divided by Speedup if that is set.
	CallTime time.Duration
	Speedup  float64
	// Slots bounds the calls that run at once; more are declined.
	Slots int
	// AnswerLoss cuts the connection in place of every so manieth answer,
	// after the call ran; zero means never.
	AnswerLoss int
	// Downtime is how long the service stays away after a poisoned call.
	Downtime time.Duration
	// Records are shared by a group of services; nil means own ones.
	Records *ServiceRecords
}

// DefaultServiceSlots is how many calls a stand-in service runs at once.
const DefaultServiceSlots = 64

// Execution is one run of a call.
type Execution struct {
	Endpoint tables.EndpointID
	Boot     tables.BootID
	Attempt  tables.AttemptID
	Call     string
	Key      string
	// Work identifies the call and its body.
	Work uint64
}

// ServiceRecords count executions over a group of stand-in services.
type ServiceRecords struct {
	mu         sync.Mutex
	executions []Execution
	declined   int
}

// Executions returns every run in the order in which they began.
func (r *ServiceRecords) Executions() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Execution(nil), r.executions...)
}

// Declined returns how many calls were declined before they ran.
func (r *ServiceRecords) Declined() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.declined
}

// DuplicateKeys returns the keys that ran more than once, with their number of
// runs. Keys are told apart by the work they came with, because two
// organisations may use the same key.
func (r *ServiceRecords) DuplicateKeys() map[string]int {
	type keyedWork struct {
		key  string
		work uint64
	}
	runs := make(map[keyedWork]int)
	for _, execution := range r.Executions() {
		if execution.Key != "" {
			runs[keyedWork{execution.Key, execution.Work}]++
		}
	}
	duplicates := make(map[string]int)
	for what, n := range runs {
		if n > 1 {
			duplicates[what.key] = n
		}
	}
	return duplicates
}

// DuplicateAttempts counts attempts that ran more than once; net/http or a
// proxy repeating a request would show here.
func (r *ServiceRecords) DuplicateAttempts() int {
	runs := make(map[tables.AttemptID]int)
	duplicates := 0
	for _, execution := range r.Executions() {
		runs[execution.Attempt]++
		if runs[execution.Attempt] > 1 {
			duplicates++
		}
	}
	return duplicates
}

// Service is a stand-in for a plain service.
type Service struct {
	options ServiceOptions
	server  *server
	hang    gate
	boots   atomic.Int64
	slots   chan struct{}
	answers atomic.Int64
	// loses is asked before each answer whether it gets lost; nil means by
	// ServiceOptions.AnswerLoss alone.
	loses atomic.Pointer[func() bool]
}

// StartService starts a service that listens on loopback.
func StartService(options ServiceOptions) (*Service, error) {
	defaults.Set(&options.Slots, DefaultServiceSlots)
	defaults.Set(&options.Speedup, 1)
	if options.Records == nil {
		options.Records = &ServiceRecords{}
	}
	s := &Service{options: options, slots: make(chan struct{}, options.Slots)}
	s.hang.init()
	s.boots.Store(1)
	mux := http.NewServeMux()
	mux.HandleFunc(engine.PathCall+"{call...}", s.serveCall)
	mux.HandleFunc("GET "+engine.PathLoad, s.serveLoad)
	server, err := newServer(options.Address, s.hang.hold(mux))
	if err != nil {
		return nil, err
	}
	s.server = server
	return s, nil
}

// Address returns where the service listens, also while it is away.
func (s *Service) Address() netip.AddrPort { return s.server.address }

// ID returns the service's name.
func (s *Service) ID() tables.EndpointID { return s.options.ID }

// Boot returns the identity of the service's present life.
func (s *Service) Boot() tables.BootID {
	return tables.BootID(fmt.Sprintf("%s-%d", s.options.ID, s.boots.Load()))
}

// Records returns the records that the service writes to.
func (s *Service) Records() *ServiceRecords { return s.options.Records }

// Crash cuts every connection; what runs may still complete unseen. The
// service refuses connections until Restart.
func (s *Service) Crash() { s.server.cut() }

// Restart brings a crashed service back with a new boot identity.
func (s *Service) Restart() error {
	s.boots.Add(1)
	return s.server.up()
}

// Hang stops answering without closing anything, until Resume.
func (s *Service) Hang() { s.hang.shut() }

// Resume ends Hang.
func (s *Service) Resume() { s.hang.open() }

// LoseAnswers has the connection cut in place of each answer for which decide
// reports true.
func (s *Service) LoseAnswers(decide func() bool) { s.loses.Store(&decide) }

func (s *Service) losesAnswer() bool {
	n, every := s.answers.Add(1), int64(s.options.AnswerLoss)
	if every > 0 && n%every == 0 {
		return true
	}
	decide := s.loses.Load()
	return decide != nil && (*decide)()
}

// Close ends the service for good.
func (s *Service) Close() {
	s.Resume()
	s.server.cut()
}

func (s *Service) serveLoad(w http.ResponseWriter, r *http.Request) {
	serveLoads(w, r, loadSource{hang: &s.hang, report: func() engine.Load {
		return engine.Load{Boot: s.Boot(), Running: len(s.slots)}
	}})
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	attempt := tables.AttemptID(r.Header.Get(engine.HeaderAttempt))
	w.Header().Set(engine.HeaderAttempt, string(attempt))
	w.Header().Set(engine.HeaderBoot, string(s.Boot()))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if err != nil {
		answerJSON(w, http.StatusBadRequest, engine.Rejection{Attempt: attempt, NotStarted: true, Reason: "incomplete body"})
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		s.decline(w, attempt)
		return
	}
	s.execute(w, r, attempt, body)
}

func (s *Service) decline(w http.ResponseWriter, attempt tables.AttemptID) {
	s.options.Records.mu.Lock()
	s.options.Records.declined++
	s.options.Records.mu.Unlock()
	answerJSON(w, http.StatusServiceUnavailable, engine.Rejection{Attempt: attempt, NotStarted: true, Reason: "all slots busy"})
}

func (s *Service) execute(w http.ResponseWriter, r *http.Request, attempt tables.AttemptID, body []byte) {
	call := r.PathValue("call")
	s.options.Records.mu.Lock()
	s.options.Records.executions = append(s.options.Records.executions, Execution{
		Endpoint: s.options.ID, Boot: s.Boot(), Attempt: attempt, Call: call,
		Key: r.Header.Get(engine.HeaderIdempotencyKey), Work: ServiceWork(call, body),
	})
	s.options.Records.mu.Unlock()
	if bytes.Contains(body, []byte(PoisonMark)) {
		go s.crashAndReturn()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(time.Duration(float64(s.options.CallTime) / s.options.Speedup))
	if s.losesAnswer() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/plain")
	_, _ = io.WriteString(w, ServiceAnswer(call, body))
}

func (s *Service) crashAndReturn() {
	s.Crash()
	time.Sleep(time.Duration(float64(s.options.Downtime) / s.options.Speedup))
	_ = s.Restart()
}

// ServiceWork identifies a call and its body in the records.
func ServiceWork(call string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(strings.TrimSpace(call))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// ServiceAnswer is what every stand-in service answers to a call, so that a
// crossed answer can be recognised.
func ServiceAnswer(call string, body []byte) string {
	return fmt.Sprintf("%s done for %016x", call, ServiceWork(call, body))
}
