package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// firstSentence and secondSentence are how long the first two convictions of a part last.
	// maxTrials is how often a part is tried again after a conviction. Then it stays convicted until
	// no request with it has come for Options.Retention.
	firstSentence  = time.Minute
	secondSentence = 4 * time.Minute
	maxTrials      = 2
	// releaseStagger is how much earlier the instance that owns a part tries it again than the
	// others. If it crashes the endpoint of that one, the others convict it again.
	releaseStagger = 30 * time.Second
)

// conviction is that of a part. The zero value stands for none.
type conviction struct {
	// at is the time of the crash that convicted the part, or of the last one since.
	at tables.Instant
	// count counts the convictions in a row, between which no prompt with the part was completed.
	count int
	// proven is set if the part was proven when it was convicted.
	proven bool
	// released is set once an operator has ended the conviction early.
	released bool
	// fromReport is set if at is that of another instance's conviction.
	fromReport bool
}

// length returns how long the conviction lasts, counted from the last request if isFinal.
func (c conviction) length(longest time.Duration) time.Duration {
	switch {
	case c.isFinal():
		return longest
	case c.count == 1:
		return min(firstSentence, longest)
	default:
		return min(secondSentence, longest)
	}
}

// isFinal reports whether the part has crashed endpoints in all its trials.
func (c conviction) isFinal() bool { return c.count > maxTrials }

// PartChange is the conviction or the release of a part.
type PartChange struct {
	Part Part
	// Endpoints are those that crashed; empty for a release.
	Endpoints []tables.EndpointID
	// Length is how long requests with the part are rejected; 0 for a release.
	Length time.Duration
	// Count counts the convictions in a row.
	Count int
}

// TakePartChanges returns the convictions and releases since the last call.
func (d *Detector) TakePartChanges() []PartChange {
	changes := d.partChanges
	d.partChanges = nil
	return changes
}

// releaseAt returns when this instance runs requests with a convicted part again, one at a time.
func (d *Detector) releaseAt(part Part, r *partRecord) tables.Instant {
	if r.conviction.released {
		return 0
	}
	from := r.conviction.at
	if r.conviction.isFinal() {
		from = max(from, r.requestedAt)
	}
	at := from + r.conviction.length(d.options.Retention)
	if !d.ownsPart(part) {
		at += releaseStagger
	}
	return at
}

// ownsPart reports whether this instance is the first that tries a convicted part again.
func (d *Detector) ownsPart(part Part) bool {
	return d.turn(part) == 0
}

// partScanInterval is the time between two scans while a part may be convicted. A scan compares all
// parts in question.
const partScanInterval = 100 * time.Millisecond

// scanParts convicts the parts whose crashes suffice and have settled, one after the other, since
// each conviction may explain the crashes of other parts.
func (d *Detector) scanParts(now tables.Instant) {
	if now-d.partsScannedAt < partScanInterval {
		return
	}
	d.partsScannedAt = now
	for {
		suspects := d.partSuspects(now)
		if len(suspects) == 0 || now-d.parts[suspects[0].part].convictableSince < d.options.SettleDelay {
			return
		}
		main := &suspects[0]
		r := d.parts[main.part]
		d.convictPart(main.part, r, conviction{at: main.crashes[len(main.crashes)-1].at, count: 1, proven: d.isProven(main.part, r.crashes)})
	}
}

// partSuspect is a part that may be convicted of the given crashes.
type partSuspect struct {
	part    Part
	use     partUse
	crashes []partCrash
}

