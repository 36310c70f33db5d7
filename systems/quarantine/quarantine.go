// Package quarantine detects poison requests, also known as queries of death:
// requests that crash the endpoints that run them. Without it, one such request,
// retried and sent again by its caller, would take down one endpoint after another.
//
// The cause may also be a part of the prompt, in requests of which no two are alike,
// see Part.
//
// Each crash of an endpoint process is an incident, and the requests that were
// running there are its candidates. A request that is a candidate of two incidents,
// as the only one or with more evidence against it than against the other
// candidates, is convicted. It is rejected until the conviction expires. In the
// meantime, candidates that are likely causes run apart from each other, so that a
// second crash identifies one of them. A candidate that completes is cleared.
//
// The package is a pure state machine without a clock, goroutines or sockets. A
// Detector is not safe for concurrent use.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/tables"
)

// attempt is running, or was interrupted within Options.CrashDetectionLag.
type attempt struct {
	work        Work
	incarnation Incarnation
	verdict     Verdict
	startedAt   tables.Instant
	// firstToken and lastToken are the times of the first and the latest token; zero before the first.
	firstToken, lastToken tables.Instant
	// progress is the time for which the answer has gone on, see maxProgressGap.
	progress time.Duration
	// provedParts is set once the answer has proven the parts of the prompt.
	provedParts bool
	// safeAfter is how long after its first token a suspect has outlived its
	// earlier crashes. It need not be kept apart from other suspects from then on.
	safeAfter time.Duration
	// interruptedAt is zero while the attempt runs.
	interruptedAt tables.Instant
	attemptTokens int
	answerTokens  int
}

// Detector is the poison request detector of one instance. It correlates the
// crashes of endpoints with the requests that ran there. Its methods take readings
// of one monotonic clock that never decrease.
type Detector struct {
	options     Options
	attempts    map[tables.AttemptID]*attempt
	interrupted []tables.AttemptID
	incidents   []*incident
	convicted   map[tables.Fingerprint]tables.Instant
	// cleared holds when requests were cleared that other instances may have convicted.
	cleared map[tables.Fingerprint]tables.Instant
	// reportedConvictions holds those of convicted that another instance has reported.
	reportedConvictions map[tables.Fingerprint]bool
	// evidence sums up the incidents of each suspected request.
	evidence map[tables.Fingerprint]evidence
	// parts holds the parts that were in question at a crash or are convicted, uses those of the
	// prompts that ran of late.
	parts          map[Part]*partRecord
	convictedParts map[Part]*partRecord
	uses           partUses
	partChanges    []PartChange
	// endpointCrashes holds the crashes by which mass failures are recognised.
	endpointCrashes endpointCrashes
	// refutedAt is when this instance last refuted a conviction of another one.
	refutedAt tables.Instant
	// partsScannedAt and partsExpiredAt are the times of the last scanParts and expireParts.
	partsScannedAt, partsExpiredAt tables.Instant
	// rank and instances select the endpoints that this instance owns, see SetRank, by their
	// positions, see SetEndpoints.
	rank      int
	instances int
	positions map[tables.EndpointID]uint64
}

// New returns a Detector without suspects.
func New(o Options) *Detector {
	return &Detector{
		options:   o.withDefaults(),
		attempts:  make(map[tables.AttemptID]*attempt),
		convicted: make(map[tables.Fingerprint]tables.Instant),
		cleared:   make(map[tables.Fingerprint]tables.Instant),

		reportedConvictions: make(map[tables.Fingerprint]bool),
		evidence:            make(map[tables.Fingerprint]evidence),
		parts:               make(map[Part]*partRecord),

		convictedParts: make(map[Part]*partRecord),
		instances:      1,
		positions:      make(map[tables.EndpointID]uint64),
	}
}

// SetEndpoints sets the endpoints that the instances divide among themselves, in groups whose
// endpoints serve the same requests. Each instance owns an equal part of each group, so that it has
// an endpoint left when one has crashed. An endpoint of no group is assigned by its hash.
func (d *Detector) SetEndpoints(groups [][]tables.EndpointID) {
	clear(d.positions)
	for _, group := range groups {
		for position, id := range slices.Sorted(slices.Values(group)) {
			d.positions[id] = uint64(position)
		}
	}
}

// SetRank sets this instance's rank, with 0 <= rank < instances. For suspects, the
// endpoints are partitioned among the instances.
func (d *Detector) SetRank(rank, instances int) {
	if rank >= 0 && rank < instances {
		d.rank, d.instances = rank, instances
	}
}

// owns reports whether the endpoint belongs to this instance's partition.
func (d *Detector) owns(endpoint tables.EndpointID) bool {
	position, known := d.positions[endpoint]
	if !known {
		position = xxhash.Sum64String(string(endpoint))
	}
	return position%uint64(d.instances) == uint64(d.rank)
}

