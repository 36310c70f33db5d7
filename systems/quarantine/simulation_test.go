package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// fleet simulates instances and endpoints in virtual time. The
// callers of poison requests send them again through the next instance.
type fleet struct {
	rand      *rand.Rand
	now       tables.Instant
	instances []*Detector
	// startedAt are the times at which the instances started.
	startedAt []tables.Instant
	endpoints []*fakeEndpoint
	requests  []*fakeRequest
	messages  []message
	attempts  int
	crashes   int
	affected  int
	rejected  map[bool]int
	completed int
	// poisonStarts are the times at which poison requests were dispatched by instances that had
	// run for noticeTime, crashTimes those of
	// crashes, and rejections those at which innocent requests were rejected.
	poisonStarts, crashTimes, rejections []tables.Instant
	// isLost decides which reports are lost; nil for none.
	isLost func(from, to int) bool
}

// fakeEndpoint is a simulated endpoint with the requests that it runs. It is down
// until downAt after a crash.
type fakeEndpoint struct {
	id   tables.EndpointID
	boot int
	// bootUnknown is set if the instances know the endpoint by its ID alone.
	bootUnknown bool
	downAt      tables.Instant
	runs        []*fakeRequest
}

func (e *fakeEndpoint) incarnation() Incarnation {
	if e.bootUnknown {
		return Incarnation{Endpoint: e.id}
	}
	return Incarnation{Endpoint: e.id, Boot: tables.BootID(fmt.Sprint(e.boot))}
}

// fakeRequest is a simulated request. A poison request crashes its endpoint after
// duration, others complete after it.
type fakeRequest struct {
	work         Work
	isPoison     bool
	instance     int
	resends      int
	attempt      tables.AttemptID
	endpoint     *fakeEndpoint
	started      tables.Instant
	duration     time.Duration
	answerTokens int
	notBefore    tables.Instant
	ended        bool
	// maxAttempts bounds the attempts; zero for no limit.
	attempts, maxAttempts int
}

// message is a report on its way to another instance.
type message struct {
	to      int
	due     tables.Instant
	suspect Suspect
}

const (
	step         = 10 * time.Millisecond
	gossipDelay  = 50 * time.Millisecond
	firstToken   = 200 * time.Millisecond
	restartDelay = 3 * time.Second
	resendDelay  = 300 * time.Millisecond
	tokenTime    = 30 * time.Millisecond
	slots        = 8
)

// newFleet returns a fleet with three instances and the given number of endpoints.
func newFleet(seed uint64, endpoints int) *fleet { return newFleetOf(seed, 3, endpoints) }

// newFleetOf returns a fleet with the given numbers of instances and endpoints.
func newFleetOf(seed uint64, instances, endpoints int) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 1)), rejected: map[bool]int{}, instances: make([]*Detector, instances), startedAt: make([]tables.Instant, instances)}
	for i := range f.instances {
		f.startInstance(i)
	}
	for i := range endpoints {
		f.endpoints = append(f.endpoints, &fakeEndpoint{id: tables.EndpointID(fmt.Sprint("e", i))})
	}
	return f
}

// startInstance starts an instance that knows nothing.
func (f *fleet) startInstance(i int) {
	f.instances[i] = New(Options{})
	f.instances[i].SetRank(i, len(f.instances))
	f.startedAt[i] = f.now
}

// run simulates the time d with the given rate of innocent requests per second.
func (f *fleet) run(d time.Duration, innocent float64) {
	for end := f.now + d; f.now < end; f.now += step {
		if f.rand.Float64() < innocent*step.Seconds() {
			f.submit(&fakeRequest{
				work: Work{Request: tables.Fingerprint(f.rand.Uint64() | 1)}, instance: f.rand.IntN(len(f.instances)),
				duration: 500*time.Millisecond + time.Duration(f.rand.Int64N(int64(6*time.Second))),
			})
		}
		f.tick()
	}
}

// tick delivers reports and moves the requests on by one step.
func (f *fleet) tick() {
	f.deliver()
	open := f.requests[:0]
	for _, r := range f.requests {
		if f.advance(r); !r.ended {
			open = append(open, r)
		}
	}
	f.requests = open
}

func (f *fleet) submit(r *fakeRequest) { f.requests = append(f.requests, r) }

// submitPoison submits a request that crashes its endpoints. Its caller gives up
// after six rejections.
func (f *fleet) submitPoison(fingerprint tables.Fingerprint, instance int) {
	f.submit(&fakeRequest{
		work: Work{Request: fingerprint}, isPoison: true, instance: instance, resends: 6,
		duration: 30*time.Millisecond + time.Duration(f.rand.Int64N(int64(300*time.Millisecond))),
	})
}

// deliver hands over the reports that are due.
func (f *fleet) deliver() {
	var kept []message
	arrived := f.messages
	f.messages = nil
	for _, m := range arrived {
		if m.due > f.now {
			kept = append(kept, m)
			continue
		}
		m.suspect.Age += gossipDelay
		f.send(m.to, f.instances[m.to].Merge(f.now, m.suspect))
	}
	f.messages = append(f.messages, kept...)
}

