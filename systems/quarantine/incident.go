package quarantine

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// incident is the end of one life of an endpoint.
type incident struct {
	life       Incarnation
	at         tables.Instant
	candidates []candidate
}

// candidate is a request that was running when the endpoint crashed.
type candidate struct {
	fingerprint tables.Fingerprint
	mark        CrashPoint
	// cleared is set once the request has completed elsewhere. It stays listed
	// so that a late message does not make it a candidate again.
	cleared bool
}

func (i *incident) find(f tables.Fingerprint) *candidate {
	for n := range i.candidates {
		if i.candidates[n].fingerprint == f {
			return &i.candidates[n]
		}
	}
	return nil
}

// weight is how strongly incidents speak against a request.
type weight struct {
	// incidents is how many it is a candidate of, likely how many of these
	// crashed while it was young.
	incidents, likely int
}

// note makes a request a candidate of an incident, and says whether that is
// new.
func (s *Detector) note(at tables.Instant, life Incarnation, f tables.Fingerprint, mark CrashPoint) bool {
	i := s.incident(at, life)
	if i.find(f) != nil || len(i.candidates) >= s.options.MaxCandidates {
		return false
	}
	i.candidates = append(i.candidates, candidate{fingerprint: f, mark: mark})
	w := s.weights[f]
	w.incidents++
	if mark.Likely {
		w.likely++
	}
	s.weights[f] = w
	return true
}

func (s *Detector) incident(at tables.Instant, life Incarnation) *incident {
	for _, i := range s.incidents {
		if i.life == life {
			return i
		}
	}
	if len(s.incidents) >= s.options.MaxIncidents {
		s.drop(s.incidents[0])
		s.incidents = s.incidents[1:]
	}
	i := &incident{life: life, at: at}
	s.incidents = append(s.incidents, i)
	return i
}

// drop takes an incident out of the counts.
func (s *Detector) drop(i *incident) {
	for _, c := range i.candidates {
		if !c.cleared {
			s.unweigh(c)
		}
	}
}

func (s *Detector) unweigh(c candidate) {
	w := s.weights[c.fingerprint]
	w.incidents--
	if c.mark.Likely {
		w.likely--
	}
	if w.incidents <= 0 {
		delete(s.weights, c.fingerprint)
		return
	}
	s.weights[c.fingerprint] = w
}

// clear takes a request off all incidents.
func (s *Detector) clear(f tables.Fingerprint) {
	if s.weights[f].incidents == 0 {
		return
	}
	for _, i := range s.incidents {
		if c := i.find(f); c != nil {
			c.cleared = true
		}
	}
	delete(s.weights, f)
}

// expire forgets what is old.
func (s *Detector) expire(now tables.Instant) {
	kept := s.incidents[:0]
	for _, i := range s.incidents {
		if now-i.at > s.options.Retention {
			s.drop(i)
			continue
		}
		kept = append(kept, i)
	}
	clear(s.incidents[len(kept):])
	s.incidents = kept
	for f, at := range s.convicted {
		if now-at > s.options.Retention {
			delete(s.convicted, f)
		}
	}
}

func (s *Detector) convict(at tables.Instant, f tables.Fingerprint) {
	if known, ok := s.convicted[f]; ok && known >= at {
		return
	}
	if len(s.convicted) >= s.options.MaxConvictions {
		s.pardonOldest()
	}
	s.convicted[f] = at
}

func (s *Detector) pardonOldest() {
	var oldest tables.Fingerprint
	first := true
	for f, at := range s.convicted {
		if first || at < s.convicted[oldest] || at == s.convicted[oldest] && f < oldest {
			oldest, first = f, false
		}
	}
	delete(s.convicted, oldest)
}

// Verdict says how a request may run now.
func (s *Detector) Verdict(now tables.Instant, f tables.Fingerprint) Verdict {
	if s.Empty() {
		return Allow
	}
	s.expire(now)
	if _, ok := s.convicted[f]; ok {
		return Reject
	}
	count := s.weights[f].incidents
	if count == 0 {
		return Allow
	}
	verdict, standing, latest := Allow, 0, tables.Instant(0)
	for _, i := range s.incidents {
		c := i.find(f)
		if c == nil || c.cleared {
			continue
		}
		if s.stands(i, f) {
			standing++
		}
		latest = max(latest, i.at)
		if !s.explained(i) {
			verdict = max(verdict, s.severity(c, count, now-i.at))
		}
	}
	if count >= convictAlwaysAt {
		s.convict(now, f)
		return Reject
	}
	if standing < s.needed(f) {
		return verdict
	}
	if now-latest < s.settle(f) {
		return Defer
	}
	s.convict(now, f)
	return Reject
}