// maxPartsOfWork bounds the parts of one attempt that are watched.
const maxPartsOfWork = 64

// Started records the dispatch of an attempt.
func (d *Detector) Started(now tables.Instant, id tables.AttemptID, incarnation Incarnation, work Work) {
	work.Parts = work.Parts[:min(len(work.Parts), maxPartsOfWork)]
	r := &attempt{work: work, incarnation: incarnation, verdict: d.Verdict(now, work), startedAt: now}
	if r.verdict != Allow {
		r.safeAfter = d.longestRun(work.Request) + d.options.OutliveMargin
	}
	d.uses.start(now, work.Parts)
	d.attempts[id] = r
}

// Accepted records which process of the endpoint runs the attempt.
func (d *Detector) Accepted(id tables.AttemptID, boot tables.BootID) {
	if r := d.attempts[id]; r != nil {
		r.incarnation.Boot = boot
	}
}

// Completed records that an attempt ran to its end with success, which clears its request and the
// parts of its prompt. It returns the reports for the other instances.
func (d *Detector) Completed(now tables.Instant, id tables.AttemptID) []Suspect {
	r := d.attempts[id]
	if r == nil {
		return nil
	}
	delete(d.attempts, id)
	return append(d.clearRequest(now, r.work.Request), d.proveParts(now, r)...)
}

// Failed records that an attempt ran to its end with a failure that the endpoint reported. It
// clears the request, but no part: the endpoint need not have begun an answer.
func (d *Detector) Failed(now tables.Instant, id tables.AttemptID) {
	if r := d.attempts[id]; r != nil {
		delete(d.attempts, id)
		d.exonerate(now, r.work.Request)
	}
}

// Ended records the end of an attempt that says nothing about its request: the
// attempt never started, or it was cancelled.
func (d *Detector) Ended(id tables.AttemptID) { delete(d.attempts, id) }

// Interrupted records that an attempt broke off after tokens of its own, at position
// tokens of the whole answer. It remains a candidate for Options.CrashDetectionLag,
// since the crash of its endpoint is often noticed a little later.
func (d *Detector) Interrupted(now tables.Instant, id tables.AttemptID, tokens, position int) {
	r := d.attempts[id]
	if r == nil || r.interruptedAt != 0 {
		return
	}
	r.interruptedAt = max(now, 1)
	r.attemptTokens, r.answerTokens = max(r.attemptTokens, tokens), position
	d.interrupted = append(d.interrupted, id)
	d.expireInterrupted(now)
}

// expireInterrupted removes attempts interrupted before Options.CrashDetectionLag.
func (d *Detector) expireInterrupted(now tables.Instant) {
	kept := d.interrupted[:0]
	for _, id := range d.interrupted {
		r := d.attempts[id]
		if r == nil {
			continue
		}
		if now-r.interruptedAt > d.options.CrashDetectionLag {
			delete(d.attempts, id)
			continue
		}
		kept = append(kept, id)
	}
	d.interrupted = kept
}

// Crashed records the crash of an endpoint process and returns the reports for the
// other instances. It may be called again for the same process when more of its
// attempts have been interrupted.
func (d *Detector) Crashed(now tables.Instant, incarnation Incarnation) []Suspect {
	d.expireInterrupted(now)
	d.expire(now)
	ids := d.attemptsOn(incarnation)
	if len(ids) == 0 {
		return nil
	}
	i := d.incidentFor(d.crashOf(now, incarnation, ids))
	report := Suspect{Incarnation: incarnation, UpBefore: max(0, i.at-i.upAt), Age: now - i.at}
	var reports []Suspect
	for _, id := range ids {
		r := d.attempts[id]
		delete(d.attempts, id)
		report.Fingerprint = r.work.Request
		if point := d.crashPointOf(now, r); d.addCandidate(i, r.work.Request, point) {
			candidate := report
			candidate.CrashPoint = point
			reports = append(reports, candidate)
		}
		reports = append(reports, d.questionParts(now, r, i, report)...)
	}
	return reports
}

// crashPointOf returns the progress of an attempt whose endpoint has crashed by now.
func (d *Detector) crashPointOf(now tables.Instant, r *attempt) CrashPoint {
	point := CrashPoint{AttemptTokens: r.attemptTokens, AnswerTokens: r.answerTokens}
	if r.firstToken != 0 {
		point.SinceFirstToken = r.endedBy(now) - r.firstToken
	}
	point.Likely = point.SinceFirstToken < d.options.LikelyWindow
	return point
}

// endedBy returns when the attempt was interrupted, or now if it has not been noticed yet.
func (r *attempt) endedBy(now tables.Instant) tables.Instant {
	if r.interruptedAt != 0 {
		return r.interruptedAt
	}
	return now
}

