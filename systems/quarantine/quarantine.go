// Package quarantine finds the requests that crash the endpoints they run at.
// Without it one such request, retried and sent again by its caller, would take
// down one endpoint after another.
//
// Every crash of one life of an endpoint is an incident; the requests that were
// running there are its candidates. A request that is a candidate of two
// incidents, alone or as the only one of its company, is convicted and refused
// until the conviction is forgotten. Candidates that could be the cause are
// kept apart from each other meanwhile, so that the second crash points at one
// of them; a candidate that completes is cleared.
//
// The package is a pure state machine: it has no clock, goroutine or socket.
// One goroutine uses a System.
package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/tables"
)

// Verdict says how a request may run.
type Verdict uint8

// The verdicts, from the mildest on.
const (
	// Allow: anywhere.
	Allow Verdict = iota
	// Apart: at no endpoint that runs another suspect.
	Apart
	// ApartOwn: as Apart, and only at endpoints that fall to this instance. It
	// lasts for Options.Own; without it two instances that retry at the same
	// moment could bring two suspects together again, and the next crash would
	// not tell which is to blame.
	ApartOwn
	// Alone: at an endpoint that runs nothing else of this instance.
	Alone
	// AloneOwn: as Alone, and only at endpoints that fall to this instance.
	// Without it suspects of several instances would meet at the endpoint that
	// has just come back and is empty.
	AloneOwn
	// Hold: not yet; whether it is convicted is known within Options.Settle.
	Hold
	// Refuse: not at all until the conviction is forgotten.
	Refuse
)

// Relaxed is what a verdict comes down to when no endpoint is to be had under
// it: an instance may own no endpoint that is up, and a request must not wait
// for one.
func (v Verdict) Relaxed() Verdict {
	if v == ApartOwn {
		return Apart
	}
	return v
}

// Options bound a System. Zero fields take the defaults.
type Options struct {
	// Young is how long after its first token a request counts as a likely
	// cause of a crash. Older ones are candidates too, but run on without
	// restriction after their first incident.
	Young time.Duration
	// Settle is how long an incident waits for what other instances know of it
	// before anyone is convicted by it.
	Settle time.Duration
	// Own is how long after an incident its candidates run only at endpoints
	// that fall to their instance.
	Own time.Duration
	// Outlive is how much longer than before a suspect must have run to be no
	// danger to others.
	Outlive time.Duration
	// Forget is how long an incident, and a conviction, is remembered.
	Forget time.Duration
	// Burst is the time within which several crashes look like a failure of
	// something that the endpoints share; see needed.
	Burst time.Duration
	// Lag is how long an attempt that broke off is still a candidate when its
	// endpoint turns out to have crashed.
	Lag time.Duration
	// Incidents, Candidates and Convicted bound what is remembered: incidents,
	// candidates of one incident, and convictions. The oldest go first.
	Incidents  int
	Candidates int
	Convicted  int
}

// The defaults of Options.
const (
	DefaultYoung      = 5 * time.Second
	DefaultSettle     = 500 * time.Millisecond
	DefaultOwn        = 5 * time.Second
	DefaultOutlive    = 1500 * time.Millisecond
	DefaultForget     = 10 * time.Minute
	DefaultLag        = 2 * time.Second
	DefaultBurst      = 2 * time.Second
	DefaultIncidents  = 64
	DefaultCandidates = 256
	DefaultConvicted  = 1024
)

