package soak

import (
	"fmt"
	"math"
	"net/netip"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/platform/platformtest"
	"github.com/carawaystile/carawaystile/tables"
)

// request is one request with all that callers and endpoints saw of it.
type request struct {
	platformtest.ClientRequest
	kind  *kind
	entry *instance
	// life is that of the entry's process when the request was sent, and lifeEnd
	// when it had ended.
	life, lifeEnd int
	sent, done    time.Time
	// connected is set if the caller had a connection, and written when it had sent the last byte.
	connected bool
	written   time.Time
	// badPart is the part of the prompt that crashes endpoints; empty for none.
	badPart string
	// cancelled is set where the caller left early.
	cancelled bool
	result    platformtest.Result
	runs      []platformtest.Run
	// arrivals are those at endpoints, also at processes that it was not meant for.
	arrivals []platformtest.Arrival
}

// document is a configuration that an operator has sent.
type document struct {
	number  uint64
	content []byte
	sent    time.Time
	// acked is zero while nobody has acknowledged it.
	acked   time.Time
	invalid bool
}

// ledger keeps what callers, operators and endpoints see. It is safe for
// concurrent use.
type ledger struct {
	// timed is set if times are judged, limited if there is a rate limit, and capacity if the
	// capacity decisions are enabled.
	timed    bool
	limited  bool
	capacity bool
	// stalled is the longest time for which the machine kept this process from running.
	stalled   time.Duration
	mu        sync.Mutex
	requests  map[string]*request
	documents map[uint64]*document
	// weights and weightsAcked are the newest version named and acknowledged.
	weights, weightsAcked uint64
	orders                []platformtest.Order
	disruptions           []disruption
	terms                 []term
	exits                 []exit
	spans                 []limitSpan
	breaches              []Breach
}

// disruption is a time in which something was wrong on purpose.
type disruption struct {
	what     string
	planned  bool
	outside  bool
	control  bool
	from, to time.Time
	// strikes says whether it pauses an entry instance, or disturbs its links to callers or
	// endpoints; nil for none.
	strikes func(entry *instance) bool
	// links says which links it disturbs; nil for none.
	links func(from, to netip.Addr) bool
	// The instances that it kills, pauses or restarts.
	killed            []*instance
	paused, restarted *instance
}

// exit is the end of an endpoint's process.
type exit struct {
	endpoint tables.EndpointID
	at       time.Time
}

// term is a signal to end an instance; again is set if it has got one before.
type term struct {
	entry *instance
	at    time.Time
	again bool
}

// told notes a signal to end an instance.
func (l *ledger) told(entry *instance, again bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.terms = append(l.terms, term{entry: entry, at: time.Now(), again: again})
}

// exited notes the end of an endpoint's process.
func (l *ledger) exited(endpoint tables.EndpointID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.exits = append(l.exits, exit{endpoint: endpoint, at: time.Now()})
}

// Breach is a broken promise.
type Breach struct {
	// Promise is a short name of what was promised.
	Promise string
	// Request is the identity of the request that shows it; empty for none.
	Request string
	Text    string
}

func (b Breach) String() string {
	if b.Request == "" {
		return b.Promise + ": " + b.Text
	}
	return b.Promise + ": request " + b.Request + " " + b.Text
}

func newLedger() *ledger {
	return &ledger{requests: map[string]*request{}, documents: map[uint64]*document{}, weights: 1, weightsAcked: 1}
}

func (l *ledger) breach(promise, request, format string, values ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breachLocked(promise, request, format, values...)
}

func (l *ledger) breachLocked(promise, request, format string, values ...any) {
	l.breaches = append(l.breaches, Breach{Promise: promise, Request: request, Text: fmt.Sprintf(format, values...)})
}

func (l *ledger) sending(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests[r.ID] = r
}

func (l *ledger) ended(r *request, result platformtest.Result, sending *sendTrace, cancelled bool) {
	life, _ := r.entry.Life()
	l.mu.Lock()
	defer l.mu.Unlock()
	r.result, r.cancelled, r.done, r.lifeEnd = result, cancelled, time.Now(), life
	r.connected, r.written = sending.observed()
}

// began notes that an endpoint began to work on a request.
func (l *ledger) began(run platformtest.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[run.Request]
	if r == nil {
		l.breachLocked("nothing unasked", run.Request, "runs at %s, but no caller sent it", run.Endpoint)
		return
	}
	r.runs = append(r.runs, run)
}

// arrived notes that a request reached an endpoint.
func (l *ledger) arrived(a platformtest.Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.requests[a.Request]; r != nil {
		r.arrivals = append(r.arrivals, a)
	}
}

func (l *ledger) ordered(o platformtest.Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orders = append(l.orders, o)
}

func (l *ledger) sendingDocument(d *document) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.documents[d.number] = d
}

func (l *ledger) ackedDocument(d *document) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d.acked = time.Now()
}

// newestAcked is the highest number that is acknowledged; zero for none.
func (l *ledger) newestAcked() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var newest uint64
	for number, d := range l.documents {
		if !d.acked.IsZero() {
			newest = max(newest, number)
		}
	}
	return newest
}

// read notes what a control instance gave as the newest configuration, where
// acked was acknowledged before it was asked.
func (l *ledger) read(from string, acked, number uint64, content []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent := l.documents[number]
	switch {
	case number < acked:
		l.breachLocked("no older configuration is read", "", "%s gave %d after %d was acknowledged", from, number, acked)
	case sent == nil:
		l.breachLocked("configurations are those sent", "", "%s gave %d, which nobody sent", from, number)
	case sent.invalid:
		l.breachLocked("nothing invalid is in force", "", "%s gave the invalid %d", from, number)
	case string(sent.content) != string(content):
		l.breachLocked("configurations are those sent", "", "%s gave other content under %d", from, number)
	}
}

func (l *ledger) newestWeights() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.weights
}

func (l *ledger) nameWeights() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.weights++
	return l.weights
}

func (l *ledger) ackedWeights(version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.weightsAcked = max(l.weightsAcked, version)
}

// disrupt notes a disruption and returns its number; the returned function notes its end.
func (l *ledger) disrupt(k faultKind) (n int, over func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n = len(l.disruptions)
	l.disruptions = append(l.disruptions, disruption{what: k.name, planned: k.planned, outside: k.outside, control: k.control, from: time.Now()})
	return n, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.disruptions[n].to = time.Now()
	}
}

// struck has note write down what a disruption strikes.
func (l *ledger) struck(n int, note func(d *disruption)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	note(&l.disruptions[n])
}

// calm is for how long nothing unplanned has been wrong with the system itself;
// zero while something is.
func (l *ledger) calm() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	calm := time.Duration(math.MaxInt64)
	for _, d := range l.disruptions {
		switch {
		case d.planned || d.outside:
		case d.to.IsZero():
			return 0
		default:
			calm = min(calm, time.Since(d.to))
		}
	}
	return calm
}
