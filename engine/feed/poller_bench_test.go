package feed

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

// startFixedEndpoint starts an endpoint that sends the same response to every request,
// and returns a poller for it and the size of the response.
func startFixedEndpoint(b *testing.B, answer any) (f *poller, size int) {
	content, err := json.Marshal(answer)
	assert.NilError(b, err)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(content)
	}))
	b.Cleanup(s.Close)
	return &poller{id: "e", at: s.Listener.Addr().(*net.TCPAddr).AddrPort(), Options: Options{
		Reporter: engine.NewHTTPClient(engine.Options{}), Deliver: func(router.Input) {},
	}.withDefaults()}, len(content)
}

// BenchmarkCacheEvents measures the cost of one cache event, read in batches of 256
// events that each store two blocks and evict one.
func BenchmarkCacheEvents(b *testing.B) {
	const batch = 256
	changes := engine.CacheChanges{Boot: "b"}
	for i := range batch {
		h := tables.BlockHash(0x9e3779b97f4a7c15 * uint64(i+1))
		changes.Changes = append(changes.Changes, engine.CacheChange{
			Sequence: uint64(i + 1), Stored: []tables.BlockHash{h, h + 1}, Evicted: []tables.BlockHash{h + 2},
		})
	}
	f, size := startFixedEndpoint(b, changes)
	b.ReportAllocs()
	defer func() { b.ReportMetric(float64(size)/batch, "wire_B/event") }()
	for read := 0; read < b.N; read += batch {
		got, err := f.Reporter.CacheChanges(b.Context(), f.at, "b", 0, time.Second)
		assert.NilError(b, err)
		f.deliverChanges("b", 0, got.Changes)
	}
}
