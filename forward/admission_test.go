package forward

import (
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/schedule"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// newAdmissionHarness returns a harness with admission enabled and one endpoint, which answers
// each stream after the given time.
func newAdmissionHarness(t *testing.T, after time.Duration) *harness {
	t.Helper()
	return newAdmissionHarnessOn(t, nil, after)
}

func newAdmissionHarnessOn(t *testing.T, memory *memoryNetwork, after time.Duration) *harness {
	t.Helper()
	h := newHarnessOn(t, memory, func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(after)
		streamEvents(3, 3)(w, r)
	})
	h.enableAdmission()
	return h
}

// longTarget is a latency target whose half, the time that a request may wait, is far above the
// delays of a busy machine. longPrompt is a prompt whose queue is above the limit for it.
const (
	longTarget = 2 * time.Second
	longPrompt = 60_000
)

func (h *harness) setTarget(t *testing.T, target time.Duration) {
	t.Helper()
	h.configure(t, initialRevision+1, func(c *routes.Configuration) {
		for i := range c.Routes {
			c.Routes[i].TargetLatency = target
		}
	})
}

func (h *harness) enableAdmission() {
	s := h.server
	s.options.Dispatch.Capacity.Admission = dispatch.On
	s.dispatch = dispatch.New(s.options.Dispatch)
	s.dispatch.SetEndpoints(s.Endpoints())
}

// answer is what a caller got.
type answer struct {
	status     int
	took       time.Duration
	retryAfter time.Duration
}

// sendAll sends requests of the given prompt tokens and returns the answers. All but the first
// are sent once that one has reached an endpoint.
func (h *harness) sendAll(t *testing.T, prompts ...int) []answer {
	t.Helper()
	answers := make([]answer, len(prompts))
	var all sync.WaitGroup
	for i, prompt := range prompts {
		all.Go(func() {
			began := time.Now()
			resp := h.send(t, http.MethodPost, "/stream/x", "", "X-Model", "m", "X-Tokens", strconv.Itoa(prompt)+",10", "X-Request", fmt.Sprintf("r%d", i))
			_ = readBody(t, resp)
			seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			answers[i] = answer{status: resp.StatusCode, took: time.Since(began), retryAfter: time.Duration(seconds * float64(time.Second))}
		})
		for began := time.Now(); h.deliveredCount() == 0 && time.Since(began) < time.Second; {
			time.Sleep(time.Millisecond)
		}
	}
	all.Wait()
	return answers
}

// Guards against requests that join a queue which makes them late, and against waits that are
// not ended when the queue is short again: the second request starts once the first one's prompt
// is computed.
func TestRequestWaitsUntilTheQueueIsShort(t *testing.T) {
	h := newAdmissionHarness(t, 300*time.Millisecond)
	h.setTarget(t, longTarget)
	answers := h.sendAll(t, longPrompt, 300)
	assert.Equal(t, answers[0].status, 200)
	assert.Equal(t, answers[1].status, 200)
	received := h.endpoints[0].requests()
	assert.Equal(t, len(received), 2)
	assert.Assert(t, answers[1].took > 500*time.Millisecond, "it was sent at once: %s", answers[1].took)
	h.server.admission.mu.Lock()
	defer h.server.admission.mu.Unlock()
	assert.Equal(t, h.server.admission.queues["models"].len(), 0)
}

// Guards against a request that is held until its deadline, and against one that is rejected
// although it has run: with a queue that does not shorten it gets 503 within half of its target,
// and no endpoint receives it.
func TestRequestIsRejectedThatCannotBeAnsweredInTime(t *testing.T) {
	h := newAdmissionHarness(t, 700*time.Millisecond)
	answers := h.sendAll(t, 30_000, 300)
	assert.Equal(t, answers[1].status, http.StatusServiceUnavailable)
	assert.Assert(t, answers[1].took > 50*time.Millisecond && answers[1].took < 500*time.Millisecond, "%s", answers[1].took)
	assert.Assert(t, answers[1].retryAfter >= minRetryAfter, "%s", answers[1].retryAfter)
	assert.Equal(t, len(h.endpoints[0].requests()), 1)
}

// Guards against a queue that stalls when the caller of the request that may ask next leaves.
func TestAbandonedWaitFreesTheQueue(t *testing.T) {
	a := newAdmissionControl(&Options{Now: func() tables.Instant { return time.Second }, Log: zap.NewNop()})
	leaving, next := &waiter{granted: make(chan struct{}, 1), prompt: 10, startBy: time.Minute}, &waiter{granted: make(chan struct{}, 1), prompt: 20, startBy: time.Minute}
	a.update("s", func(q *serviceQueue, now tables.Instant) { q.join(now, leaving) })
	a.update("s", func(q *serviceQueue, now tables.Instant) { q.join(now, next) })
	assert.Equal(t, len(leaving.granted), 1)
	a.update("s", func(q *serviceQueue, now tables.Instant) { q.leave(now, leaving) })
	assert.Equal(t, len(next.granted), 1)
}