// advance moves a request on by one step.
func (f *fleet) advance(r *fakeRequest) {
	switch {
	case r.ended || f.now < r.notBefore:
	case r.endpoint == nil:
		f.place(r)
	case f.now-r.started >= r.duration && r.isPoison:
		f.crash(r.endpoint)
	case f.now-r.started >= r.duration:
		f.removeFromEndpoint(r)
		f.send(r.instance, f.instances[r.instance].Completed(f.now, r.attempt))
		r.ended = true
		f.completed++
	case f.now-r.started >= firstToken && (f.now-r.started-firstToken)%tokenTime == 0:
		tokens := int((f.now - r.started - firstToken) / tokenTime)
		f.send(r.instance, f.instances[r.instance].Progressed(f.now, r.attempt, tokens))
	}
}

// place dispatches a request to the least loaded endpoint that its verdict admits.
// A rejected request is sent again through the next instance.
func (f *fleet) place(r *fakeRequest) {
	d := f.instances[r.instance]
	verdict := d.Verdict(f.now, r.work)
	if verdict == Defer {
		return
	}
	if verdict == Reject {
		f.rejected[r.isPoison]++
		if !r.isPoison {
			f.rejections = append(f.rejections, f.now)
		}
		if r.resends--; r.resends <= 0 {
			r.ended = true
			return
		}
		r.instance = (r.instance + 1) % len(f.instances)
		r.notBefore = f.now + resendDelay
		return
	}
	best := f.leastLoaded(d, verdict)
	if best == nil {
		best = f.leastLoaded(d, verdict.WithoutOwnership())
	}
	if best == nil {
		return
	}
	r.attempts++
	if r.isPoison && (f.startedAt[r.instance] == 0 || f.now-f.startedAt[r.instance] > noticeTime) {
		f.poisonStarts = append(f.poisonStarts, f.now)
	}
	f.attempts++
	r.attempt = tables.AttemptID(fmt.Sprint(f.attempts))
	r.endpoint, r.started = best, f.now
	best.runs = append(best.runs, r)
	d.Started(f.now, r.attempt, best.incarnation(), r.work)
}

// leastLoaded returns the endpoint with the fewest requests that admits the
// verdict, nil if there is none.
func (f *fleet) leastLoaded(d *Detector, v Verdict) *fakeEndpoint {
	var best *fakeEndpoint
	for _, e := range f.endpoints {
		if f.now < e.downAt || len(e.runs) >= slots || !d.Admits(f.now, e.id, v) {
			continue
		}
		if best == nil || len(e.runs) < len(best.runs) {
			best = e
		}
	}
	return best
}

// removeFromEndpoint takes a request off its endpoint.
func (f *fleet) removeFromEndpoint(r *fakeRequest) {
	kept := r.endpoint.runs[:0]
	for _, other := range r.endpoint.runs {
		if other != r {
			kept = append(kept, other)
		}
	}
	r.endpoint.runs = kept
	r.endpoint = nil
}

// crash restarts an endpoint, interrupts its requests and sends the reports of all
// instances.
func (f *fleet) crash(e *fakeEndpoint) {
	f.crashes++
	f.crashTimes = append(f.crashTimes, f.now)
	incarnation := e.incarnation()
	e.boot++
	e.downAt = f.now + restartDelay
	f.affected += len(e.runs)
	for _, r := range append([]*fakeRequest(nil), e.runs...) {
		f.removeFromEndpoint(r)
		tokens := max(0, int((f.now-r.started-firstToken)/tokenTime))
		r.answerTokens += tokens
		f.instances[r.instance].Interrupted(f.now, r.attempt, tokens, r.answerTokens)
		r.notBefore = f.now + 5*time.Millisecond
		r.ended = r.maxAttempts > 0 && r.attempts >= r.maxAttempts
	}
	for from, d := range f.instances {
		f.send(from, d.Crashed(f.now, incarnation))
	}
}

// send sends the reports of an instance to the others.
func (f *fleet) send(from int, reports []Suspect) {
	for _, report := range reports {
		for to := range f.instances {
			if to != from && (f.isLost == nil || !f.isLost(from, to)) {
				f.messages = append(f.messages, message{to: to, due: f.now + gossipDelay, suspect: report})
			}
		}
	}
}