// partSuspects returns the parts whose crashes suffice and are not explained by anything else, the
// most likely cause first: a part of which no prompt was completed, then the one with most crashes,
// then the one in fewer prompts, since the parts that accompany it are in other prompts too.
func (d *Detector) partSuspects(now tables.Instant) []partSuspect {
	var suspects []partSuspect
	for part, r := range d.parts {
		was := r.convictable
		r.convictable = false
		if !d.mayBeConvicted(part) {
			continue
		}
		if !d.isConvictable(part, r.crashes) {
			continue
		}
		crashes := d.unexplained(part, r)
		if !d.isConvictable(part, crashes) {
			continue
		}
		if r.convictable = true; !was {
			r.convictableSince = now
		}
		suspects = append(suspects, partSuspect{part: part, use: d.uses.get(part), crashes: crashes})
	}
	slices.SortFunc(suspects, func(a, b partSuspect) int {
		return cmp.Or(compareBool(a.use.proven, b.use.proven), cmp.Compare(len(b.crashes), len(a.crashes)),
			cmp.Compare(a.use.attempts, b.use.attempts), cmp.Compare(a.part, b.part))
	})
	return suspects
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func (d *Detector) convictPart(part Part, r *partRecord, c conviction) {
	r.conviction, r.convictable = c, false
	d.convictedParts[part] = r
	change := PartChange{Part: part, Length: c.length(d.options.Retention), Count: c.count}
	for n := range r.crashes {
		change.Endpoints = append(change.Endpoints, r.crashes[n].incarnation.Endpoint)
	}
	d.partChanges = append(d.partChanges, change)
}

// extendConviction records a crash under a convicted part. One after the release is a new
// conviction; one before it comes from an attempt that was running already.
func (d *Detector) extendConviction(part Part, r *partRecord, at tables.Instant) {
	c := r.conviction
	inForce := !c.released && (at < c.at+c.length(d.options.Retention) || c.isFinal())
	if at >= c.at {
		c.at, c.fromReport = at, false
	}
	c.released = false
	if inForce {
		r.conviction = c
		return
	}
	c.count++
	c.proven = d.isProven(part, r.crashes)
	d.convictPart(part, r, c)
}

// mergeConviction applies another instance's conviction. If that is refuted here, it returns the report
// that says so.
func (d *Detector) mergeConviction(now tables.Instant, part Part, c conviction) []Suspect {
	begun, proven := d.uses.provenAt(part)
	if proven && (c.at <= begun || d.isAcquitted(part, c)) {
		return d.refute(now, Suspect{Part: part, Cleared: true, Age: now - begun})
	}
	r := d.partRecord(part)
	switch {
	case c.count > r.conviction.count:
		if r.conviction.at >= c.at {
			c.at, c.fromReport = r.conviction.at, r.conviction.fromReport
		}
		d.convictPart(part, r, c)
	case c.count == r.conviction.count:
		if c.at > r.conviction.at {
			r.conviction.at, r.conviction.fromReport = c.at, true
		}
		r.conviction.proven = r.conviction.proven || c.proven
		r.conviction.released = r.conviction.released || c.released
	}
	return nil
}

// isAcquitted reports whether a conviction does not hold since the part is proven: that was not known
// when it was convicted, and its crashes do not suffice to convict a proven part.
func (d *Detector) isAcquitted(part Part, c conviction) bool {
	var crashes []partCrash
	if r := d.parts[part]; r != nil {
		crashes = r.crashes
	}
	return !c.proven && d.isProven(part, crashes) && !d.isConvictable(part, crashes)
}

// release ends a conviction.
func (d *Detector) release(part Part, r *partRecord) {
	r.conviction = conviction{}
	delete(d.convictedParts, part)
	d.partChanges = append(d.partChanges, PartChange{Part: part})
}

// ReleasePart ends the conviction of a part early, and returns the report for the other instances;
// none if the part is not convicted. The next crash convicts it again.
func (d *Detector) ReleasePart(now tables.Instant, part Part) []Suspect {
	r := d.parts[part]
	if r == nil || r.conviction.count == 0 {
		return nil
	}
	r.conviction.released = true
	return []Suspect{r.conviction.report(now, part)}
}

// report returns the report of a conviction for other instances.
func (c conviction) report(now tables.Instant, part Part) Suspect {
	return Suspect{Part: part, Convicted: true, Convictions: c.count, Proven: c.proven, Released: c.released, Age: ageOf(now, c.at, c.fromReport)}
}

// partVerdict returns the restriction under which a request with the part may run now.
func (d *Detector) partVerdict(now tables.Instant, part Part) Verdict {
	r := d.parts[part]
	switch {
	case r == nil:
		return Allow
	case r.conviction.count > 0:
		rejected := now < d.releaseAt(part, r) || d.isTried(now, part)
		r.requestedAt = now
		if rejected {
			return Reject
		}
		return Allow
	case r.convictable, d.holds(now, part, r):
		return Defer
	default:
		return Allow
	}
}

// Conviction is a part that is convicted, for operators and for callers.
type Conviction struct {
	PartChange
	// ReleaseIn is the time until this instance runs requests with the part again.
	ReleaseIn time.Duration
}

// Convictions returns the convicted parts, ordered by part.
func (d *Detector) Convictions(now tables.Instant) []Conviction {
	var all []Conviction
	for part, r := range d.convictedParts {
		c := Conviction{
			PartChange: PartChange{Part: part, Length: r.conviction.length(d.options.Retention), Count: r.conviction.count},
			ReleaseIn:  max(0, d.releaseAt(part, r)-now),
		}
		for n := range r.crashes {
			c.Endpoints = append(c.Endpoints, r.crashes[n].incarnation.Endpoint)
		}
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b Conviction) int { return cmp.Compare(a.Part, b.Part) })
	return all
}

// ConvictedPart returns the first part because of which the work is rejected.
func (d *Detector) ConvictedPart(now tables.Instant, work Work) (Conviction, bool) {
	for _, part := range work.Parts {
		if r := d.parts[part]; r != nil && r.conviction.count > 0 && d.partVerdict(now, part) == Reject {
			return Conviction{PartChange: PartChange{Part: part, Count: r.conviction.count}, ReleaseIn: max(0, d.releaseAt(part, r)-now)}, true
		}
	}
	return Conviction{}, false
}
