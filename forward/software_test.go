package forward

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/streamorigin"
	"github.com/carawaystile/carawaystile/tables"
)

// breakNewStreams sends two of four events of a new stream, and the rest of a resumed one.
func breakNewStreams(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Last-Event-Id") == "" {
		streamEvents(2, 4)(w, r)
	}
	streamEvents(4, 4)(w, r)
}

// newVersionedHarness returns a harness whose endpoints have the given software versions.
func newVersionedHarness(t *testing.T, software []string, changes ...func(*Options)) *harness {
	started := time.Now()
	return newVersionedHarnessAt(t, func() tables.Instant { return time.Since(started) }, software, changes...)
}

func newVersionedHarnessAt(t *testing.T, now func() tables.Instant, software []string, changes ...func(*Options)) *harness {
	handlers := make([]http.HandlerFunc, len(software))
	for i := range handlers {
		handlers[i] = breakNewStreams
	}
	h := newHarnessWith(t, now, newFakeEndpoints(t, handlers...), changes...)
	h.setSoftware(software)
	return h
}

// setSoftware sets the versions of the endpoints' software.
func (h *harness) setSoftware(software []string) {
	all := maps.Clone(h.server.Endpoints())
	for id, e := range all {
		e.Software = software[id[1]-'0']
		all[id] = e
	}
	h.server.SetEndpoints(all)
}

// softwareOfEvents returns the versions of the endpoints that got a request.
func (h *harness) softwareOfEvents(id string, software []string) map[string]bool {
	versions := map[string]bool{}
	for i, s := range h.endpoints {
		for _, r := range s.requests() {
			if r.Header.Get("X-Request") == id {
				versions[software[i]] = true
			}
		}
	}
	return versions
}

// Guards against a stream that breaks and continues, within one response, at another version.
func TestBrokenStreamContinuesAtItsSoftwareOnly(t *testing.T) {
	for _, test := range []struct {
		software []string
		complete bool
	}{
		{[]string{"v1", "v2"}, false},
		{[]string{"v1", ""}, false},
		{[]string{"v1", "v2", "v1", "v2"}, true},
		{[]string{"", ""}, true},
	} {
		t.Run(fmt.Sprintf("%q", test.software), func(t *testing.T) {
			h := newVersionedHarness(t, test.software)
			for n := range 4 {
				id := fmt.Sprint("r", n)
				resp := h.send(t, "POST", "/resume/"+id, id, "X-Request", id, "X-Model", "m", "X-Tokens", "10,4")
				_, err := io.ReadAll(resp.Body)
				assert.Equal(t, err == nil, test.complete, "request %d: %v", n, err)
				assert.Equal(t, len(h.softwareOfEvents(id, test.software)), 1)
			}
		})
	}
}

// fakeOrigins knows the origins that were recorded, by request ID.
type fakeOrigins map[string]string

func (f fakeOrigins) Record(o streamorigin.Origin, _ bool) { f[o.Request] = o.Software }
func (f fakeOrigins) PublishAll()                          {}

func (f fakeOrigins) Find(_ context.Context, request string) (software string, known bool) {
	software, known = f[request]
	return software, known
}

// resume sends a resumption with further headers.
func (h *harness) resume(t *testing.T, headers ...string) *http.Response {
	t.Helper()
	return h.send(t, "POST", "/resume/x", "", append(headers, "X-Request", "second", "Last-Event-Id", "2", "X-Model", "m", "X-Tokens", "10,4")...)
}

// Guards against streams that end after each restart of an instance because their clients do not name
// them, although one version serves alone.
func TestUnnamedResumptionContinuesWhileOneVersionIsSeen(t *testing.T) {
	for status, software := range map[int][]string{http.StatusOK: {"v1", "v1"}, http.StatusServiceUnavailable: {"v1", "v2"}} {
		h := newVersionedHarness(t, software, func(o *Options) { o.StreamOrigins = fakeOrigins{} })
		assert.Equal(t, h.resume(t).StatusCode, status)
	}
}

// Guards against a client's resumption that continues at another version, also after all instances have
// started again, or is refused although only one version can have begun the stream.
func TestResumptionContinuesAtItsSoftwareOnly(t *testing.T) {
	const justStarted, longStarted = time.Second, versionMemory + 2*time.Second
	for _, test := range []struct {
		software []string
		origins  fakeOrigins
		up       time.Duration
		status   int
	}{
		{[]string{"v1", "v2"}, fakeOrigins{"first": "v1"}, justStarted, http.StatusOK},
		{[]string{"v1", "v2"}, fakeOrigins{"first": "v3"}, justStarted, http.StatusServiceUnavailable},
		{[]string{"v1", "v2"}, fakeOrigins{}, justStarted, http.StatusServiceUnavailable},
		{[]string{"v1", "v1"}, fakeOrigins{"first": "v1"}, justStarted, http.StatusOK},
		{[]string{"v1", "v1"}, fakeOrigins{"first": "v3"}, justStarted, http.StatusServiceUnavailable},
		{[]string{"v1", "v1"}, fakeOrigins{}, justStarted, http.StatusServiceUnavailable},
		{[]string{"v1", "v1"}, fakeOrigins{}, longStarted, http.StatusOK},
		{[]string{"v1", "v2"}, fakeOrigins{}, longStarted, http.StatusServiceUnavailable},
		{[]string{"", ""}, fakeOrigins{}, longStarted, http.StatusOK},
	} {
		t.Run(fmt.Sprintf("%q/%q/%v", test.software, test.origins, test.up), func(t *testing.T) {
			var later atomic.Int64
			started := time.Now()
			h := newVersionedHarnessAt(t, func() tables.Instant { return time.Second + time.Since(started) + time.Duration(later.Load()) }, test.software, func(o *Options) {
				withResumes := *headerNames
				withResumes.Resumes = "X-Resumes"
				o.Headers, o.StreamOrigins = &withResumes, test.origins
			})
			later.Store(int64(test.up))
			resp := h.resume(t, "X-Resumes", "first")
			assert.Equal(t, resp.StatusCode, test.status)
			if test.status != http.StatusOK {
				assert.Equal(t, h.deliveredCount(), 0)
				return
			}
			assert.Equal(t, readBody(t, resp), "id: 3\ndata: t3\n\nid: 4\ndata: t4\n\n")
			if version, known := test.origins["first"]; known {
				assert.Assert(t, h.softwareOfEvents("second", test.software)[version])
			}
		})
	}
}
