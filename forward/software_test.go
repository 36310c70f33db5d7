package forward

import (
	"cmp"
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

// fakeOrigins knows the origins that were recorded, by request ID, and what others have seen.
type fakeOrigins struct {
	known map[string]string
	seen  streamorigin.Seen
}

func (f fakeOrigins) Record(streamorigin.Origin, bool) {}
func (f fakeOrigins) PublishAll()                      {}

func (f fakeOrigins) Find(_ context.Context, request, _ string) streamorigin.Finding {
	software, known := f.known[request]
	return streamorigin.Finding{Software: software, Known: known, Seen: f.seen}
}

// resume sends a resumption with further headers.
func (h *harness) resume(t *testing.T, headers ...string) *http.Response {
	t.Helper()
	return h.send(t, "POST", "/resume/x", "", append(headers, "X-Request", "second", "Last-Event-Id", "2", "X-Model", "m", "X-Tokens", "10,4")...)
}

// Guards against streams that end because their clients do not name them, although no version but the one
// that is seen here is known to any instance.
func TestUnnamedResumptionContinuesWhileOneVersionIsSeen(t *testing.T) {
	both, one := []string{"v1", "v2"}, []string{"v1"}
	for _, test := range []struct {
		software []string
		others   streamorigin.Seen
		// age is that of the list, and up that of the instance.
		age, up time.Duration
		status  int
	}{
		{software: []string{"v1", "v1"}, others: streamorigin.Seen{Versions: one}, age: time.Hour, status: http.StatusOK},
		{software: []string{"v1", "v1"}, others: streamorigin.Seen{Versions: one}, up: time.Second, status: http.StatusOK},
		{software: both, others: streamorigin.Seen{Versions: one}, up: time.Second, status: http.StatusServiceUnavailable},
		{software: []string{"v1", "v1"}, others: streamorigin.Seen{Versions: both, Complete: true}, age: 0, status: http.StatusOK},
		{software: []string{"v1", "v1"}, others: streamorigin.Seen{Versions: both, Complete: true}, age: time.Hour, status: http.StatusServiceUnavailable},
		{software: both, others: streamorigin.Seen{Versions: one, Complete: true}, age: 0, status: http.StatusServiceUnavailable},
	} {
		t.Run(fmt.Sprintf("%q/%v/%v", test.software, test.others, test.age), func(t *testing.T) {
			h := newResumableHarness(t, test.software, cmp.Or(test.up, longStarted), fakeOrigins{seen: test.others})
			h.server.RecordListAge(test.age)
			assert.Equal(t, h.resume(t).StatusCode, test.status)
		})
	}
}

// longStarted is the age of an instance that has watched the versions for long enough.
const longStarted = streamorigin.VersionMemory + 2*time.Second

// newResumableHarness returns a harness whose instance has been up for some time.
func newResumableHarness(t *testing.T, software []string, up time.Duration, origins fakeOrigins) *harness {
	var later atomic.Int64
	started := time.Now()
	now := func() tables.Instant { return time.Second + time.Since(started) + time.Duration(later.Load()) }
	h := newVersionedHarnessAt(t, now, software, func(o *Options) {
		withResumes := *headerNames
		withResumes.Resumes = "X-Resumes"
		o.Headers, o.StreamOrigins = &withResumes, origins
	})
	later.Store(int64(up))
	return h
}

// Guards against a client's resumption that continues at another version, also after all instances have
// started again or at one that has not heard of a version, or is refused although only one can have begun it.
func TestResumptionContinuesAtItsSoftwareOnly(t *testing.T) {
	const justStarted = time.Second
	v1, both := []string{"v1", "v1"}, []string{"v1", "v2"}
	from := func(version string) map[string]string { return map[string]string{"first": version} }
	vouched := func(versions ...string) streamorigin.Seen {
		return streamorigin.Seen{Versions: versions, Complete: true}
	}
	for _, test := range []struct {
		software []string
		origins  fakeOrigins
		up       time.Duration
		status   int
	}{
		{both, fakeOrigins{known: from("v1")}, justStarted, http.StatusOK},
		{both, fakeOrigins{known: from("v3")}, justStarted, http.StatusServiceUnavailable},
		{both, fakeOrigins{seen: vouched("v1", "v2")}, justStarted, http.StatusServiceUnavailable},
		{v1, fakeOrigins{known: from("v1")}, justStarted, http.StatusOK},
		{v1, fakeOrigins{known: from("v3")}, justStarted, http.StatusServiceUnavailable},
		{v1, fakeOrigins{seen: streamorigin.Seen{Versions: []string{"v1"}}}, justStarted, http.StatusServiceUnavailable},
		{v1, fakeOrigins{seen: vouched("v1")}, justStarted, http.StatusOK},
		{v1, fakeOrigins{seen: vouched("v1")}, longStarted, http.StatusOK},
		{v1, fakeOrigins{known: from("v2")}, longStarted, http.StatusServiceUnavailable},
		{v1, fakeOrigins{seen: vouched("v1", "v2")}, longStarted, http.StatusServiceUnavailable},
		{v1, fakeOrigins{seen: streamorigin.Seen{Versions: []string{"v1"}}}, longStarted, http.StatusServiceUnavailable},
		{both, fakeOrigins{seen: vouched("v1", "v2")}, longStarted, http.StatusServiceUnavailable},
		{[]string{"", ""}, fakeOrigins{seen: vouched("")}, longStarted, http.StatusOK},
	} {
		t.Run(fmt.Sprintf("%q/%v/%v", test.software, test.origins, test.up), func(t *testing.T) {
			h := newResumableHarness(t, test.software, test.up, test.origins)
			h.server.RecordListAge(0)
			resp := h.resume(t, "X-Resumes", "first")
			assert.Equal(t, resp.StatusCode, test.status)
			if test.status != http.StatusOK {
				assert.Equal(t, h.deliveredCount(), 0)
				return
			}
			assert.Equal(t, readBody(t, resp), "id: 3\ndata: t3\n\nid: 4\ndata: t4\n\n")
			if version, known := test.origins.known["first"]; known {
				assert.Assert(t, h.softwareOfEvents("second", test.software)[version])
			}
		})
	}
}
