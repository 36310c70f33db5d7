package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// crashesAllowed is how many endpoints may end under a part before noticeTime runs, after which
	// lateAllowed requests with it may still be dispatched.
	crashesAllowed = 5
	noticeTime     = 3 * time.Second
	lateAllowed    = 3
	// badInterval is the time between two requests with a bad part.
	badInterval = 100 * time.Millisecond
	// defaultSoundRate is the number of sound requests in a second, and defaultSoundDuration how long
	// the longest of them runs.
	defaultSoundRate     = 25
	defaultSoundDuration = 2400 * time.Millisecond
)

// partFleet is a fleet whose requests have parts: one of a few that are common to all requests of an
// organisation, one of a document, and one of a session.
type partFleet struct {
	*fleet
	soundRate     float64
	soundDuration time.Duration
	// bad holds the bad parts, which take turns; empty for none.
	bad []Part
	// badDuration is how long an attempt with a bad part runs before it crashes its endpoint; 0 for a
	// random time of at most 350 ms.
	badDuration time.Duration
	nextBad     tables.Instant
	badCount    int
	sessionOf   Part
	gossipAt    tables.Instant
}

func newPartFleet(seed uint64, instances, endpoints int) *partFleet {
	return &partFleet{fleet: newFleetOf(seed, instances, endpoints), soundRate: defaultSoundRate, soundDuration: defaultSoundDuration, sessionOf: 1000}
}

// soundParts returns the parts of a sound prompt.
func (f *partFleet) soundParts() []Part {
	if f.rand.IntN(4) == 0 {
		f.sessionOf++
	}
	document := 20 + min(f.rand.IntN(40), f.rand.IntN(40))
	return []Part{Part(1 + f.rand.IntN(8)), Part(document), f.sessionOf - Part(f.rand.IntN(8))}
}

// runParts simulates the time d.
func (f *partFleet) runParts(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		if f.rand.Float64() < f.soundRate*step.Seconds() {
			f.submit(&fakeRequest{
				work: Work{Request: tables.Fingerprint(f.rand.Uint64() | 1), Parts: f.soundParts()}, instance: f.rand.IntN(len(f.instances)),
				duration: 400*time.Millisecond + time.Duration(f.rand.Int64N(int64(f.soundDuration-400*time.Millisecond))),
			})
		}
		if len(f.bad) > 0 && f.now >= f.nextBad {
			f.nextBad = f.now + badInterval
			f.submitBad()
		}
		if f.now >= f.gossipAt {
			f.gossipAt = f.now + time.Second
			f.gossip()
		}
		f.tick()
	}
}

// submitBad submits a request with a bad part, whose other parts are those of sound ones.
func (f *partFleet) submitBad() {
	parts := f.soundParts()
	parts[f.rand.IntN(2)+1] = f.bad[f.badCount%len(f.bad)]
	f.badCount++
	r := &fakeRequest{
		work: Work{Request: tables.Fingerprint(f.rand.Uint64() &^ 1), Parts: parts}, isPoison: true, instance: f.rand.IntN(len(f.instances)), maxAttempts: 2,
		duration: 50*time.Millisecond + time.Duration(f.rand.Int64N(int64(300*time.Millisecond))),
	}
	if f.badDuration > 0 {
		r.duration = f.badDuration
	}
	f.submit(r)
}

// gossip has each instance send its convictions to two others.
func (f *partFleet) gossip() {
	for from, d := range f.instances {
		reports := d.ConvictionReports(f.now, 64)
		for range 2 {
			to := f.rand.IntN(len(f.instances))
			if to == from || f.isLost != nil && f.isLost(from, to) {
				continue
			}
			for _, report := range reports {
				f.messages = append(f.messages, message{to: to, due: f.now + gossipDelay, suspect: report})
			}
		}
	}
}

// restartInstance has an instance lose what it knows, and its requests.
func (f *partFleet) restartInstance(i int) {
	for _, r := range f.requests {
		if r.instance == i && r.endpoint != nil {
			f.removeFromEndpoint(r)
			r.ended = true
		}
	}
	f.startInstance(i)
}

// lateStarts counts the requests with bad parts that were dispatched after noticeTime.
func (f *partFleet) lateStarts() int {
	if len(f.crashTimes) < crashesAllowed*len(f.bad) {
		return 0
	}
	return countAfter(f.poisonStarts, f.crashTimes[crashesAllowed*len(f.bad)-1]+noticeTime)
}

func countAfter(times []tables.Instant, at tables.Instant) int {
	count := 0
	for _, t := range times {
		if t > at {
			count++
		}
	}
	return count
}

