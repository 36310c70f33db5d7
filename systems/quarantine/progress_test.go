package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// longAnswer is how long the answers of these tests run, recoveryTime the time after the last crash from
// which their callers must be served.
const (
	longAnswer   = 10 * time.Second
	recoveryTime = 3 * time.Second
)

// busiest returns the endpoint that runs most requests.
func (f *fleet) busiest() *fakeEndpoint {
	best := f.endpoints[0]
	for _, e := range f.endpoints {
		if f.now >= e.downAt && len(e.runs) > len(best.runs) {
			best = e
		}
	}
	return best
}

// Guards against a part that is blamed for two crashes of other causes while all requests with it run for longer than it is in use.
func TestNewPartOfLongAnswersSurvivesUnrelatedCrashes(t *testing.T) {
	for _, test := range []struct{ first, between time.Duration }{
		{2500 * time.Millisecond, 1200 * time.Millisecond},
		{time.Second, 900 * time.Millisecond},
		{600 * time.Millisecond, 300 * time.Millisecond},
		{4 * time.Second, 0},
	} {
		t.Run(fmt.Sprint(test.first, " ", test.between), func(t *testing.T) {
			for seed := range uint64(25) {
				f := newPartFleet(seed, 3, 7)
				f.soundRate = 0
				serial := tables.Fingerprint(0)
				run := func(d time.Duration) {
					for end := f.now + d; f.now < end; {
						serial++
						f.submit(&fakeRequest{work: Work{Request: serial, Parts: []Part{500}}, instance: f.rand.IntN(3), duration: longAnswer, resends: 2})
						f.runParts(80 * time.Millisecond)
					}
				}
				run(test.first)
				f.crash(f.busiest())
				run(test.between)
				f.crash(f.busiest())
				run(recoveryTime)
				before := f.rejected[false]
				run(5 * time.Second)
				assert.Equal(t, f.rejected[false]-before, 0, "seed %d", seed)
			}
		})
	}
}

// Guards against a request of many callers that is blamed for two crashes of other causes.
func TestRequestOfManyCallersSurvivesUnrelatedCrashes(t *testing.T) {
	for seed := range uint64(25) {
		f := newFleetOf(seed, 3, 7)
		run := func(d time.Duration) {
			for end := f.now + d; f.now < end; {
				f.submit(&fakeRequest{work: Work{Request: 7}, instance: f.rand.IntN(3), duration: longAnswer, resends: 2})
				f.run(80*time.Millisecond, 0)
			}
		}
		run(2500 * time.Millisecond)
		f.crash(f.busiest())
		f.crash(f.busiest())
		run(recoveryTime)
		before := f.rejected[false]
		run(5 * time.Second)
		assert.Equal(t, f.rejected[false]-before, 0, "seed %d", seed)
	}
}

// Guards against a bad part that is taken for proven while long answers to sound prompts go on beside it.
func TestBadPartBesideLongAnswersIsRejected(t *testing.T) {
	for name, crashAfter := range map[string]time.Duration{
		"at the start": 0, "0.6 s after the first token": 600 * time.Millisecond, "1 s after the first token": time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(25) {
				f := newPartFleet(seed, 9, 18)
				f.soundDuration, f.badDuration = longAnswer, firstToken+crashAfter
				f.runParts(10 * time.Second)
				f.bad = []Part{500}
				f.runParts(20 * time.Second)
				assert.Assert(t, f.rejected[true] > 0, "seed %d: never rejected", seed)
				assert.Assert(t, f.lateStarts() <= lateAllowed, "seed %d: %d dispatched late", seed, f.lateStarts())
				assert.Assert(t, f.rejected[false]*100 <= f.completed, "seed %d: %d sound requests rejected, %d completed", seed, f.rejected[false], f.completed)
			}
		})
	}
}

