package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/routes"
)

// Guards against callers that stop in their bodies and keep others out until their deadlines, and against an answer
// to them that does not say that the request has not run.
func TestBodyThatStopsGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarnessOn(t, newMemoryNetwork(), respond(200, "done"))
		h.configure(t, initialRevision+1, func(c *routes.Configuration) { c.Limits.BodyBytes = 4 << 20 })
		var open []net.Conn
		defer func() {
			for _, conn := range open {
				_ = conn.Close()
			}
			synctest.Wait()
		}()
		begin := func(body string) net.Conn {
			conn, err := h.memory.dialAddress(t.Context(), strings.TrimPrefix(h.url, "http://"))
			assert.NilError(t, err)
			_, err = io.WriteString(conn, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\nContent-Length: 4000000\r\n\r\n"+body)
			assert.NilError(t, err)
			open = append(open, conn)
			synctest.Wait()
			return conn
		}
		status := func(conn net.Conn) int {
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			return resp.StatusCode
		}
		var stalled []net.Conn
		for range 9 { // what the budget of the harness takes of large bodies
			stalled = append(stalled, begin("x"))
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		refusedAt := time.Now()
		refused := begin("")
		assert.Equal(t, status(refused), http.StatusServiceUnavailable)
		assert.Equal(t, status(stalled[0]), http.StatusRequestTimeout)
		assert.Equal(t, time.Since(refusedAt), time.Duration(0))
		assert.Equal(t, h.deliveredCount(), 0)
	})
}
