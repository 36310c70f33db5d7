// The race detector enlarges objects and stacks.
//go:build !race

package forward

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	// maxConnectionBytes is what an instance's limit of callers' connections counts for each.
	keptConnections    = 1700
	maxConnectionBytes = 24 << 10
)

// Guards against an instance that most new connections go to and that cannot serve requests on them at the first attempt, because those that it keeps use up its memory.
func TestRequestsAreServedBesideManyKeptConnections(t *testing.T) {
	h := newHarness(t, respond(http.StatusOK, "done"), respond(http.StatusOK, "done"))
	before := memoryInUse()
	for i := range keptConnections {
		conn := dial(t, strings.TrimPrefix(h.url, "http://"))
		_, err := fmt.Fprintf(conn, "POST /once/%d HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\nX-Request: r%d\r\nContent-Length: 0\r\n\r\n", i, i)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 512), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK, "request %d", i)
		assert.Assert(t, !resp.Close, "request %d", i)
		_ = resp.Body.Close()
	}
	each := (int(memoryInUse()) - int(before)) / keptConnections
	t.Logf("%d bytes for both ends of each connection", each)
	assert.Assert(t, each <= maxConnectionBytes, "%d bytes for each connection", each)
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// memoryInUse returns the bytes of reachable objects and of stacks. Pools keep what other tests have
// left there for two collections.
func memoryInUse() uint64 {
	for range 3 {
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc + stats.StackInuse
}