// answer has an attempt with the part 9 produce a token every 100 ms for the given time.
func answer(d *Detector, from tables.Instant, id tables.AttemptID, endpoint tables.EndpointID, length time.Duration) (reports []Suspect, end tables.Instant) {
	d.Started(from, id, Incarnation{Endpoint: endpoint}, Work{Request: tables.Fingerprint(len(id)), Parts: []Part{9}})
	for end = from; end-from <= length; end += 100 * time.Millisecond {
		reports = append(reports, d.Progressed(end, id, 1)...)
	}
	return reports, end
}

// crashWith returns the report that an endpoint crashed while another instance began an answer with the part 9.
func crashWith(endpoint tables.EndpointID, f tables.Fingerprint) Suspect {
	return Suspect{Part: 9, Fingerprint: f, Incarnation: Incarnation{Endpoint: endpoint}}
}

// Guards against a stall between two events, during which the endpoint may have crashed, that proves a part.
func TestStallProvesNoPart(t *testing.T) {
	d := New(Options{})
	d.Started(1, "x", Incarnation{Endpoint: "a"}, Work{Request: 1, Parts: []Part{9}})
	d.Progressed(1, "x", 1)
	d.Progressed(10*time.Second, "x", 2)
	assert.Assert(t, !d.isProven(9, nil))
	d.Progressed(11*time.Second, "x", 3)
	assert.Assert(t, !d.isProven(9, nil))
	d.Progressed(11100*time.Millisecond, "x", 4)
	assert.Assert(t, d.isProven(9, nil))
}

// Guards against a proof that stays at the instance that has it, and against one report for each event.
func TestLongAnswerAcquitsPartAtAllInstances(t *testing.T) {
	knows, other := New(Options{}), New(Options{})
	work := Work{Request: 99, Parts: []Part{9}}
	now := tables.Instant(time.Second)
	for n, endpoint := range []tables.EndpointID{"a", "b"} {
		for _, d := range []*Detector{knows, other} {
			assert.Equal(t, len(d.Merge(now, crashWith(endpoint, tables.Fingerprint(n+1)))), 0)
		}
		now += 200 * time.Millisecond
	}
	assert.Equal(t, other.Verdict(now, work), Defer)
	now += time.Second
	assert.Equal(t, other.Verdict(now, work), Reject)
	conviction := other.ConvictionReports(now, 1)[0]
	assert.Equal(t, len(knows.Merge(now, conviction)), 0)
	assert.Equal(t, knows.Verdict(now, work), Reject)

	reports, end := answer(knows, now-1500*time.Millisecond, "x", "c", 5*time.Second)
	assert.Equal(t, len(reports), 1)
	assert.Equal(t, knows.Verdict(end, work), Allow)
	other.Merge(end, reports[0])
	assert.Equal(t, other.Verdict(end, work), Allow)

	// An instance that has missed the report still spreads the conviction, and is told.
	replies := knows.Merge(end, conviction)
	assert.Equal(t, len(replies), 1)
	assert.Assert(t, replies[0].Cleared)
	assert.Equal(t, knows.Verdict(end, work), Allow)
	conviction.Proven = true
	knows.Merge(end, conviction)
	assert.Equal(t, knows.Verdict(end, work), Reject)
}

// Guards against an old proof that shields a part from the day on which it turns bad.
func TestPartThatTurnsBadIsConvictedDespiteLongAnswers(t *testing.T) {
	d := New(Options{})
	_, now := answer(d, tables.Instant(time.Second), "x", "z", 5*time.Second)
	for n := range provenPartCrashes {
		now += 1100 * time.Millisecond
		d.Merge(now, crashWith(tables.EndpointID(fmt.Sprint("e", n)), tables.Fingerprint(n+1)))
	}
	work := Work{Request: 99, Parts: []Part{9}}
	assert.Equal(t, d.Verdict(now, work), Defer)
	now += time.Second
	assert.Equal(t, d.Verdict(now, work), Reject)
	answer(d, now-3*time.Second, "late", "y", 4*time.Second)
	assert.Equal(t, d.Verdict(now, work), Reject)
}

