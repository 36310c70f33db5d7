package forward

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
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
