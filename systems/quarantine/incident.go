package quarantine

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// incident is the end of one life of an endpoint.
type incident struct {
	incarnation       Incarnation
	at         tables.Instant
	candidates []candidate
}

// candidate is a request that was running when the endpoint crashed.
type candidate struct {
	fingerprint tables.Fingerprint
	crashPoint        CrashPoint
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

// evidence is how strongly incidents speak against a request.
type evidence struct {
	// incidents is how many it is a candidate of, likely how many of these
	// crashed while it was young.
	incidents, likely int
}

// addCandidate makes a request a candidate of an incident, and says whether that is
// new.
func (s *Detector) addCandidate(at tables.Instant, incarnation Incarnation, f tables.Fingerprint, point CrashPoint) bool {
	i := s.incidentFor(at, incarnation)
	if i.find(f) != nil || len(i.candidates) >= s.options.MaxCandidates {
		return false
	}
	i.candidates = append(i.candidates, candidate{fingerprint: f, crashPoint: point})
	w := s.evidence[f]
	w.incidents++
	if point.Likely {
		w.likely++
	}
	s.evidence[f] = w
	return true
}

func (s *Detector) incidentFor(at tables.Instant, incarnation Incarnation) *incident {
	for _, i := range s.incidents {
		if i.incarnation == incarnation {
			return i
		}
	}
	if len(s.incidents) >= s.options.MaxIncidents {
		s.removeEvidence(s.incidents[0])
		s.incidents = s.incidents[1:]
	}
	i := &incident{incarnation: incarnation, at: at}
	s.incidents = append(s.incidents, i)
	return i
}

// removeEvidence takes an incident out of the counts.
func (s *Detector) removeEvidence(i *incident) {
	for _, c := range i.candidates {
		if !c.cleared {
			s.subtractEvidence(c)
		}
	}
}

func (s *Detector) subtractEvidence(c candidate) {
	w := s.evidence[c.fingerprint]
	w.incidents--
	if c.crashPoint.Likely {
		w.likely--
	}
	if w.incidents <= 0 {
		delete(s.evidence, c.fingerprint)
		return
	}
	s.evidence[c.fingerprint] = w
}

// exonerate takes a request off all incidents.
func (s *Detector) exonerate(f tables.Fingerprint) {
	if s.evidence[f].incidents == 0 {
		return
	}
	for _, i := range s.incidents {
		if c := i.find(f); c != nil {
			c.cleared = true
		}
	}
	delete(s.evidence, f)
}

// expire forgets what is old.
func (s *Detector) expire(now tables.Instant) {
	kept := s.incidents[:0]
	for _, i := range s.incidents {
		if now-i.at > s.options.Retention {
			s.removeEvidence(i)
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
		s.evictOldestConviction()
	}
	s.convicted[f] = at
}

func (s *Detector) evictOldestConviction() {
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
	count := s.evidence[f].incidents
	if count == 0 {
		return Allow
	}
	verdict, standing, latest := Allow, 0, tables.Instant(0)
	for _, i := range s.incidents {
		c := i.find(f)
		if c == nil || c.cleared {
			continue
		}
		if s.standsOut(i, f) {
			standing++
		}
		latest = max(latest, i.at)
		if !s.hasConvictedCandidate(i) {
			verdict = max(verdict, s.isolation(c, count, now-i.at))
		}
	}
	if count >= unconditionalThreshold {
		s.convict(now, f)
		return Reject
	}
	if standing < s.requiredIncidents(f) {
		return verdict
	}
	if now-latest < s.settleDelay(f) {
		return Defer
	}
	s.convict(now, f)
	return Reject
}

const (
	// convictionThreshold is the number of incidents that a convicted request was in. One
	// crash convicts nobody: endpoints crash for reasons of their own, and then
	// every request that they ran would be refused.
	convictionThreshold = 2
	// weakEvidenceThreshold is the number when the incidents point elsewhere.
	weakEvidenceThreshold = 3
	// unconditionalThreshold is the number that convicts whatever else is known. Two
	// guilty requests that meet often enough would hide behind each other for
	// ever; no innocent one is that unlucky.
	unconditionalThreshold = 5
	// minBurstCrashes is how many crashes beside those of a request, within
	// Options.Burst of one of them, cast doubt on it.
	minBurstCrashes = 1
	// unrelatedCrashDelayFactor is by how much a conviction waits longer when there were
	// other crashes.
	unrelatedCrashDelayFactor = 6
)

// requiredIncidents is the number of incidents that convicts f. It is higher when the
// crashes did not come at the same point of the request, and when they belong
// to a burst: when several endpoints crash together, an innocent request can
// meet two crashes in a row.
func (s *Detector) requiredIncidents(f tables.Fingerprint) int {
	if !s.crashesAtSamePoint(f) || s.inBurst(f) {
		return weakEvidenceThreshold
	}
	return convictionThreshold
}

// crashesAtSamePoint says whether two crashes came at the same point of f.
func (s *Detector) crashesAtSamePoint(f tables.Fingerprint) bool {
	var points []CrashPoint
	for _, i := range s.incidents {
		c := i.find(f)
		if c == nil || c.cleared {
			continue
		}
		for _, m := range points {
			if m.matches(c.crashPoint) {
				return true
			}
		}
		points = append(points, c.crashPoint)
	}
	return false
}

// longestRun is how long f ran at most before a crash.
func (s *Detector) longestRun(f tables.Fingerprint) time.Duration {
	var longest time.Duration
	for _, i := range s.incidents {
		if c := i.find(f); c != nil && !c.cleared {
			longest = max(longest, c.crashPoint.SinceFirstToken)
		}
	}
	return longest
}

// inBurst says whether several endpoints that did not run f crashed at about
// the time of one that did.
func (s *Detector) inBurst(f tables.Fingerprint) bool { return s.unrelatedCrashes(f) >= minBurstCrashes }

// unrelatedCrashes counts the endpoints that crashed at about the time of one that ran f
// and did not run it themselves.
func (s *Detector) unrelatedCrashes(f tables.Fingerprint) int {
	beside := 0
	for _, other := range s.incidents {
		if other.find(f) == nil && s.coincidesWith(other, f) {
			beside++
		}
	}
	return beside
}

// settleDelay is how long a conviction of f waits. With other crashes about there
// may be a second request that crashes endpoints, and f merely have met both;
// the other needs time to give itself away.
func (s *Detector) settleDelay(f tables.Fingerprint) time.Duration {
	if s.unrelatedCrashes(f) > 0 {
		return unrelatedCrashDelayFactor * s.options.SettleDelay
	}
	return s.options.SettleDelay
}

// coincidesWith says whether an incident happened at about the time of one of f's.
func (s *Detector) coincidesWith(other *incident, f tables.Fingerprint) bool {
	for _, i := range s.incidents {
		c := i.find(f)
		if c != nil && !c.cleared && (other.at-i.at).Abs() <= s.options.BurstWindow {
			return true
		}
	}
	return false
}

// isolation is how far an unconvicted candidate of an incident of the given age
// is kept apart. Only one that met two crashes at the same point has to wait
// for an endpoint to itself: others that met two are more likely unlucky, and
// their callers' streams would end for want of such an endpoint.
func (s *Detector) isolation(c *candidate, count int, age time.Duration) Verdict {
	switch {
	case count >= convictionThreshold && s.crashesAtSamePoint(c.fingerprint) && age < s.options.OwnershipWindow:
		return ExclusiveOwned
	case count >= convictionThreshold && s.crashesAtSamePoint(c.fingerprint):
		return Exclusive
	case !c.crashPoint.Likely:
		return Allow
	case age < s.options.OwnershipWindow:
		return AvoidSuspectsOwned
	default:
		return AvoidSuspects
	}
}

// evidenceScore is how much speaks against f: its incidents, those in which it was
// young once more, and once more if two came at the same point of it.
func (s *Detector) evidenceScore(f tables.Fingerprint) int {
	w := s.evidence[f]
	strength := w.incidents + w.likely
	if w.incidents >= convictionThreshold && s.crashesAtSamePoint(f) {
		strength++
	}
	return strength
}

// standsOut says whether f standsOut out among the candidates of an incident: more
// speaks against it than against any other that is not cleared. If more speaks
// against none, the next run, alone, tells them apart.
func (s *Detector) standsOut(i *incident, f tables.Fingerprint) bool {
	own := s.evidenceScore(f)
	for _, c := range i.candidates {
		if c.fingerprint != f && !c.cleared && s.evidenceScore(c.fingerprint) >= own {
			return false
		}
	}
	return true
}

// hasConvictedCandidate says whether one of the candidates is convicted, so that the
// others need not be kept apart on account of this incident.
func (s *Detector) hasConvictedCandidate(i *incident) bool {
	for _, c := range i.candidates {
		if _, ok := s.convicted[c.fingerprint]; ok {
			return true
		}
	}
	return false
}