// Guards against endpoints that crash one after the other while each request with the bad part is new, and against sound requests that are rejected beside them.
func TestBadPartIsRejectedAndSoundRequestsAreNot(t *testing.T) {
	const seeds = 25
	cut := func(from, to int) bool { return from%2 != to%2 }
	for name, test := range map[string]struct {
		instances, endpoints int
		bad                  []Part
		disturb              func(f *partFleet)
	}{
		"9 endpoints":       {9, 9, []Part{500}, func(f *partFleet) { f.runParts(20 * time.Second) }},
		"18 endpoints":      {6, 18, []Part{500}, func(f *partFleet) { f.runParts(20 * time.Second) }},
		"60 instances":      {60, 30, []Part{500}, func(f *partFleet) { f.runParts(20 * time.Second) }},
		"two parts in turn": {9, 18, []Part{500, 501}, func(f *partFleet) { f.runParts(20 * time.Second) }},
		"a third of the reports is lost": {9, 9, []Part{500}, func(f *partFleet) {
			f.isLost = func(int, int) bool { return f.rand.IntN(3) == 0 }
			f.runParts(20 * time.Second)
		}},
		"instances restart in turn": {9, 9, []Part{500}, func(f *partFleet) {
			for i := range 2 * len(f.instances) {
				f.runParts(1200 * time.Millisecond)
				f.restartInstance(i % len(f.instances))
			}
		}},
		"all instances restart at once": {9, 18, []Part{500}, func(f *partFleet) {
			f.runParts(8 * time.Second)
			for i := range f.instances {
				f.restartInstance(i)
			}
			f.runParts(12 * time.Second)
		}},
		"for minutes": {9, 9, []Part{500}, func(f *partFleet) { f.runParts(400 * time.Second) }},
		"two halves cut off from each other": {9, 18, []Part{500}, func(f *partFleet) {
			f.isLost = cut
			f.runParts(10 * time.Second)
			f.isLost = nil
			f.runParts(10 * time.Second)
		}},
		"beside a mass failure": {9, 30, []Part{500}, func(f *partFleet) {
			for i := range 10 {
				f.crash(f.endpoints[i])
			}
			f.runParts(20 * time.Second)
		}},
		"beside crashes of other causes": {9, 18, []Part{500}, func(f *partFleet) {
			for range 10 {
				f.crash(f.endpoints[f.rand.IntN(len(f.endpoints))])
				f.runParts(2 * time.Second)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			crashes, worst, rejected, completed := 0, 0, 0, 0
			for seed := range uint64(seeds) {
				f := newPartFleet(seed, test.instances, test.endpoints)
				f.runParts(10 * time.Second)
				before := f.crashes
				f.bad = test.bad
				test.disturb(f)
				assert.Assert(t, f.rejected[true] > 0, "seed %d: never rejected", seed)
				assert.Assert(t, f.lateStarts() <= lateAllowed*len(f.bad), "seed %d: %d dispatched late", seed, f.lateStarts())
				crashes, worst = crashes+f.crashes-before, max(worst, f.crashes-before)
				rejected, completed = rejected+f.rejected[false], completed+f.completed
			}
			t.Logf("endpoints crashed: worst %d, mean %.2f; sound requests rejected: %d of %d", worst, float64(crashes)/seeds, rejected, completed)
			assert.Assert(t, rejected*100 <= completed, "%d sound requests rejected, %d completed", rejected, completed)
		})
	}
}

// Guards against a part of many prompts that is blamed for crashes of other causes: endpoints that end one after the other, and racks.
func TestPartsOfManyPromptsSurviveUnrelatedCrashes(t *testing.T) {
	rejected, completed := 0, 0
	for seed := range uint64(25) {
		f := newPartFleet(seed, 9, 16)
		f.runParts(5 * time.Second)
		for i := range 8 {
			f.crash(f.endpoints[i])
			f.runParts(time.Second)
		}
		for i := range 6 {
			f.crash(f.endpoints[8+i])
			f.runParts(20 * time.Millisecond)
		}
		f.runParts(10 * time.Second)
		rejected, completed = rejected+f.rejected[false], completed+f.completed
	}
	t.Logf("rejected %d sound requests, completed %d", rejected, completed)
	assert.Assert(t, rejected*100 <= completed, "rejected %d, completed %d", rejected, completed)
}

// Guards against parts that are blamed for waves of crashes of another cause while few prompts are completed.
func TestPartsSurviveWavesOfUnrelatedCrashes(t *testing.T) {
	const wave = 10
	rejected, completed := 0, 0
	for seed := range uint64(25) {
		f := newPartFleet(seed, 9, 3*wave)
		f.soundRate, f.soundDuration = 100, 3*time.Second
		f.runParts(time.Second)
		for i := range 3 {
			for e := range wave {
				f.crash(f.endpoints[i*wave+e])
				f.runParts(30 * time.Millisecond)
			}
			f.runParts(3 * time.Second)
		}
		f.runParts(5 * time.Second)
		rejected, completed = rejected+f.rejected[false], completed+f.completed
	}
	t.Logf("rejected %d sound requests, completed %d", rejected, completed)
	assert.Assert(t, rejected*100 <= completed, "rejected %d, completed %d", rejected, completed)
}