// mayHaveCrashedByStart reports whether the endpoint of an attempt that was interrupted by the given
// time may have crashed since it was about to begin the answer or had just begun it.
func (r *attempt) mayHaveCrashedByStart(at tables.Instant) bool {
	return r.firstToken == 0 || !r.outlastedStart() && at-r.lastToken <= answerStartWindow
}

// questionParts records the crash of an attempt's endpoint against the parts of its prompt, if the
// attempt was about to begin its answer or had just begun it. It returns the new reports.
func (d *Detector) questionParts(now tables.Instant, r *attempt, i *incident, report Suspect) []Suspect {
	if !r.mayHaveCrashedByStart(r.endedBy(now)) {
		return nil
	}
	var reports []Suspect
	for _, part := range r.work.Parts {
		_, proven := d.uses.provenAt(part)
		if d.addPartCrash(part, partCrash{crash: i.crash, request: r.work.Request, proven: proven}) {
			report.Part, report.Proven = part, proven
			reports = append(reports, report)
		}
	}
	return reports
}

// IncarnationOf returns the endpoint process that an attempt ran at, known while it
// runs and for Options.CrashDetectionLag after its interruption.
func (d *Detector) IncarnationOf(id tables.AttemptID) (incarnation Incarnation, known bool) {
	r, known := d.attempts[id]
	if !known {
		return Incarnation{}, false
	}
	return r.incarnation, true
}

// attemptsOn returns the attempts of an endpoint process, sorted by ID so that the
// order is fixed. An attempt that the endpoint has not yet answered has no boot ID
// and counts for every process of the endpoint.
func (d *Detector) attemptsOn(incarnation Incarnation) []tables.AttemptID {
	var ids []tables.AttemptID
	for id, r := range d.attempts {
		if r.incarnation.Endpoint == incarnation.Endpoint && (r.incarnation.Boot == incarnation.Boot || r.incarnation.Boot == "") {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Merge applies a report of another instance. It returns the reports that follow from it for the
// other instances.
func (d *Detector) Merge(now tables.Instant, report Suspect) []Suspect {
	d.expire(now)
	if report.Age > d.options.Retention && !report.Convicted {
		return nil
	}
	at := now - report.Age
	switch {
	case report.Part != 0:
		return d.mergePart(now, at, report)
	case report.Cleared:
		d.clearRequest(at, report.Fingerprint)
	case report.Convicted:
		return d.mergeRequestConviction(now, at, report.Fingerprint)
	default:
		d.addCandidate(d.incidentFor(report.crash(at)), report.Fingerprint, report.CrashPoint)
	}
	return nil
}

// mergePart applies a report about a part.
func (d *Detector) mergePart(now, at tables.Instant, report Suspect) []Suspect {
	switch {
	case report.Cleared:
		d.provePart(report.Part, at)
	case report.Convicted:
		return d.mergeConviction(now, report.Part, conviction{at: at, count: max(report.Convictions, 1), proven: report.Proven, released: report.Released, fromReport: true})
	default:
		merged := partCrash{crash: d.incidentFor(report.crash(at)).crash, request: report.Fingerprint, proven: report.Proven}
		if d.addPartCrash(report.Part, merged) {
			d.acquitPart(report.Part)
			return d.vouch(now, report.Part, merged)
		}
	}
	return nil
}

// ConvictionReports returns the latest convictions, at most limit, for an instance that may have
// missed them.
func (d *Detector) ConvictionReports(now tables.Instant, limit int) []Suspect {
	d.expire(now)
	var all []Suspect
	for f, at := range d.convicted {
		all = append(all, Suspect{Fingerprint: f, Convicted: true, Age: ageOf(now, at, d.reportedConvictions[f])})
	}
	for part, r := range d.convictedParts {
		all = append(all, r.conviction.report(now, part))
	}
	slices.SortFunc(all, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Part, b.Part), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return all[:min(len(all), limit)]
}

// Admits reports whether an endpoint may take a request, by this instance's attempts.
func (d *Detector) Admits(now tables.Instant, endpoint tables.EndpointID, v Verdict) bool {
	if v >= Defer || (v == AvoidSuspectsOwned || v == ExclusiveOwned) && !d.owns(endpoint) {
		return false
	}
	for _, r := range d.attempts {
		if r.interruptedAt != 0 || r.incarnation.Endpoint != endpoint {
			continue
		}
		if v >= Exclusive || r.verdict >= Exclusive || v != Allow && r.verdict != Allow && !r.outlived(now) {
			return false
		}
	}
	return true
}

// outlived reports whether the attempt has outlived its request's crashes.
func (r *attempt) outlived(now tables.Instant) bool {
	return r.firstToken != 0 && now-r.firstToken > r.safeAfter
}

// Empty reports whether there is no incident and no conviction, so that every
// verdict is Allow and every endpoint admits. It takes constant time.
func (d *Detector) Empty() bool {
	return len(d.incidents) == 0 && len(d.convicted) == 0 && len(d.parts) == 0
}
