package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// incident is the crash of one endpoint process.
type incident struct {
	crash
	candidates []candidate
}

// candidate is a request that was running when the endpoint crashed.
type candidate struct {
	fingerprint tables.Fingerprint
	crashPoint  CrashPoint
	// cleared is set once the request has completed elsewhere. The candidate stays
	// listed, so that a late report does not add it again.
	cleared bool
}

// find returns the candidate with the fingerprint, nil if there is none.
func (i *incident) find(f tables.Fingerprint) *candidate {
	for n := range i.candidates {
		if i.candidates[n].fingerprint == f {
			return &i.candidates[n]
		}
	}
	return nil
}

// evidence sums up the incidents of a request.
type evidence struct {
	// incidents counts the incidents that the request is a candidate of, likely
	// those of them that happened within Options.LikelyWindow of its first token.
	incidents, likely int
}

// addCandidate makes a request a candidate of an incident and reports whether that is
// new. If several of its attempts were running, the furthest one counts: the others would
// have crashed the endpoint later.
func (d *Detector) addCandidate(i *incident, f tables.Fingerprint, point CrashPoint) bool {
	if c := i.find(f); c != nil {
		if c.cleared || point.SinceFirstToken <= c.crashPoint.SinceFirstToken {
			return false
		}
		if c.crashPoint.Likely && !point.Likely {
			e := d.evidence[f]
			e.likely--
			d.evidence[f] = e
		}
		c.crashPoint = point
		return true
	}
	if len(i.candidates) >= d.options.MaxCandidates {
		return false
	}
	i.candidates = append(i.candidates, candidate{fingerprint: f, crashPoint: point})
	e := d.evidence[f]
	e.incidents++
	if point.Likely {
		e.likely++
	}
	d.evidence[f] = e
	return true
}

// findIncident returns the first incident that may be the given crash, nil if there is none.
func (d *Detector) findIncident(c crash) *incident {
	var first *incident
	for _, i := range d.incidents {
		if i.isSame(&c) && (first == nil || i.at < first.at) {
			first = i
		}
	}
	return first
}

// incidentFor returns the incident of a crash. It records a new one if there is none, and evicts
// the oldest one at the limit.
func (d *Detector) incidentFor(c crash) *incident {
	if i := d.findIncident(c); i != nil {
		i.narrow(&c)
		return i
	}
	if len(d.incidents) >= d.options.MaxIncidents {
		d.removeEvidence(d.incidents[0])
		d.incidents = d.incidents[1:]
	}
	d.endpointCrashes.add(c)
	i := &incident{crash: c}
	d.incidents = append(d.incidents, i)
	return i
}

// removeEvidence takes an incident that is being dropped out of the evidence.
func (d *Detector) removeEvidence(i *incident) {
	for _, c := range i.candidates {
		if !c.cleared {
			d.subtractEvidence(c)
		}
	}
}

// subtractEvidence takes one incident of a candidate out of its evidence.
func (d *Detector) subtractEvidence(c candidate) {
	e := d.evidence[c.fingerprint]
	e.incidents--
	if c.crashPoint.Likely {
		e.likely--
	}
	if e.incidents <= 0 {
		delete(d.evidence, c.fingerprint)
		return
	}
	d.evidence[c.fingerprint] = e
}

// exonerate clears a request in all incidents up to the given time.
func (d *Detector) exonerate(at tables.Instant, f tables.Fingerprint) {
	if d.evidence[f].incidents == 0 {
		return
	}
	for _, i := range d.incidents {
		if c := i.find(f); c != nil && !c.cleared && i.at <= at {
			c.cleared = true
			d.subtractEvidence(*c)
		}
	}
}

// expire drops incidents and convictions that are older than Options.Retention.
func (d *Detector) expire(now tables.Instant) {
	kept := d.incidents[:0]
	for _, i := range d.incidents {
		if now-i.at > d.options.Retention {
			d.removeEvidence(i)
			continue
		}
		kept = append(kept, i)
	}
	clear(d.incidents[len(kept):])
	d.incidents = kept
	for _, times := range []map[tables.Fingerprint]tables.Instant{d.convicted, d.cleared} {
		for f, at := range times {
			if now-at > d.options.Retention {
				delete(times, f)
			}
		}
	}
	maps.DeleteFunc(d.reportedConvictions, func(f tables.Fingerprint, _ bool) bool {
		_, convicted := d.convicted[f]
		return !convicted
	})
	d.expireParts(now)
}

