package peers

import (
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/quarantine"
)

var instances = []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:1"), netip.MustParseAddrPort("10.0.0.2:1")}

// recordingInstances records the reports that each instance receives.
type recordingInstances struct {
	mu      sync.Mutex
	reports map[netip.AddrPort][]*rpc.SuspectReport
	// calling is the number of calls in progress, and release ends those to the first instance; nil
	// for at once.
	calling map[netip.AddrPort]int
	most    int
	release chan struct{}
	dropped int
}

func newRecordingInstances() *recordingInstances {
	return &recordingInstances{reports: map[netip.AddrPort][]*rpc.SuspectReport{}, calling: map[netip.AddrPort]int{}}
}

func (r *recordingInstances) send(to netip.AddrPort, report *rpc.SuspectReport) {
	r.mu.Lock()
	r.reports[to] = append(r.reports[to], report)
	r.calling[to]++
	r.most = max(r.most, r.calling[to])
	r.mu.Unlock()
	if r.release != nil && to == instances[0] {
		<-r.release
	}
	r.mu.Lock()
	r.calling[to]--
	r.mu.Unlock()
}

func (r *recordingInstances) drop(_ netip.AddrPort, err *QueueFullError) { r.dropped += err.Suspects }

// received returns how many reports an instance has received, and how many suspects in them.
func (r *recordingInstances) received(at netip.AddrPort) (reports, suspects int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range r.reports[at] {
		suspects += len(report.GetSuspects())
	}
	return len(r.reports[at]), suspects
}

func vouched(part int) []quarantine.Suspect {
	return []quarantine.Suspect{{Part: quarantine.Part(part + 1), Proven: true}}
}

var crash = []quarantine.Suspect{{Fingerprint: 1, Incarnation: quarantine.Incarnation{Endpoint: "e"}}}

// Guards against a call to every instance for each part of the prompts that an endpoint ran when it crashed.
func TestManyPartsAreReportedInOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRecordingInstances()
		b := NewBroadcaster(r.send, r.drop)
		for part := range 500 {
			b.Broadcast(instances, vouched(part))
			time.Sleep(100 * time.Microsecond)
		}
		time.Sleep(time.Second)
		for _, at := range instances {
			reports, suspects := r.received(at)
			assert.Equal(t, reports, 1)
			assert.Equal(t, suspects, 500)
		}
	})
}

// Guards against a crash that is reported late because something less urgent waits.
func TestCrashIsReportedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRecordingInstances()
		b := NewBroadcaster(r.send, r.drop)
		b.Broadcast(instances, vouched(1))
		<-b.Broadcast(instances, crash)
		reports, suspects := r.received(instances[1])
		assert.Equal(t, reports, 1)
		assert.Equal(t, suspects, 2)

		start := time.Now()
		<-b.Broadcast(instances, crash)
		assert.Equal(t, time.Since(start), callInterval)
	})
}

// Guards against calls that pile up at an instance that does not respond, and against others that wait for it.
func TestUnresponsiveInstanceGetsOneCallAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRecordingInstances()
		r.release = make(chan struct{})
		b := NewBroadcaster(r.send, r.drop)
		var last <-chan struct{}
		for range 10 {
			last = b.Broadcast(instances, crash)
			time.Sleep(time.Second)
		}
		reports, _ := r.received(instances[0])
		assert.Equal(t, reports, 1)
		reports, _ = r.received(instances[1])
		assert.Equal(t, reports, 10)
		close(r.release)
		<-last
		_, suspects := r.received(instances[0])
		assert.Equal(t, suspects, 10)
		assert.Equal(t, r.most, 1)
	})
}

// Guards against a crash that other instances take for a later one because its report has waited.
func TestSuspectsAgeWhileTheyWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRecordingInstances()
		suspects := vouched(1)
		suspects[0].Age = time.Second
		<-NewBroadcaster(r.send, r.drop).Broadcast(instances, suspects)
		assert.Equal(t, decodeSuspect(r.reports[instances[0]][0].GetSuspects()[0]).Age, time.Second+clearingDelay)
	})
}

// Guards against a failure response that waits forever because its report was dropped, and against memory that an unresponsive instance uses up.
func TestDroppedReportDoesNotBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRecordingInstances()
		r.release = make(chan struct{})
		b := NewBroadcaster(r.send, r.drop)
		b.Broadcast(instances, crash)
		synctest.Wait()
		dropped := b.Broadcast(instances[:1], make([]quarantine.Suspect, maxSuspectsPerReport))
		last := b.Broadcast(instances[:1], crash)
		<-dropped
		close(r.release)
		<-last
		_, suspects := r.received(instances[0])
		assert.Equal(t, suspects, 2)
		assert.Equal(t, r.dropped, maxSuspectsPerReport)
		<-b.Broadcast(nil, crash)
	})
}