// A poison request crashes each endpoint that runs it, and its caller sends it
// again through all instances. It must be rejected after few crashes, and no
// innocent request may be rejected.
func TestPoisonRequestIsRejected(t *testing.T) {
	for _, c := range []struct {
		name      string
		endpoints int
		poisons   int
		rate      float64
		// maxCrashes is the largest number of endpoint crashes allowed.
		maxCrashes int
	}{
		{"one poison request, small idle fleet", 9, 1, 1, 2},
		{"one poison request, small busy fleet", 9, 1, 12, 2},
		{"one poison request, larger busy fleet", 18, 1, 25, 2},
		{"two poison requests, small fleet", 9, 2, 12, 8},
		{"two poison requests, larger fleet", 18, 2, 25, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			worst, total := 0, 0
			const seeds = 50
			for seed := range uint64(seeds) {
				f := newFleet(seed, c.endpoints)
				f.run(10*time.Second, c.rate)
				for p := range c.poisons {
					f.submitPoison(tables.Fingerprint(2*p+2), int(seed+uint64(p))%3)
				}
				f.run(30*time.Second, c.rate)
				worst, total = max(worst, f.crashes), total+f.crashes
				assert.Equal(t, f.rejected[false], 0, "seed %d: innocent requests rejected", seed)
				assert.Assert(t, f.crashes <= c.maxCrashes, "seed %d: %d endpoints crashed", seed, f.crashes)
				assert.Assert(t, f.rejected[true] > 0, "seed %d: poison request never rejected", seed)
			}
			assert.Assert(t, total <= seeds*c.poisons*13/4, "%d endpoints crashed over %d seeds", total, seeds)
			t.Logf("endpoints crashed: worst %d, mean %.2f over %d seeds", worst, float64(total)/seeds, seeds)
		})
	}
}

// Endpoints crash for causes other than requests, several per minute, and a rack of
// six fails within a second. At most 1% of the requests that are hit may be
// rejected: an innocent request that meets two crashes at the same point cannot be
// told from a poison request.
func TestUnrelatedCrashesRarelyConvict(t *testing.T) {
	rejected, affected := 0, 0
	for seed := range uint64(50) {
		f := newFleet(seed, 18)
		f.run(5*time.Second, 25)
		for range 4 {
			f.crash(f.endpoints[f.rand.IntN(len(f.endpoints))])
			f.run(4*time.Second, 25)
		}
		for i := range 6 {
			f.crash(f.endpoints[i])
			f.run(100*time.Millisecond, 25)
		}
		f.run(20*time.Second, 25)
		rejected, affected = rejected+f.rejected[false], affected+f.affected
	}
	t.Logf("rejected %d of %d requests hit by a crash", rejected, affected)
	assert.Assert(t, rejected*100 <= affected, "rejected %d of %d requests", rejected, affected)
}

// Guards against state that grows without bound or outlives its retention time, and
// against a wrong sequence of verdicts as the evidence grows.
func TestStateIsBoundedAndExpires(t *testing.T) {
	d := New(Options{MaxIncidents: 3, MaxConvictions: 2})
	now := tables.Instant(0)
	recordCrash := func(endpoint string, f tables.Fingerprint) {
		id := tables.AttemptID(fmt.Sprint(endpoint, f))
		incarnation := Incarnation{Endpoint: tables.EndpointID(endpoint), Boot: "1"}
		d.Started(now, id, incarnation, Work{Request: f})
		d.Interrupted(now, id, 0, 0)
		d.Crashed(now, incarnation)
	}
	recordCrash("a", 1)
	assert.Equal(t, d.Verdict(now, Work{Request: 1}), AvoidSuspectsOwned)
	now += DefaultOwnershipWindow
	assert.Equal(t, d.Verdict(now, Work{Request: 1}), AvoidSuspects)
	recordCrash("b", 1)
	assert.Equal(t, d.Verdict(now, Work{Request: 1}), Defer)
	now += DefaultSettleDelay
	assert.Equal(t, d.Verdict(now, Work{Request: 1}), Reject)
	assert.Equal(t, d.Verdict(now, Work{Request: 2}), Allow)

	for i := range 10 {
		recordCrash(fmt.Sprint("c", i), tables.Fingerprint(100+i))
		d.Merge(now, Suspect{Fingerprint: tables.Fingerprint(200 + i), Convicted: true})
	}
	assert.Equal(t, len(d.incidents), 3)
	assert.Equal(t, len(d.evidence), 3)
	assert.Equal(t, len(d.convicted), 2)

	now += DefaultRetention + 1
	assert.Equal(t, d.Verdict(now, Work{Request: 209}), Allow)
	assert.Assert(t, d.Empty())
	assert.Equal(t, len(d.evidence), 0)
}

// A report of an old crash arrives after the request has completed elsewhere. It
// must not make the request a suspect again.
func TestLateReportDoesNotReviveClearedRequest(t *testing.T) {
	d := New(Options{})
	incarnation := Incarnation{Endpoint: "a", Boot: "1"}
	report := Suspect{Fingerprint: 7, Incarnation: incarnation, CrashPoint: CrashPoint{Likely: true}}
	d.Merge(1, report)
	assert.Equal(t, d.Verdict(1, Work{Request: 7}), AvoidSuspectsOwned)
	d.Started(1, "x", Incarnation{Endpoint: "b", Boot: "1"}, Work{Request: 7})
	d.Completed(1, "x")
	d.Merge(2, report)
	assert.Equal(t, d.Verdict(2, Work{Request: 7}), Allow)
}