// Verdict returns the restriction under which a request may run now. It convicts
// the request, or parts of its prompt, if the evidence suffices.
func (d *Detector) Verdict(now tables.Instant, work Work) Verdict {
	if d.Empty() {
		return Allow
	}
	d.expire(now)
	verdict := d.requestVerdict(now, work.Request)
	if len(d.parts) == 0 {
		return verdict
	}
	if slices.ContainsFunc(work.Parts, d.mayBeConvicted) {
		d.scanParts(now)
	}
	for _, part := range work.Parts {
		verdict = max(verdict, d.partVerdict(now, part))
	}
	return verdict
}

// requestVerdict is Verdict without regard to the parts of the prompt.
func (d *Detector) requestVerdict(now tables.Instant, f tables.Fingerprint) Verdict {
	if _, ok := d.convicted[f]; ok {
		return Reject
	}
	if d.evidence[f].incidents == 0 {
		return Allow
	}
	incidents := d.incidentsOf(f)
	verdict, convicting, latest := Allow, 0, tables.Instant(0)
	for _, i := range incidents {
		if d.standsOut(i, f) {
			convicting++
		}
		latest = max(latest, i.at)
		if !d.hasConvictedCandidate(i) {
			verdict = max(verdict, d.isolation(i.find(f), len(incidents), now-i.at))
		}
	}
	if len(incidents) >= unconditionalThreshold {
		d.convict(now, f, false)
		return Reject
	}
	if convicting < d.requiredIncidents(f) {
		return verdict
	}
	if now-latest < d.settleDelay(f) {
		return Defer
	}
	d.convict(now, f, false)
	return Reject
}

// incidentsOf returns the incidents that speak against a request: it is a candidate that is not
// cleared, and no convicted part explains them.
func (d *Detector) incidentsOf(f tables.Fingerprint) []*incident {
	var incidents []*incident
	for _, i := range d.incidents {
		if c := i.find(f); c != nil && !c.cleared && !d.hasConvictedPart(i) {
			incidents = append(incidents, i)
		}
	}
	return incidents
}

const (
	// convictionThreshold is the number of incidents that convicts a request. A
	// single crash convicts no request: endpoints crash for other reasons too, and
	// then every request that they ran would be rejected.
	convictionThreshold = 2
	// weakEvidenceThreshold is the number of incidents that convicts a request when
	// there are signs of another cause, see requiredIncidents.
	weakEvidenceThreshold = 3
	// unconditionalThreshold is the number of incidents that convicts a request
	// regardless of the other candidates. Two poison requests that meet often
	// enough would otherwise shield each other for ever. An innocent request does
	// not meet that many crashes.
	unconditionalThreshold = 5
	// minBurstCrashes is how many unrelated crashes within Options.BurstWindow of a
	// crash of the request weaken the evidence against it.
	minBurstCrashes = 1
	// unrelatedCrashDelayFactor multiplies the settle delay of a conviction when
	// there were unrelated crashes.
	unrelatedCrashDelayFactor = 6
)

// requiredIncidents returns the number of incidents that convicts f. It is higher
// when no two crashes happened at the same point of the request, and when the
// crashes belong to a burst: when several endpoints crash together, an innocent
// request can meet two crashes in a row.
func (d *Detector) requiredIncidents(f tables.Fingerprint) int {
	if !d.crashesAtSamePoint(f) || d.inBurst(f) {
		return weakEvidenceThreshold
	}
	return convictionThreshold
}