const (
	// convictAt is the number of incidents that a convicted request was in. One
	// crash convicts nobody: endpoints crash for reasons of their own, and then
	// every request that they ran would be refused.
	convictAt = 2
	// convictDoubtfulAt is the number when the incidents point elsewhere.
	convictDoubtfulAt = 3
	// convictAlwaysAt is the number that convicts whatever else is known. Two
	// guilty requests that meet often enough would hide behind each other for
	// ever; no innocent one is that unlucky.
	convictAlwaysAt = 5
	// burstSize is how many crashes beside those of a request, within
	// Options.Burst of one of them, cast doubt on it.
	burstSize = 1
	// besideSettles is by how much a conviction waits longer when there were
	// other crashes.
	besideSettles = 6
)

// needed is the number of incidents that convicts f. It is higher when the
// crashes did not come at the same point of the request, and when they belong
// to a burst: when several endpoints crash together, an innocent request can
// meet two crashes in a row.
func (s *Detector) needed(f tables.Fingerprint) int {
	if !s.repeats(f) || s.inBurst(f) {
		return convictDoubtfulAt
	}
	return convictAt
}

// repeats says whether two crashes came at the same point of f.
func (s *Detector) repeats(f tables.Fingerprint) bool {
	var marks []CrashPoint
	for _, i := range s.incidents {
		c := i.find(f)
		if c == nil || c.cleared {
			continue
		}
		for _, m := range marks {
			if m.matches(c.mark) {
				return true
			}
		}
		marks = append(marks, c.mark)
	}
	return false
}

// longest is how long f ran at most before a crash.
func (s *Detector) longest(f tables.Fingerprint) time.Duration {
	var longest time.Duration
	for _, i := range s.incidents {
		if c := i.find(f); c != nil && !c.cleared {
			longest = max(longest, c.mark.SinceFirstToken)
		}
	}
	return longest
}

// inBurst says whether several endpoints that did not run f crashed at about
// the time of one that did.
func (s *Detector) inBurst(f tables.Fingerprint) bool { return s.beside(f) >= burstSize }

// beside counts the endpoints that crashed at about the time of one that ran f
// and did not run it themselves.
func (s *Detector) beside(f tables.Fingerprint) int {
	beside := 0
	for _, other := range s.incidents {
		if other.find(f) == nil && s.near(other, f) {
			beside++
		}
	}
	return beside
}

// settle is how long a conviction of f waits. With other crashes about there
// may be a second request that crashes endpoints, and f merely have met both;
// the other needs time to give itself away.
func (s *Detector) settle(f tables.Fingerprint) time.Duration {
	if s.beside(f) > 0 {
		return besideSettles * s.options.SettleDelay
	}
	return s.options.SettleDelay
}

// near says whether an incident happened at about the time of one of f's.
func (s *Detector) near(other *incident, f tables.Fingerprint) bool {
	for _, i := range s.incidents {
		c := i.find(f)
		if c != nil && !c.cleared && (other.at-i.at).Abs() <= s.options.BurstWindow {
			return true
		}
	}
	return false
}

// severity is how far an unconvicted candidate of an incident of the given age
// is kept apart. Only one that met two crashes at the same point has to wait
// for an endpoint to itself: others that met two are more likely unlucky, and
// their callers' streams would end for want of such an endpoint.
func (s *Detector) severity(c *candidate, count int, age time.Duration) Verdict {
	switch {
	case count >= convictAt && s.repeats(c.fingerprint) && age < s.options.OwnershipWindow:
		return ExclusiveOwned
	case count >= convictAt && s.repeats(c.fingerprint):
		return Exclusive
	case !c.mark.Likely:
		return Allow
	case age < s.options.OwnershipWindow:
		return AvoidSuspectsOwned
	default:
		return AvoidSuspects
	}
}

// strength is how much speaks against f: its incidents, those in which it was
// young once more, and once more if two came at the same point of it.
func (s *Detector) strength(f tables.Fingerprint) int {
	w := s.weights[f]
	strength := w.incidents + w.likely
	if w.incidents >= convictAt && s.repeats(f) {
		strength++
	}
	return strength
}

// stands says whether f stands out among the candidates of an incident: more
// speaks against it than against any other that is not cleared. If more speaks
// against none, the next run, alone, tells them apart.
func (s *Detector) stands(i *incident, f tables.Fingerprint) bool {
	own := s.strength(f)
	for _, c := range i.candidates {
		if c.fingerprint != f && !c.cleared && s.strength(c.fingerprint) >= own {
			return false
		}
	}
	return true
}

// explained says whether one of the candidates is convicted, so that the
// others need not be kept apart on account of this incident.
func (s *Detector) explained(i *incident) bool {
	for _, c := range i.candidates {
		if _, ok := s.convicted[c.fingerprint]; ok {
			return true
		}
	}
	return false
}
