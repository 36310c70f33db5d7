package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/peers"
	"github.com/carawaystile/carawaystile/schedule"
	"github.com/carawaystile/carawaystile/systems/quarantine"
	"github.com/carawaystile/carawaystile/tables"
)

// badPrompt are the headers of a generation with the part that convictPart convicts.
var badPrompt = []string{"X-Model", "m", "X-Tokens", "400,20", "X-Prefix", "a:100,bad:50,u:40"}

func convictPart(s *Server) {
	s.MergeSuspects([]quarantine.Suspect{{Part: quarantine.Part(parts.NewID("m", "", "bad")), Convicted: true, Convictions: 1}})
}

// countingScheduler counts the questions and leaves the placement to the instance.
type countingScheduler struct{ asked atomic.Int32 }

func (s *countingScheduler) Ask(context.Context, *dispatch.Request) *schedule.Assignment {
	s.asked.Add(1)
	return nil
}

// Guards against a way to an endpoint on which a convicted part of the prompt is not looked at.
func TestConvictedPartReachesNoEndpoint(t *testing.T) {
	now := func() tables.Instant { return time.Since(testStart) }
	for name, build := range map[string]func(endpoints fakeEndpoints) (*harness, func() int){
		"first attempt": func(e fakeEndpoints) (*harness, func() int) {
			return newHarnessWith(t, now, e), func() int { return 0 }
		},
		"waiting queue": func(e fakeEndpoints) (*harness, func() int) {
			h := newHarnessWith(t, now, e)
			h.enableAdmission()
			return h, func() int { return 0 }
		},
		"scheduler": func(e fakeEndpoints) (*harness, func() int) {
			scheduler := &countingScheduler{}
			h := newHarnessWith(t, now, e, func(o *Options) { o.Scheduler = scheduler })
			return h, func() int { return int(scheduler.asked.Load()) }
		},
		"relay": func(e fakeEndpoints) (*harness, func() int) {
			h := newRelayHarnessWith(t, e)
			return h.harness, func() int { return int(h.relayDials.Load()) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, otherWays := build(newFakeEndpoints(t, streamEvents(3, 3)))
			convictPart(h.server)
			for _, headers := range [][]string{badPrompt, append([]string{"Last-Event-Id", "2"}, badPrompt...)} {
				for _, path := range []string{"/stream/x", "/resume/x"} {
					resp := h.send(t, "POST", path, "prompt", headers...)
					assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
					assert.Equal(t, readBody(t, resp), "4221 not_run\n")
					after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
					assert.NilError(t, err)
					assert.Assert(t, after > 30, "Retry-After %v", after)
				}
			}
			assert.Equal(t, h.deliveredCount(), 0)
			assert.Equal(t, otherWays(), 0)
			assert.Equal(t, h.send(t, "POST", "/stream/x", "prompt", "X-Model", "m", "X-Tokens", "400,20", "X-Prefix", "a:100,fine:50,u:40").StatusCode, http.StatusOK)
		})
	}
}

// Guards against a retry within one request that takes a part to a second endpoint after it was convicted.
func TestRetryOfConvictedPartReachesNoSecondEndpoint(t *testing.T) {
	var h *harness
	convictAndBreak := func(http.ResponseWriter, *http.Request) {
		convictPart(h.server)
		panic(http.ErrAbortHandler)
	}
	h = newHarness(t, convictAndBreak, convictAndBreak)
	resp := h.send(t, "POST", "/resume/x", "prompt", badPrompt...)
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	assert.Equal(t, readBody(t, resp), "4221 unknown\n")
	assert.Equal(t, h.deliveredCount(), 1)
}

// Guards against a backed-up run that goes on at its backup endpoint after a part of its prompt was convicted.
func TestRunWithConvictedPartIsNotContinued(t *testing.T) {
	engines := newBackupEngines(t, 3)
	h := newBackupHarness(t, engines, withBackups)
	engines.whileRunning = func() { convictPart(h.server) }
	_, complete := h.streamOf(t, "X-Prefix", "a:100,bad:50,u:40")
	assert.Assert(t, !complete)
	assert.Equal(t, h.deliveredCount(), 1)
	assert.Equal(t, h.continuations(string(refusedQuarantined)), int64(1))
}

