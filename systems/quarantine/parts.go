package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

// Part identifies a part of prompts that several requests may share. Zero stands for none.
type Part uint64

// Work identifies what an attempt runs.
type Work struct {
	// Request is equal for repetitions of one request.
	Request tables.Fingerprint
	// Parts are those parts of the prompt that other requests may share.
	Parts []Part
}

const (
	// A part is convicted after newPartCrashes crashes that were not simultaneous, or after
	// manyPartCrashes. If prompts with it were completed lately it takes provenPartCrashes that
	// were not simultaneous and span provenPartSpan: a part of many prompts is in question at most
	// crashes, whatever their cause.
	newPartCrashes    = 2
	manyPartCrashes   = 3
	provenPartCrashes = 4
	provenPartSpan    = 3 * time.Second
	// minPartRequests is the number of different requests that must have met these crashes.
	// Otherwise it is the request that is at fault and not the part.
	minPartRequests = 2
	// simultaneousWindow is the time within which crashes count as one: endpoints that share a
	// host or a rack end together.
	simultaneousWindow = 100 * time.Millisecond
	// maxVouchers is about how many instances report a part as proven after its first crash.
	maxVouchers = 5
	// sameCrashWindow is how far apart two reports of one crash may appear. An endpoint takes
	// longer to start again.
	sameCrashWindow = time.Second
	// answerStartWindow is how long after its first token an attempt may have crashed its
	// endpoint by beginning its answer.
	answerStartWindow = 2 * time.Second
	// maxCrashesOfPart bounds the crashes that are kept for a part. The oldest is dropped first.
	maxCrashesOfPart = 16
)

// partCrash is a crash of an endpoint that was about to begin, or had just begun, an answer to a
// prompt with the part.
type partCrash struct {
	crash
	request tables.Fingerprint
	// proven is set if the part was proven at an instance that reported the crash.
	proven bool
}

// partRecord is what speaks against a part.
type partRecord struct {
	// crashes are ordered by time.
	crashes    []partCrash
	conviction conviction
	// requestedAt is when a request with the convicted part last came to this instance.
	requestedAt tables.Instant
	// convictable is set while the crashes suffice to convict the part, see Detector.scanParts, and
	// convictableSince is when that began.
	convictable      bool
	convictableSince tables.Instant
}

// latest returns the time of the latest crash; 0 for none.
func (r *partRecord) latest() tables.Instant {
	if len(r.crashes) == 0 {
		return 0
	}
	return r.crashes[len(r.crashes)-1].at
}