// Guards against a silent endpoint whose crash is noticed late and is then not held against the part.
func TestCrashNoticedAfterSilenceCountsAgainstPart(t *testing.T) {
	d := New(Options{})
	d.Started(1, "x", Incarnation{Endpoint: "a"}, Work{Request: 1, Parts: []Part{9}})
	d.Progressed(1, "x", 1)
	now := tables.Instant(time.Second)
	d.Progressed(now, "x", 25)
	now += 1200 * time.Millisecond
	d.Interrupted(now, "x", 25, 25)
	reports := d.Crashed(now, Incarnation{Endpoint: "a"})
	assert.Equal(t, len(reports), 2)
	assert.Equal(t, reports[1].Part, Part(9))
}

// Guards against a conviction of a request that other instances repeat after it was cleared.
func TestClearedRequestIsNotConvictedAgainByOldReport(t *testing.T) {
	d := New(Options{})
	d.Merge(1, Suspect{Fingerprint: 7, Convicted: true})
	assert.Equal(t, d.Verdict(2, Work{Request: 7}), Reject)
	d.Merge(3, Suspect{Fingerprint: 7, Cleared: true})
	assert.Equal(t, d.Verdict(4, Work{Request: 7}), Allow)
	replies := d.Merge(1000, Suspect{Fingerprint: 7, Convicted: true, Age: 999})
	assert.Equal(t, len(replies), 1)
	assert.Assert(t, replies[0].Cleared)
	assert.Equal(t, d.Verdict(1000, Work{Request: 7}), Allow)
	d.Merge(1000, Suspect{Fingerprint: 7, Convicted: true, Age: 1})
	assert.Equal(t, d.Verdict(1000, Work{Request: 7}), Reject)
}

// Guards against an old clearance, told to somebody who missed it, that ends a later conviction.
func TestOldClearanceDoesNotEndLaterConviction(t *testing.T) {
	d := New(Options{})
	now := tables.Instant(100 * time.Second)
	for n := range 2 {
		d.Merge(now+tables.Instant(n)*time.Second*4, Suspect{Fingerprint: 7, Incarnation: Incarnation{Endpoint: tables.EndpointID(fmt.Sprint("e", n))}, CrashPoint: CrashPoint{Likely: true}})
	}
	now += 5 * time.Second
	assert.Equal(t, d.Verdict(now, Work{Request: 7}), Reject)
	d.Merge(now, Suspect{Fingerprint: 7, Cleared: true, Age: 10 * time.Second})
	assert.Equal(t, d.Verdict(now, Work{Request: 7}), Reject)
	d.Merge(now, Suspect{Fingerprint: 7, Cleared: true, Age: 3 * time.Second})
	assert.Equal(t, d.Verdict(now, Work{Request: 7}), Reject)
	d.Merge(now, Suspect{Fingerprint: 7, Cleared: true})
	assert.Equal(t, d.Verdict(now, Work{Request: 7}), Allow)
}

// Guards against an instance that answers each repeated conviction with a report to all others.
func TestRefutationsAreBounded(t *testing.T) {
	d := New(Options{})
	answer(d, tables.Instant(time.Second), "x", "z", 5*time.Second)
	d.Merge(tables.Instant(6*time.Second), Suspect{Fingerprint: 7, Convicted: true})
	d.Merge(tables.Instant(6*time.Second), Suspect{Fingerprint: 7, Cleared: true})
	replies := 0
	for n := range 1000 {
		now := tables.Instant(7*time.Second + time.Duration(n)*time.Millisecond)
		replies += len(d.Merge(now, Suspect{Part: 9, Convicted: true, Convictions: 1, Age: 3 * time.Second}))
		replies += len(d.Merge(now, Suspect{Fingerprint: 7, Convicted: true, Age: 2 * time.Second}))
	}
	assert.Assert(t, replies > 0 && replies <= 6, "%d replies", replies)
}