// Guards against operators who do not see that a service is saturated, or see it in a line for
// each request.
func TestSaturationIsLoggedOnce(t *testing.T) {
	now := time.Second
	core, logged := observer.New(zap.InfoLevel)
	registry := metrics.NewRegistry()
	a := newAdmissionControl(&Options{Now: func() tables.Instant { return now }, Log: zap.New(core), Registry: registry})
	for range 3 {
		w := &waiter{granted: make(chan struct{}, 1), prompt: 10, priority: 2, startBy: time.Minute}
		a.update("s", func(q *serviceQueue, now tables.Instant) {
			a.recordFull(q, now, w, placementAnswer{reason: dispatch.Saturated, wait: 20 * time.Millisecond})
			q.join(now, w)
		})
		saturated, waiting := a.count()
		assert.Equal(t, saturated, 1)
		assert.Equal(t, waiting[2], 1)
		a.update("s", func(q *serviceQueue, now tables.Instant) {
			a.metrics.observeWait(w, now, "")
			q.placed(now, w)
		})
	}
	now += saturationQuiet
	a.update("s", func(*serviceQueue, tables.Instant) {})
	var numbers []any
	for _, line := range logged.All() {
		numbers = append(numbers, line.ContextMap()["event"])
	}
	assert.DeepEqual(t, numbers, []any{uint16(events.ServiceSaturated.Number), uint16(events.ServiceDesaturated.Number)})
	var text strings.Builder
	assert.NilError(t, registry.WriteText(&text))
	assert.Assert(t, strings.Contains(text.String(), `carawaystile_admission_wait_seconds_count{priority="2"} 3`), text.String())
}

// Guards against admission control where it is off: a request joins any queue, as before.
func TestAdmissionIsOffByDefault(t *testing.T) {
	h := newHarness(t, streamEvents(3, 3))
	answers := h.sendAll(t, 30_000, 300, 300)
	for _, got := range answers {
		assert.Equal(t, got.status, 200)
	}
	assert.Equal(t, len(h.server.admission.queues), 0)
}

// Ways in which a scheduler fails while requests wait.
const (
	alive = iota
	killed
	frozen
	cutOff
)

// testScheduler is a scheduler of a harness, which can fail.
type testScheduler struct {
	server    *schedule.Server
	mode      atomic.Int32
	questions atomic.Int32
}

// newTestScheduler has another server with the same endpoints place the harness's requests.
func newTestScheduler(t *testing.T, h *harness) *testScheduler {
	t.Helper()
	other := newHarnessWith(t, h.server.options.Now, fakeEndpoints{all: h.endpoints, servers: h.endpointServers, memory: h.memory})
	other.enableAdmission()
	return attachScheduler(h, other)
}

// attachScheduler has another harness's server place the harness's requests.
func attachScheduler(h, other *harness) *testScheduler {
	scheduler := &testScheduler{server: schedule.NewServer(other.server, h.server.options.Now)}
	address := netip.MustParseAddrPort("127.0.0.1:1")
	var client *schedule.Client
	client = schedule.NewClient(schedule.ClientOptions{
		Self: "asker", BootEpoch: 1, Now: h.server.options.Now, Log: zap.NewNop(),
		Schedulers: func() []membership.EntryInstance {
			if scheduler.mode.Load() == killed {
				return nil
			}
			return []membership.EntryInstance{{Instance: "scheduler", Address: address}}
		},
		Send: func(_ netip.AddrPort, m *rpc.ScheduleMessage) {
			go func() {
				mode := scheduler.mode.Load()
				if mode == frozen {
					time.Sleep(300 * time.Millisecond)
				}
				switch {
				case mode == killed || mode == cutOff:
				case m.GetQuestion() != nil:
					scheduler.questions.Add(1)
					client.HandleAnswer(address, m.GetNumber(), scheduler.server.Choose("asker", m.GetNumber(), m.GetQuestion()))
				case m.GetProgress() != nil:
					scheduler.server.HandleProgress("asker", m.GetNumber(), m.GetProgress())
				}
			}()
		},
	})
	h.server.options.Scheduler = client
	h.server.admission.limit = newQuestionLimit()
	return scheduler
}

// Guards against requests that are lost, late by more than a few hundred milliseconds, or sent
// twice because their scheduler is killed, frozen or cut off while they wait for capacity.
func TestWaitingRequestsSurviveTheirScheduler(t *testing.T) {
	for name, mode := range map[string]int32{"alive": alive, "killed": killed, "frozen": frozen, "cut off": cutOff} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// Messages of a frozen scheduler are still under way when the test ends.
				defer time.Sleep(time.Second)
				h := newAdmissionHarnessOn(t, newMemoryNetwork(), 300*time.Millisecond)
				h.setTarget(t, longTarget)
				scheduler := newTestScheduler(t, h)
				go func() {
					for scheduler.questions.Load() < 3 {
						time.Sleep(time.Millisecond)
					}
					scheduler.mode.Store(mode)
				}()
				answers := h.sendAll(t, longPrompt, 300, 400)
				assert.Assert(t, scheduler.questions.Load() >= 3)
				for i, got := range answers {
					assert.Equal(t, got.status, 200, "request %d", i)
					assert.Assert(t, got.took < 1200*time.Millisecond, "request %d took %s", i, got.took)
				}
				assert.Equal(t, len(h.endpoints[0].requests()), 3)
			})
		})
	}
}