// addPartCrash records that a part was in question at a crash, and reports whether that is new. A
// completed answer that began after the crash has refuted it already.
func (d *Detector) addPartCrash(part Part, added partCrash) (isNew bool) {
	if begun, proven := d.uses.provenAt(part); proven && added.at <= begun {
		return false
	}
	r := d.partRecord(part)
	for n := range r.crashes {
		if known := &r.crashes[n]; known.isSame(&added.crash) {
			isNew = added.proven && !known.proven
			known.proven = known.proven || added.proven
			known.narrow(&added.crash)
			r.sortCrashes()
			return isNew
		}
	}
	r.crashes = append(r.crashes, added)
	r.sortCrashes()
	if len(r.crashes) > maxCrashesOfPart {
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	if r.conviction.count > 0 {
		d.extendConviction(part, r, added.at)
	}
	return true
}

func (r *partRecord) sortCrashes() {
	slices.SortStableFunc(r.crashes, func(a, b partCrash) int { return cmp.Compare(a.at, b.at) })
}

// partRecord returns the record of a part, and makes one if there is none. At the limit it drops the
// record with the oldest crash.
func (d *Detector) partRecord(part Part) *partRecord {
	if r := d.parts[part]; r != nil {
		return r
	}
	if len(d.parts) >= d.options.MaxParts {
		d.dropPart(d.oldestPart())
	}
	r := &partRecord{}
	d.parts[part] = r
	return r
}

func (d *Detector) dropPart(part Part) {
	delete(d.parts, part)
	delete(d.convictedParts, part)
}

// oldestPart returns the part whose latest crash is the oldest. Parts that are not convicted come
// first, lower ones among equals.
func (d *Detector) oldestPart() Part {
	var oldest Part
	first := true
	order := func(a, b Part) int {
		ra, rb := d.parts[a], d.parts[b]
		return cmp.Or(cmp.Compare(min(ra.conviction.count, 1), min(rb.conviction.count, 1)), cmp.Compare(ra.latest(), rb.latest()), cmp.Compare(a, b))
	}
	for part := range d.parts {
		if first || order(part, oldest) < 0 {
			oldest, first = part, false
		}
	}
	return oldest
}

// provePart records that an answer to a prompt with the part began at the given time and was completed,
// or has gone on for answerStartWindow. That refutes the crashes up to then. It reports whether other
// instances should know: they may be about to convict the part, or have convicted it.
func (d *Detector) provePart(part Part, begun tables.Instant) (report bool) {
	r := d.parts[part]
	if r == nil {
		d.uses.prove(part, begun)
		return false
	}
	suspected := r.conviction.count > 0 || len(r.crashes) >= newPartCrashes
	wasProven := d.isProven(part, r.crashes)
	d.uses.prove(part, begun)
	crashes := len(r.crashes)
	r.crashes = slices.DeleteFunc(r.crashes, func(c partCrash) bool { return c.at <= begun })
	refuted := len(r.crashes) < crashes
	if r.conviction.count > 0 && r.conviction.at <= begun {
		d.release(part, r)
	}
	acquitted := d.acquitPart(part)
	if len(r.crashes) == 0 && r.conviction.count == 0 {
		d.dropPart(part)
	}
	return suspected && (refuted || acquitted || !wasProven)
}

// acquitPart ends the conviction of a part that is acquitted, and reports whether it did.
func (d *Detector) acquitPart(part Part) bool {
	r := d.parts[part]
	if r.conviction.count == 0 || !d.isAcquitted(part, r.conviction) {
		return false
	}
	d.release(part, r)
	return true
}

// partExpiryInterval is the interval between two calls of expireParts that have an effect.
const partExpiryInterval = time.Second

// expireParts drops what is older than Options.Retention.
func (d *Detector) expireParts(now tables.Instant) {
	if now-d.partsExpiredAt < partExpiryInterval {
		return
	}
	d.partsExpiredAt = now
	for part, r := range d.parts {
		r.crashes = slices.DeleteFunc(r.crashes, func(c partCrash) bool { return now-c.at > d.options.Retention })
		if len(r.crashes) == 0 && (r.conviction.count == 0 || now-d.releaseAt(part, r) > d.options.Retention) {
			d.dropPart(part)
		}
	}
}

// unexplained returns the crashes of a part that no other convicted part, no convicted request and no
// mass failure explains.
func (d *Detector) unexplained(part Part, r *partRecord) []partCrash {
	var crashes []partCrash
	for n := range r.crashes {
		if c := &r.crashes[n]; !d.isExplained(part, &c.crash) && !d.isMassFailure(r, &c.crash) {
			crashes = append(crashes, *c)
		}
	}
	return crashes
}

func (d *Detector) isExplained(part Part, c *crash) bool {
	for other, r := range d.convictedParts {
		if other != part && r.has(c) {
			return true
		}
	}
	if len(d.convicted) == 0 {
		return false
	}
	for _, i := range d.incidents {
		if i.isSame(c) && d.hasConvictedCandidate(i) {
			return true
		}
	}
	return false
}

func (r *partRecord) has(c *crash) bool {
	return slices.ContainsFunc(r.crashes, func(known partCrash) bool { return known.isSame(c) })
}

// isConvictable reports whether the given crashes suffice to convict a part.
func (d *Detector) isConvictable(part Part, crashes []partCrash) bool {
	moments, last := 0, tables.Instant(0)
	requests := map[tables.Fingerprint]bool{}
	for n, c := range crashes {
		if n == 0 || c.at-last > simultaneousWindow {
			moments, last = moments+1, c.at
		}
		requests[c.request] = true
	}
	if len(requests) < minPartRequests {
		return false
	}
	if r := d.parts[part]; r != nil && d.isProven(part, r.crashes) {
		return moments >= provenPartCrashes && crashes[len(crashes)-1].at-crashes[0].at >= provenPartSpan
	}
	return moments >= newPartCrashes || len(crashes) >= manyPartCrashes
}

// isProven reports whether answers to prompts with the part were completed lately, or went on for
// answerStartWindow, here or at an instance that has said so.
func (d *Detector) isProven(part Part, crashes []partCrash) bool {
	_, proven := d.uses.provenAt(part)
	return proven || slices.ContainsFunc(crashes, func(c partCrash) bool { return c.proven })
}

// vouch returns the report that the part of a merged crash is proven, if this instance knows that
// and the others, who may be about to convict the part, do not.
func (d *Detector) vouch(now tables.Instant, part Part, merged partCrash) []Suspect {
	r := d.parts[part]
	if r == nil || slices.ContainsFunc(r.crashes, func(c partCrash) bool { return c.proven }) {
		return nil
	}
	if len(r.crashes) < newPartCrashes && d.turn(part) >= maxVouchers {
		return nil
	}
	if _, proven := d.uses.provenAt(part); !proven {
		return nil
	}
	for n := range r.crashes {
		r.crashes[n].proven = true
	}
	return []Suspect{{
		Part: part, Fingerprint: merged.request, Incarnation: merged.incarnation, UpBefore: max(0, merged.at-merged.upAt), Proven: true, Age: now - merged.at,
	}}
}

// mayBeConvicted is isConvictable without regard to other causes. It is cheap.
func (d *Detector) mayBeConvicted(part Part) bool {
	r := d.parts[part]
	return r != nil && r.conviction.count == 0 && len(r.crashes) >= newPartCrashes
}