func (o Options) withDefaults() Options {
	setDefault(&o.Young, DefaultYoung)
	setDefault(&o.Settle, DefaultSettle)
	setDefault(&o.Own, DefaultOwn)
	setDefault(&o.Outlive, DefaultOutlive)
	setDefault(&o.Forget, DefaultForget)
	setDefault(&o.Lag, DefaultLag)
	setDefault(&o.Burst, DefaultBurst)
	setDefault(&o.Incidents, DefaultIncidents)
	setDefault(&o.Candidates, DefaultCandidates)
	setDefault(&o.Convicted, DefaultConvicted)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Life is one life of an endpoint; it crashes at most once.
type Life struct {
	Endpoint tables.EndpointID
	Boot     tables.BootID
}

// Suspect is what one instance tells the others: that a request was running
// when an endpoint crashed, or that it is convicted. Ages stand in place of
// instants, because clocks of two instances cannot be compared.
type Suspect struct {
	Fingerprint tables.Fingerprint
	// Life is the incident; it is empty for a conviction.
	Life Life
	Mark Mark
	// Convicted is set in place of Life.
	Convicted bool
	Age       time.Duration
}

// Mark is how far an attempt had come when its endpoint crashed. The same
// request crashes endpoints at the same point each time; one that is merely
// there when they crash is at any point.
type Mark struct {
	// Likely is set when the attempt was young.
	Likely bool
	// Tokens counts those of the attempt, Position those of the whole answer.
	Tokens   int
	Position int
	// Ran is how long ago the attempt's first token was; zero before it.
	Ran time.Duration
}

// markSlack is how far two crashes at the same point may lie apart, in tokens:
// endpoints batch tokens, and the last ones are lost in a crash.
const markSlack = 4

// matches says whether two crashes happened at the same point.
func (m Mark) matches(other Mark) bool {
	return m.Likely && other.Likely &&
		(distance(m.Tokens, other.Tokens) <= markSlack || distance(m.Position, other.Position) <= markSlack)
}

func distance(a, b int) int { return max(a-b, b-a) }

// running is an attempt that has not ended, or that broke off just now.
type running struct {
	fingerprint tables.Fingerprint
	life        Life
	verdict     Verdict
	// firstToken is zero until there is one.
	firstToken tables.Instant
	// outlives is how long after its first token a suspect has outlived what
	// it crashed by, and need not be kept apart from others any more.
	outlives time.Duration
	// brokenAt is zero while the attempt runs.
	brokenAt tables.Instant
	tokens   int
	position int
}

// System is the state of one instance. Its methods take readings of one
// monotonic clock that never go back.
type System struct {
	options   Options
	running   map[tables.AttemptID]*running
	broken    []tables.AttemptID
	incidents []*incident
	convicted map[tables.Fingerprint]tables.Instant
	// weights is how strongly incidents speak against each fingerprint.
	weights map[tables.Fingerprint]weight
	rank    int
	of      int
}

// New returns a System that suspects nobody.
func New(o Options) *System {
	return &System{
		options:   o.withDefaults(),
		running:   make(map[tables.AttemptID]*running),
		convicted: make(map[tables.Fingerprint]tables.Instant),
		weights:   make(map[tables.Fingerprint]weight),
		of:        1,
	}
}

// SetRank says which of the instances this one is: rank is at least 0 and less
// than of. Endpoints are divided among them for suspects.
func (s *System) SetRank(rank, of int) {
	if rank >= 0 && rank < of {
		s.rank, s.of = rank, of
	}
}

// owns says whether an endpoint falls to this instance.
func (s *System) owns(endpoint tables.EndpointID) bool {
	return s.of == 1 || xxhash.Sum64String(string(endpoint))%uint64(s.of) == uint64(s.rank)
}

// Started notes that an attempt was dispatched.
func (s *System) Started(now tables.Instant, id tables.AttemptID, at Life, f tables.Fingerprint) {
	r := &running{fingerprint: f, life: at, verdict: s.Verdict(now, f)}
	if r.verdict != Allow {
		r.outlives = s.longest(f) + s.options.Outlive
	}
	s.running[id] = r
}

// Accepted notes which life of the endpoint runs the attempt.
func (s *System) Accepted(id tables.AttemptID, boot tables.BootID) {
	if r := s.running[id]; r != nil {
		r.life.Boot = boot
	}
}

// FirstToken notes that an attempt has come as far as its first token.
func (s *System) FirstToken(now tables.Instant, id tables.AttemptID) {
	if r := s.running[id]; r != nil {
		r.firstToken = now
	}
}

// Completed notes that an attempt ran to its end, which clears its request.
func (s *System) Completed(id tables.AttemptID) {
	r := s.running[id]
	if r == nil {
		return
	}
	delete(s.running, id)
	s.clear(r.fingerprint)
}

// Ended notes that an attempt ended for a reason that says nothing about its
// request: it never started, or it was cancelled.
func (s *System) Ended(id tables.AttemptID) { delete(s.running, id) }

// Broken notes that an attempt broke off. It stays a candidate for a while,
// since the crash of its endpoint is often noticed a little later. tokens
// counts those of the attempt, position those of the whole answer so far.
func (s *System) Broken(now tables.Instant, id tables.AttemptID, tokens, position int) {
	r := s.running[id]
	if r == nil || r.brokenAt != 0 {
		return
	}
	r.brokenAt = max(now, 1)
	r.tokens, r.position = tokens, position
	s.broken = append(s.broken, id)
	s.sweep(now)
}

// sweep forgets attempts that broke off long enough ago.
func (s *System) sweep(now tables.Instant) {
	kept := s.broken[:0]
	for _, id := range s.broken {
		r := s.running[id]
		if r == nil {
			continue
		}
		if now-r.brokenAt > s.options.Lag {
			delete(s.running, id)
			continue
		}
		kept = append(kept, id)
	}
	s.broken = kept
}

// Crashed notes that a life of an endpoint is over, and returns what the other
// instances must be told. It may be called again for the same life when more
// of its attempts have broken off.
func (s *System) Crashed(now tables.Instant, life Life) []Suspect {
	s.sweep(now)
	s.expire(now)
	var told []Suspect
	for _, id := range s.candidatesOf(life) {
		r := s.running[id]
		delete(s.running, id)
		mark := Mark{Tokens: r.tokens, Position: r.position}
		if r.firstToken != 0 {
			mark.Ran = now - r.firstToken
		}
		mark.Likely = mark.Ran < s.options.Young
		if s.note(now, life, r.fingerprint, mark) {
			told = append(told, Suspect{Fingerprint: r.fingerprint, Life: life, Mark: mark})
		}
	}
	return told
}

// LifeOf returns the life that an attempt ran at. It is known while the attempt runs, and
// for Options.Lag after it broke off.
func (s *System) LifeOf(id tables.AttemptID) (life Life, known bool) {
	r, known := s.running[id]
	if !known {
		return Life{}, false
	}
	return r.life, true
}

// candidatesOf gives the attempts that the life ran, in a fixed order. An
// attempt that the endpoint had not yet answered has no boot identity.
func (s *System) candidatesOf(life Life) []tables.AttemptID {
	var ids []tables.AttemptID
	for id, r := range s.running {
		if r.life.Endpoint == life.Endpoint && (r.life.Boot == life.Boot || r.life.Boot == "") {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Merge takes in what another instance told.
func (s *System) Merge(now tables.Instant, told Suspect) {
	s.expire(now)
	if told.Age > s.options.Forget {
		return
	}
	if told.Convicted {
		s.convict(now-told.Age, told.Fingerprint)
		return
	}
	s.note(now-told.Age, told.Life, told.Fingerprint, told.Mark)
}

// Suspects returns all that is known, for an instance that has just started or
// has missed a message.
func (s *System) Suspects(now tables.Instant) []Suspect {
	s.expire(now)
	var all []Suspect
	for _, i := range s.incidents {
		for _, c := range i.candidates {
			if !c.cleared {
				all = append(all, Suspect{Fingerprint: c.fingerprint, Life: i.life, Mark: c.mark, Age: now - i.at})
			}
		}
	}
	for f, at := range s.convicted {
		all = append(all, Suspect{Fingerprint: f, Convicted: true, Age: now - at})
	}
	return all
}

// Admits says whether an endpoint may take a request with this verdict, as far
// as this instance's own attempts are concerned.
func (s *System) Admits(now tables.Instant, endpoint tables.EndpointID, v Verdict) bool {
	if v >= Hold || (v == ApartOwn || v == AloneOwn) && !s.owns(endpoint) {
		return false
	}
	for _, r := range s.running {
		if r.brokenAt != 0 || r.life.Endpoint != endpoint {
			continue
		}
		if v >= Alone || r.verdict >= Alone || v != Allow && r.verdict != Allow && !r.outlived(now) {
			return false
		}
	}
	return true
}

// outlived says whether the attempt has run longer than any that crashed.
func (r *running) outlived(now tables.Instant) bool {
	return r.firstToken != 0 && now-r.firstToken > r.outlives
}

// Quiet says that there is nothing to look at: every verdict is Allow and every
// endpoint admits. It costs no search.
func (s *System) Quiet() bool { return len(s.incidents) == 0 && len(s.convicted) == 0 }
