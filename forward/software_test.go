package forward

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
	handlers := make([]http.HandlerFunc, len(software))
	for i := range handlers {
		handlers[i] = breakNewStreams
	}
	started := time.Now()
	h := newHarnessWith(t, func() tables.Instant { return time.Since(started) }, newFakeEndpoints(t, handlers...), changes...)
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

// Guards against a stream that breaks and goes on, within one response, at another version.
func TestBrokenStreamGoesOnAtItsSoftwareOnly(t *testing.T) {
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
