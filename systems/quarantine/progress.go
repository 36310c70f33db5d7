package quarantine

import (
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// maxProgressGap is how much of the time between two events counts as progress, so that one stall of
// this instance or of the network does not look like an answer that has gone on.
const maxProgressGap = time.Second

// Progressed records that an attempt has produced so many tokens, or events, of its answer. It clears
// the parts of the prompt once the answer has gone on for answerStartWindow, and the request once it
// has gone on well beyond the points at which it crashed endpoints. It returns the reports for the
// other instances.
func (d *Detector) Progressed(now tables.Instant, id tables.AttemptID, tokens int) []Suspect {
	r := d.attempts[id]
	if r == nil || r.interruptedAt != 0 {
		return nil
	}
	if r.firstToken == 0 {
		r.firstToken = max(now, 1)
	} else {
		r.progress += min(now-r.lastToken, maxProgressGap)
	}
	r.lastToken = max(now, 1)
	r.attemptTokens = max(r.attemptTokens, tokens)
	var reports []Suspect
	if !r.provedParts && r.outlastedStart() {
		r.provedParts = true
		reports = d.proveParts(now, r)
	}
	if d.isSuspected(r.work.Request) && d.hasOutrun(r) {
		reports = append(reports, d.clearRequest(now, r.work.Request)...)
	}
	return reports
}

// outlastedStart reports whether the attempt's answer has gone on for longer than a part of its prompt
// may take to crash the endpoint.
func (r *attempt) outlastedStart() bool { return r.progress > answerStartWindow }

// proveParts records that an attempt has answered a prompt, at least the start of its answer.
func (d *Detector) proveParts(now tables.Instant, r *attempt) []Suspect {
	var reports []Suspect
	for _, part := range r.work.Parts {
		if d.provePart(part, r.firstToken) {
			reports = append(reports, Suspect{Part: part, Cleared: true, Age: now - r.firstToken})
		}
	}
	return reports
}

// isSuspected reports whether a request is convicted or a candidate of an incident.
func (d *Detector) isSuspected(f tables.Fingerprint) bool {
	if len(d.evidence) == 0 && len(d.convicted) == 0 {
		return false
	}
	_, convicted := d.convicted[f]
	return convicted || d.evidence[f].incidents > 0
}

// hasOutrun reports whether the attempt has gone on well beyond all points at which its request crashed
// endpoints.
func (d *Detector) hasOutrun(r *attempt) bool {
	known := false
	for _, i := range d.incidents {
		c := i.find(r.work.Request)
		if c == nil || c.cleared {
			continue
		}
		known = true
		p := c.crashPoint
		if r.progress <= p.SinceFirstToken+d.options.OutliveMargin || r.attemptTokens <= p.AttemptTokens+crashPointTolerance {
			return false
		}
	}
	return known
}
