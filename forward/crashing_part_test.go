package forward

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/systems/quarantine"
)

// maxPartCrashes is how many endpoints a part may crash before requests with it are kept off.
const maxPartCrashes = 5

// crashingFleet is a harness whose endpoints end when they begin a response to a prompt with a part
// whose ID starts with "bad".
type crashingFleet struct {
	*harness
	crashes atomic.Int32
}

func newCrashingFleet(t *testing.T, endpoints int) *crashingFleet {
	t.Helper()
	f := &crashingFleet{}
	handlers := make([]http.HandlerFunc, endpoints)
	for i := range handlers {
		var ended sync.Once
		handlers[i] = func(w http.ResponseWriter, r *http.Request) {
			if !strings.Contains(","+r.Header.Get("X-Prefix"), ",bad") {
				streamEvents(2, 2)(w, r)
				return
			}
			ended.Do(func() { f.end(i) })
			panic(http.ErrAbortHandler)
		}
	}
	f.harness = newHarness(t, handlers...)
	return f
}

// end ends an endpoint: it accepts no connections any more, and those that it has are reset.
func (f *crashingFleet) end(endpoint int) {
	f.crashes.Add(1)
	server := f.endpointServers[endpoint]
	_ = server.Listener.Close()
	go server.CloseClientConnections()
}

// generate sends a generation whose prompt has the given parts and one of its own.
func (f *crashingFleet) generate(t *testing.T, serial int, parts string) *http.Response {
	t.Helper()
	return f.send(t, "POST", fmt.Sprintf("/stream/%d", serial), fmt.Sprintf("body %d", serial),
		"X-Request", fmt.Sprintf("g%d", serial), "X-Model", "m", "X-Tokens", "400,20", "X-Prefix", fmt.Sprintf("%s,u%d:40", parts, serial))
}

// Guards against requests that share a part of their prompts, and nothing else, crashing one endpoint after the other.
func TestQuarantineStopsPromptPartThatCrashesEndpoints(t *testing.T) {
	for name, test := range map[string]struct {
		arrangement []string
		badParts    int32
	}{
		"first":         {[]string{"bad:100,a:50"}, 1},
		"in the middle": {[]string{"a:100,bad:50,b:50"}, 1},
		"in company":    {[]string{"a:100,c:30,bad:50", "b:100,c:30,bad:50"}, 1},
		"two in turn":   {[]string{"a:100,bad1:50", "a:100,bad2:50"}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrashingFleet(t, 40)
			for i := range 30 {
				parts := test.arrangement[i%len(test.arrangement)]
				f.generate(t, 2*i, parts)
				sound := f.generate(t, 2*i+1, strings.ReplaceAll(parts, "bad", "fine"))
				assert.Equal(t, sound.StatusCode, http.StatusOK, "sound request %d", i)
				time.Sleep(100 * time.Millisecond)
			}
			assert.Assert(t, f.crashes.Load() <= test.badParts*maxPartCrashes, "%d of 40 endpoints ended", f.crashes.Load())
		})
	}
}

// longFleet is a harness whose endpoints answer with an event every 40 ms until they are told to stop.
type longFleet struct {
	*harness
	running []atomic.Int32
	streams atomic.Int32
	stop    chan struct{}
}

func newLongFleet(t *testing.T, endpoints int) *longFleet {
	t.Helper()
	f := &longFleet{running: make([]atomic.Int32, endpoints), stop: make(chan struct{})}
	handlers := make([]http.HandlerFunc, endpoints)
	for i := range handlers {
		handlers[i] = func(w http.ResponseWriter, r *http.Request) {
			f.running[i].Add(1)
			defer f.running[i].Add(-1)
			w.Header().Set("X-Signature", "s")
			w.Header().Set("Content-Type", "text/event-stream")
			for n := 1; ; n++ {
				select {
				case <-f.stop:
					return
				case <-r.Context().Done():
					return
				case <-time.After(40 * time.Millisecond):
				}
				_, _ = fmt.Fprintf(w, "id: %d\ndata: t\n\n", n)
				_ = http.NewResponseController(w).Flush()
			}
		}
	}
	f.harness = newHarness(t, handlers...)
	t.Cleanup(sync.OnceFunc(func() { close(f.stop) }))
	return f
}

// begin starts streams whose prompts share a part, and returns once each has brought so many events.
func (f *longFleet) begin(t *testing.T, streams, events int) {
	started := make(chan struct{})
	for range streams {
		n := f.streams.Add(1)
		go func() {
			resp := f.send(t, "POST", fmt.Sprintf("/stream/%d", n), fmt.Sprintf("body %d", n),
				"X-Request", fmt.Sprintf("l%d", n), "X-Model", "m", "X-Tokens", "400,200", "X-Prefix", fmt.Sprintf("new:100,u%d:40", n))
			_, _ = io.CopyN(io.Discard, resp.Body, int64(events*len("id: 1\ndata: t\n\n")))
			started <- struct{}{}
			_, _ = io.Copy(io.Discard, resp.Body)
		}()
	}
	for range streams {
		<-started
	}
}

// endBusiest ends the endpoint that runs most requests, and leaves time to notice the crash.
func (f *longFleet) endBusiest() {
	busiest := 0
	for i := range f.running {
		if f.running[i].Load() > f.running[busiest].Load() {
			busiest = i
		}
	}
	server := f.endpointServers[busiest]
	_ = server.Listener.Close()
	server.CloseClientConnections()
	time.Sleep(300 * time.Millisecond)
}

// Guards against a shared part of prompts that is blamed for two unrelated crashes while no answer with it has ended yet.
func TestSharedPartOfLongAnswersSurvivesUnrelatedCrashes(t *testing.T) {
	f := newLongFleet(t, 6)
	const streams = 12
	const longEnough = 60 // events, more than two seconds
	f.begin(t, streams, longEnough)
	f.begin(t, streams, 1)
	f.endBusiest()
	f.endBusiest()
	time.Sleep(2 * quarantine.DefaultSettleDelay)
	resp := f.send(t, "POST", "/stream/new", "another body", "X-Request", "new", "X-Model", "m", "X-Tokens", "400,20", "X-Prefix", "new:100,unew:40")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, len(f.server.Convictions()), 0)
}
