package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/tables"
)

// Guards against crashes of endpoints that come back under their IDs and are taken for one: of several requests that crash the three
// endpoints of a service in turn, the later ones are then never rejected.
func TestRequestsThatCrashRestartedEndpointsAreRejected(t *testing.T) {
	const (
		resendInterval = restartDelay + 300*time.Millisecond
		tries          = 14
		// allowedCrashes are three and, within noticeTime of the third, one more.
		allowedCrashes = 4
	)
	for _, sound := range []struct{ interval, duration time.Duration }{
		{110 * time.Millisecond, firstToken}, {40 * time.Millisecond, 600 * time.Millisecond}, {100 * time.Millisecond, 2 * time.Second},
	} {
		t.Run(fmt.Sprint(sound.interval, " ", sound.duration), func(t *testing.T) {
			worst := 0
			for seed := range uint64(25) {
				f := newFleet(seed, 3)
				for _, e := range f.endpoints {
					e.bootUnknown = true
				}
				run := func(d time.Duration) {
					for end := f.now + d; f.now < end; {
						f.submit(&fakeRequest{work: Work{Request: tables.Fingerprint(f.rand.Uint64() | 1)}, instance: f.rand.IntN(3), duration: sound.duration})
						f.run(sound.interval, 0)
					}
				}
				run(2 * time.Second)
				for poison := range 3 {
					before := f.crashes
					for try := range tries {
						f.submit(&fakeRequest{
							work: Work{Request: tables.Fingerprint(2*poison + 2)}, isPoison: true, instance: try % 3, maxAttempts: 1, duration: 30 * time.Millisecond,
						})
						run(resendInterval)
					}
					worst = max(worst, f.crashes-before)
					assert.Assert(t, f.crashes-before <= allowedCrashes, "seed %d: request %d crashed %d endpoints", seed, poison, f.crashes-before)
				}
				assert.Equal(t, f.rejected[false], 0, "seed %d: sound requests rejected", seed)
			}
			t.Logf("at most %d crashes by one request", worst)
		})
	}
}

// Guards against one crash that counts twice since instances notice it at different times, which convicts the requests that ran there.
func TestCrashNoticedAtDifferentTimesCountsOnce(t *testing.T) {
	for _, lag := range []time.Duration{0, 500 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
		for _, reportDelay := range []time.Duration{0, 50 * time.Millisecond, 5 * time.Second} {
			t.Run(fmt.Sprint(lag, " ", reportDelay), func(t *testing.T) {
				first, second := New(Options{}), New(Options{})
				endpoint := Incarnation{Endpoint: "a"}
				work := Work{Request: 7, Parts: []Part{9}}
				start := tables.Instant(10 * time.Second)
				for n, d := range []*Detector{first, second} {
					d.Started(start, tables.AttemptID(fmt.Sprint(n)), endpoint, work)
				}
				crashed := start + 100*time.Millisecond
				first.Interrupted(crashed, "0", 0, 0)
				reports := first.Crashed(crashed, endpoint)
				noticed := crashed + lag
				if reportDelay <= lag {
					merge(second, crashed+reportDelay, reportDelay, reports)
				}
				second.Interrupted(noticed, "1", 0, 0)
				late := second.Crashed(noticed, endpoint)
				if reportDelay > lag {
					merge(second, crashed+reportDelay, reportDelay, reports)
				}
				merge(first, noticed+reportDelay, reportDelay, late)
				for _, d := range []*Detector{first, second} {
					assert.Equal(t, len(d.incidents), 1)
					assert.Equal(t, d.evidence[7].incidents, 1)
					assert.Equal(t, len(d.endpointCrashes), 1)
				}
			})
		}
	}
}

// merge applies reports that took so long.
func merge(d *Detector, now tables.Instant, delay time.Duration, reports []Suspect) {
	for _, report := range reports {
		report.Age += delay
		d.Merge(now, report)
	}
}

// Guards against an attempt that broke off for another reason and makes the crash look earlier than attempts that it ended.
func TestInterruptionBeforeLaterAttemptIsNoCrash(t *testing.T) {
	d := New(Options{})
	endpoint := Incarnation{Endpoint: "a"}
	now := tables.Instant(10 * time.Second)
	d.Started(now, "broken", endpoint, Work{Request: 1})
	d.Interrupted(now, "broken", 0, 0)
	now += 1500 * time.Millisecond
	d.Started(now, "running", endpoint, Work{Request: 2})
	now += 100 * time.Millisecond
	d.Interrupted(now, "running", 0, 0)
	reports := d.Crashed(now, endpoint)
	assert.Equal(t, len(reports), 2)
	assert.Equal(t, reports[0].Age, time.Duration(0))
	assert.Equal(t, d.incidents[0].at, now)
}

// Guards against two processes with known boot IDs that are taken for one since they ended within a second.
func TestKnownBootsAreDifferentCrashes(t *testing.T) {
	d := New(Options{})
	for n, boot := range []tables.BootID{"1", "2"} {
		d.Merge(tables.Instant(n+1), Suspect{Fingerprint: 7, Incarnation: Incarnation{Endpoint: "a", Boot: boot}})
	}
	assert.Equal(t, len(d.incidents), 2)
	d.Merge(3, Suspect{Fingerprint: 8, Incarnation: Incarnation{Endpoint: "a"}})
	assert.Equal(t, len(d.incidents), 2)
}

// Guards against a request that was sent to an endpoint after its crash and makes the crash look like that of a later process.
func TestAttemptThatWasNotDeliveredDoesNotMoveCrash(t *testing.T) {
	d := New(Options{})
	endpoint := Incarnation{Endpoint: "a"}
	crashed := tables.Instant(10 * time.Second)
	d.Started(crashed-100*time.Millisecond, "running", endpoint, Work{Request: 1})
	d.Interrupted(crashed, "running", 0, 0)
	d.Started(crashed+1500*time.Millisecond, "waiting", endpoint, Work{Request: 2})
	d.Crashed(crashed+1500*time.Millisecond, endpoint)
	d.Merge(crashed+1500*time.Millisecond, Suspect{Fingerprint: 1, Incarnation: endpoint, Age: 1500 * time.Millisecond, UpBefore: time.Second})
	assert.Equal(t, len(d.incidents), 1)
	assert.Equal(t, d.incidents[0].at, crashed)
}
