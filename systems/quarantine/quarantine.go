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
	// AvoidSuspects: at no endpoint that runs another suspect.
	AvoidSuspects
	// AvoidSuspectsOwned: as Apart, and only at endpoints that fall to this instance. It
	// lasts for Options.Own; without it two instances that retry at the same
	// moment could bring two suspects together again, and the next crash would
	// not tell which is to blame.
	AvoidSuspectsOwned
	// Exclusive: at an endpoint that runs nothing else of this instance.
	Exclusive
	// ExclusiveOwned: as Alone, and only at endpoints that fall to this instance.
	// Without it suspects of several instances would meet at the endpoint that
	// has just come back and is empty.
	ExclusiveOwned
	// Defer: not yet; whether it is convicted is known within Options.Settle.
	Defer
	// Reject: not at all until the conviction is forgotten.
	Reject
)

// WithoutOwnership is what a verdict comes down to when no endpoint is to be had under
// it: an instance may own no endpoint that is up, and a request must not wait
// for one.
func (v Verdict) WithoutOwnership() Verdict {
	if v == AvoidSuspectsOwned {
		return AvoidSuspects
	}
	return v
}

// Options bound a System. Zero fields take the defaults.
type Options struct {
	// LikelyWindow is how long after its first token a request counts as a likely
	// cause of a crash. Older ones are candidates too, but run on without
	// restriction after their first incident.
	LikelyWindow time.Duration
	// SettleDelay is how long an incident waits for what other instances know of it
	// before anyone is convicted by it.
	SettleDelay time.Duration
	// OwnershipWindow is how long after an incident its candidates run only at endpoints
	// that fall to their instance.
	OwnershipWindow time.Duration
	// OutliveMargin is how much longer than before a suspect must have run to be no
	// danger to others.
	OutliveMargin time.Duration
	// Retention is how long an incident, and a conviction, is remembered.
	Retention time.Duration
	// BurstWindow is the time within which several crashes look like a failure of
	// something that the endpoints share; see needed.
	BurstWindow time.Duration
	// CrashDetectionLag is how long an attempt that broke off is still a candidate when its
	// endpoint turns out to have crashed.
	CrashDetectionLag time.Duration
	// MaxIncidents, Candidates and Convicted bound what is remembered: incidents,
	// candidates of one incident, and convictions. The oldest go first.
	MaxIncidents   int
	MaxCandidates  int
	MaxConvictions int
}

// The defaults of Options.
const (
	DefaultLikelyWindow      = 5 * time.Second
	DefaultSettleDelay       = 500 * time.Millisecond
	DefaultOwnershipWindow   = 5 * time.Second
	DefaultOutliveMargin     = 1500 * time.Millisecond
	DefaultRetention         = 10 * time.Minute
	DefaultCrashDetectionLag = 2 * time.Second
	DefaultBurstWindow       = 2 * time.Second
	DefaultMaxIncidents      = 64
	DefaultMaxCandidates     = 256
	DefaultMaxConvictions    = 1024
)