// Guards against requests that wait at an endpoint, and crash it later, after a part of their prompts was convicted.
func TestAttemptsWaitingAtEndpointsAreGivenUpOnceTheirPartIsConvicted(t *testing.T) {
	arrived, left := make(chan struct{}, 2), make(chan struct{}, 2)
	h := newHarness(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // otherwise the end of the connection is not noticed
		arrived <- struct{}{}
		<-r.Context().Done()
		left <- struct{}{}
	})
	go func() {
		<-arrived
		convictPart(h.server)
	}()
	resp := h.send(t, "POST", "/stream/x", "prompt", badPrompt...)
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	assert.Assert(t, strings.HasPrefix(readBody(t, resp), "4221 "))
	<-left
}

// Guards against a part of all prompts that is blamed for endpoints which end one after the other for other causes.
func TestPartOfAllPromptsSurvivesUnrelatedCrashes(t *testing.T) {
	f := newCrashingFleet(t, 16)
	serial := 0
	next := func() int { serial++; return serial }
	for i := range 8 {
		assert.Equal(t, f.generate(t, next(), "shared:100").StatusCode, http.StatusOK)
		f.end(i)
		for range 3 {
			_ = f.generate(t, next(), "shared:100")
		}
		time.Sleep(100 * time.Millisecond)
	}
	for i := range 60 {
		assert.Equal(t, f.generate(t, next(), "shared:100").StatusCode, http.StatusOK, "request %d", i)
	}
}

// Guards against a conviction that an operator cannot end, or that ends for good although the part still crashes endpoints.
func TestOperatorReleasesConvictedPart(t *testing.T) {
	f := newCrashingFleet(t, 10)
	convictPart(f.server)
	assert.Equal(t, f.generate(t, 1, "bad:50").StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, len(f.server.Convictions()), 1)
	id := parts.NewID("m", "", "bad")
	assert.Assert(t, f.server.ReleasePart(id))
	assert.Assert(t, !f.server.ReleasePart(parts.NewID("m", "", "other")))
	assert.Equal(t, f.generate(t, 2, "bad:50").StatusCode, http.StatusBadGateway)
	for len(f.server.Convictions()) == 0 || f.server.Convictions()[0].Count != 2 {
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, f.generate(t, 3, "bad:50").StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, f.crashes.Load(), int32(1))
}

// Guards against a report to all instances for each part of the prompts that an endpoint ran when it crashed.
func TestReportOfManyPartsIsAnsweredWithOneReport(t *testing.T) {
	var shared [][]quarantine.Suspect
	now := func() tables.Instant { return time.Since(testStart) }
	h := newHarnessWith(t, now, newFakeEndpoints(t, streamEvents(3, 3)), func(o *Options) {
		o.ShareSuspects = func(s []quarantine.Suspect) { shared = append(shared, s) }
	})
	headers := []string{"X-Model", "m", "X-Tokens", "400,20", "X-Prefix", "a:10,b:10,c:10,d:10,u:40"}
	readBody(t, h.send(t, "POST", "/stream/x", "prompt", headers...))
	var report []quarantine.Suspect
	for _, hash := range []string{"a", "b", "c", "d"} {
		report = append(report, quarantine.Suspect{Part: quarantine.Part(parts.NewID("m", "", hash)), Fingerprint: 1, Incarnation: quarantine.Incarnation{Endpoint: "gone"}})
	}
	service := peers.Service{Receive: h.server.MergeSuspects}
	_, err := service.Suspect(t.Context(), peers.EncodeReport(report))
	assert.NilError(t, err)
	assert.Equal(t, len(shared), 1)
	assert.Equal(t, len(shared[0]), len(report))
}
