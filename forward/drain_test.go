package forward

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a request whose body comes late in a drain, and which is passed on and cut off at its end.
func TestRequestWhoseBodyComesLateInADrainIsRefused(t *testing.T) {
	for _, path := range []string{"/once/x", "/read/x", "/stream/x"} {
		h := newHarness(t, respond(http.StatusOK, "done"))
		conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
		assert.NilError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, "POST "+path+" HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer key\r\nX-Request: r\r\nX-Model: m\r\nX-Tokens: 10,10\r\nContent-Length: 4\r\n\r\nbo")
		assert.NilError(t, err)
		eventually(t, 5*time.Second, "the request has not arrived", func() bool { return h.server.gate.InFlight() == 1 })
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		drained := make(chan error, 1)
		go func() { drained <- h.server.Drain(ctx) }()
		eventually(t, 5*time.Second, "the instance accepts requests", func() bool { return !h.server.gate.State().AcceptsRequests() })
		_, err = io.WriteString(conn, "dy")
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable, path)
		assert.Assert(t, resp.Header.Get("Retry-After") != "")
		assert.Equal(t, readBody(t, resp), "5031 not_run\n")
		assert.Equal(t, h.deliveredCount(), 0)
		assert.NilError(t, <-drained)
	}
}