// crashesAtSamePoint reports whether two crashes happened at the same point of f.
func (d *Detector) crashesAtSamePoint(f tables.Fingerprint) bool {
	var points []CrashPoint
	for _, i := range d.incidents {
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

// longestRun returns the longest time that f ran after its first token before a
// crash.
func (d *Detector) longestRun(f tables.Fingerprint) time.Duration {
	var longest time.Duration
	for _, i := range d.incidents {
		if c := i.find(f); c != nil && !c.cleared {
			longest = max(longest, c.crashPoint.SinceFirstToken)
		}
	}
	return longest
}

// inBurst reports whether endpoints that did not run f crashed within
// Options.BurstWindow of one that did.
func (d *Detector) inBurst(f tables.Fingerprint) bool {
	return d.unrelatedCrashes(f) >= minBurstCrashes
}

// unrelatedCrashes counts the endpoints that crashed within Options.BurstWindow of
// one that ran f, and that did not run f themselves.
func (d *Detector) unrelatedCrashes(f tables.Fingerprint) int {
	count := 0
	for _, other := range d.incidents {
		if other.find(f) == nil && d.coincidesWith(other, f) {
			count++
		}
	}
	return count
}

// settleDelay returns how long the conviction of f is delayed. Unrelated crashes
// may come from a second poison request, and f may merely have run beside it twice.
// The longer delay gives the second request time to crash without f.
func (d *Detector) settleDelay(f tables.Fingerprint) time.Duration {
	if d.unrelatedCrashes(f) > 0 {
		return unrelatedCrashDelayFactor * d.options.SettleDelay
	}
	return d.options.SettleDelay
}

// coincidesWith reports whether an incident happened within Options.BurstWindow of
// one of f's.
func (d *Detector) coincidesWith(other *incident, f tables.Fingerprint) bool {
	for _, i := range d.incidents {
		c := i.find(f)
		if c != nil && !c.cleared && (other.at-i.at).Abs() <= d.options.BurstWindow {
			return true
		}
	}
	return false
}

// isolation returns the restriction on a candidate that is not convicted, for an
// incident of the given age. Only a request that met two crashes at the same point
// has to wait for an endpoint of its own. Others that met two crashes are more
// likely innocent, and their callers' streams would end for lack of such an
// endpoint.
func (d *Detector) isolation(c *candidate, count int, age time.Duration) Verdict {
	switch {
	case count >= convictionThreshold && d.crashesAtSamePoint(c.fingerprint) && age < d.options.OwnershipWindow:
		return ExclusiveOwned
	case count >= convictionThreshold && d.crashesAtSamePoint(c.fingerprint):
		return Exclusive
	case !c.crashPoint.Likely:
		return Allow
	case age < d.options.OwnershipWindow:
		return AvoidSuspectsOwned
	default:
		return AvoidSuspects
	}
}

// evidenceScore returns the weight of the evidence against f: one for each
// incident, one more for each incident with a likely crash point, and one more if
// two crashes happened at the same point.
func (d *Detector) evidenceScore(f tables.Fingerprint) int {
	e := d.evidence[f]
	score := e.incidents + e.likely
	if e.incidents >= convictionThreshold && d.crashesAtSamePoint(f) {
		score++
	}
	return score
}

// standsOut reports whether the evidence against f outweighs that against every
// other candidate of an incident that is not cleared. If no candidate stands out,
// their next runs, apart from each other, tell them apart.
func (d *Detector) standsOut(i *incident, f tables.Fingerprint) bool {
	own := d.evidenceScore(f)
	for _, c := range i.candidates {
		if c.fingerprint != f && !c.cleared && d.evidenceScore(c.fingerprint) >= own {
			return false
		}
	}
	return true
}

// hasConvictedPart reports whether a convicted part was in question at an incident.
func (d *Detector) hasConvictedPart(i *incident) bool {
	for _, r := range d.convictedParts {
		if r.has(&i.crash) {
			return true
		}
	}
	return false
}

// hasConvictedCandidate reports whether one of the candidates is convicted. That
// explains the incident, so the other candidates need no restriction because of it.
func (d *Detector) hasConvictedCandidate(i *incident) bool {
	for _, c := range i.candidates {
		if _, ok := d.convicted[c.fingerprint]; ok {
			return true
		}
	}
	return false
}