func (o Options) withDefaults() Options {
	setDefault(&o.LikelyWindow, DefaultLikelyWindow)
	setDefault(&o.SettleDelay, DefaultSettleDelay)
	setDefault(&o.OwnershipWindow, DefaultOwnershipWindow)
	setDefault(&o.OutliveMargin, DefaultOutliveMargin)
	setDefault(&o.Retention, DefaultRetention)
	setDefault(&o.CrashDetectionLag, DefaultCrashDetectionLag)
	setDefault(&o.BurstWindow, DefaultBurstWindow)
	setDefault(&o.MaxIncidents, DefaultMaxIncidents)
	setDefault(&o.MaxCandidates, DefaultMaxCandidates)
	setDefault(&o.MaxConvictions, DefaultMaxConvictions)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Incarnation is one life of an endpoint; it crashes at most once.
type Incarnation struct {
	Endpoint tables.EndpointID
	Boot     tables.BootID
}

// Suspect is what one instance tells the others: that a request was running
// when an endpoint crashed, or that it is convicted. Ages stand in place of
// instants, because clocks of two instances cannot be compared.
type Suspect struct {
	Fingerprint tables.Fingerprint
	// Incarnation is the incident; it is empty for a conviction.
	Incarnation Incarnation
	CrashPoint  CrashPoint
	// Convicted is set in place of Life.
	Convicted bool
	Age       time.Duration
}

// CrashPoint is how far an attempt had come when its endpoint crashed. The same
// request crashes endpoints at the same point each time; one that is merely
// there when they crash is at any point.
type CrashPoint struct {
	// Likely is set when the attempt was young.
	Likely bool
	// AttemptTokens counts those of the attempt, Position those of the whole answer.
	AttemptTokens int
	AnswerTokens  int
	// SinceFirstToken is how long ago the attempt's first token was; zero before it.
	SinceFirstToken time.Duration
}

// crashPointTolerance is how far two crashes at the same point may lie apart, in tokens:
// endpoints batch tokens, and the last ones are lost in a crash.
const crashPointTolerance = 4

// matches says whether two crashes happened at the same point.
func (m CrashPoint) matches(other CrashPoint) bool {
	return m.Likely && other.Likely &&
		(distance(m.AttemptTokens, other.AttemptTokens) <= crashPointTolerance || distance(m.AnswerTokens, other.AnswerTokens) <= crashPointTolerance)
}

func distance(a, b int) int { return max(a-b, b-a) }

// attempt is an attempt that has not ended, or that broke off just now.
type attempt struct {
	fingerprint tables.Fingerprint
	incarnation Incarnation
	verdict     Verdict
	// firstToken is zero until there is one.
	firstToken tables.Instant
	// safeAfter is how long after its first token a suspect has outlived what
	// it crashed by, and need not be kept apart from others any more.
	safeAfter time.Duration
	// interruptedAt is zero while the attempt runs.
	interruptedAt tables.Instant
	attemptTokens int
	answerTokens  int
}

// Detector is the state of one instance. Its methods take readings of one
// monotonic clock that never go back.
type Detector struct {
	options     Options
	attempts    map[tables.AttemptID]*attempt
	interrupted []tables.AttemptID
	incidents   []*incident
	convicted   map[tables.Fingerprint]tables.Instant
	// evidence is how strongly incidents speak against each fingerprint.
	evidence  map[tables.Fingerprint]evidence
	rank      int
	instances int
}

// New returns a System that suspects nobody.
func New(o Options) *Detector {
	return &Detector{
		options:   o.withDefaults(),
		attempts:  make(map[tables.AttemptID]*attempt),
		convicted: make(map[tables.Fingerprint]tables.Instant),
		evidence:  make(map[tables.Fingerprint]evidence),
		instances: 1,
	}
}

// SetRank says which of the instances this one is: rank is at least 0 and less
// than of. Endpoints are divided among them for suspects.
func (s *Detector) SetRank(rank, of int) {
	if rank >= 0 && rank < of {
		s.rank, s.instances = rank, of
	}
}

// owns says whether an endpoint falls to this instance.
func (s *Detector) owns(endpoint tables.EndpointID) bool {
	return s.instances == 1 || xxhash.Sum64String(string(endpoint))%uint64(s.instances) == uint64(s.rank)
}

// Started notes that an attempt was dispatched.
func (s *Detector) Started(now tables.Instant, id tables.AttemptID, incarnation Incarnation, f tables.Fingerprint) {
	r := &attempt{fingerprint: f, incarnation: incarnation, verdict: s.Verdict(now, f)}
	if r.verdict != Allow {
		r.safeAfter = s.longestRun(f) + s.options.OutliveMargin
	}
	s.attempts[id] = r
}

// Accepted notes which life of the endpoint runs the attempt.
func (s *Detector) Accepted(id tables.AttemptID, boot tables.BootID) {
	if r := s.attempts[id]; r != nil {
		r.incarnation.Boot = boot
	}
}

// FirstToken notes that an attempt has come as far as its first token.
func (s *Detector) FirstToken(now tables.Instant, id tables.AttemptID) {
	if r := s.attempts[id]; r != nil {
		r.firstToken = now
	}
}

// Completed notes that an attempt ran to its end, which clears its request.
func (s *Detector) Completed(id tables.AttemptID) {
	r := s.attempts[id]
	if r == nil {
		return
	}
	delete(s.attempts, id)
	s.exonerate(r.fingerprint)
}

// Ended notes that an attempt ended for a reason that says nothing about its
// request: it never started, or it was cancelled.
func (s *Detector) Ended(id tables.AttemptID) { delete(s.attempts, id) }

// Interrupted notes that an attempt broke off. It stays a candidate for a while,
// since the crash of its endpoint is often noticed a little later. tokens
// counts those of the attempt, position those of the whole answer so far.
func (s *Detector) Interrupted(now tables.Instant, id tables.AttemptID, tokens, position int) {
	r := s.attempts[id]
	if r == nil || r.interruptedAt != 0 {
		return
	}
	r.interruptedAt = max(now, 1)
	r.attemptTokens, r.answerTokens = tokens, position
	s.interrupted = append(s.interrupted, id)
	s.expireInterrupted(now)
}

// expireInterrupted forgets attempts that broke off long enough ago.
func (s *Detector) expireInterrupted(now tables.Instant) {
	kept := s.interrupted[:0]
	for _, id := range s.interrupted {
		r := s.attempts[id]
		if r == nil {
			continue
		}
		if now-r.interruptedAt > s.options.CrashDetectionLag {
			delete(s.attempts, id)
			continue
		}
		kept = append(kept, id)
	}
	s.interrupted = kept
}

// Crashed notes that a life of an endpoint is over, and returns what the other
// instances must be told. It may be called again for the same life when more
// of its attempts have broken off.
func (s *Detector) Crashed(now tables.Instant, incarnation Incarnation) []Suspect {
	s.expireInterrupted(now)
	s.expire(now)
	var reports []Suspect
	for _, id := range s.attemptsOn(incarnation) {
		r := s.attempts[id]
		delete(s.attempts, id)
		point := CrashPoint{AttemptTokens: r.attemptTokens, AnswerTokens: r.answerTokens}
		if r.firstToken != 0 {
			point.SinceFirstToken = now - r.firstToken
		}
		point.Likely = point.SinceFirstToken < s.options.LikelyWindow
		if s.addCandidate(now, incarnation, r.fingerprint, point) {
			reports = append(reports, Suspect{Fingerprint: r.fingerprint, Incarnation: incarnation, CrashPoint: point})
		}
	}
	return reports
}

// IncarnationOf returns the life that an attempt ran at. It is known while the attempt runs, and
// for Options.Lag after it broke off.
func (s *Detector) IncarnationOf(id tables.AttemptID) (incarnation Incarnation, known bool) {
	r, known := s.attempts[id]
	if !known {
		return Incarnation{}, false
	}
	return r.incarnation, true
}

// attemptsOn gives the attempts that the life ran, in a fixed order. An
// attempt that the endpoint had not yet answered has no boot identity.
func (s *Detector) attemptsOn(incarnation Incarnation) []tables.AttemptID {
	var ids []tables.AttemptID
	for id, r := range s.attempts {
		if r.incarnation.Endpoint == incarnation.Endpoint && (r.incarnation.Boot == incarnation.Boot || r.incarnation.Boot == "") {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Merge takes in what another instance told.
func (s *Detector) Merge(now tables.Instant, report Suspect) {
	s.expire(now)
	if report.Age > s.options.Retention {
		return
	}
	if report.Convicted {
		s.convict(now-report.Age, report.Fingerprint)
		return
	}
	s.addCandidate(now-report.Age, report.Incarnation, report.Fingerprint, report.CrashPoint)
}

// Suspects returns all that is known, for an instance that has just started or
// has missed a message.
func (s *Detector) Suspects(now tables.Instant) []Suspect {
	s.expire(now)
	var all []Suspect
	for _, i := range s.incidents {
		for _, c := range i.candidates {
			if !c.cleared {
				all = append(all, Suspect{Fingerprint: c.fingerprint, Incarnation: i.incarnation, CrashPoint: c.crashPoint, Age: now - i.at})
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
func (s *Detector) Admits(now tables.Instant, endpoint tables.EndpointID, v Verdict) bool {
	if v >= Defer || (v == AvoidSuspectsOwned || v == ExclusiveOwned) && !s.owns(endpoint) {
		return false
	}
	for _, r := range s.attempts {
		if r.interruptedAt != 0 || r.incarnation.Endpoint != endpoint {
			continue
		}
		if v >= Exclusive || r.verdict >= Exclusive || v != Allow && r.verdict != Allow && !r.outlived(now) {
			return false
		}
	}
	return true
}

// outlived says whether the attempt has run longer than any that crashed.
func (r *attempt) outlived(now tables.Instant) bool {
	return r.firstToken != 0 && now-r.firstToken > r.safeAfter
}

// Empty says that there is nothing to look at: every verdict is Allow and every
// endpoint admits. It costs no search.
func (s *Detector) Empty() bool { return len(s.incidents) == 0 && len(s.convicted) == 0 }
