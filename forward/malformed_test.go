package forward

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/routes"
)

// rawResponse returns a handler that sends bytes and closes the connection. ID in them stands for the request ID.
func rawResponse(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, strings.ReplaceAll(text, "ID", r.Header.Get("X-Request")))
	}
}

// Guards against clients that get bytes that are not an HTTP response, or another body than the endpoint's, and against work that runs twice because of them.
func TestMalformedResponseIsNoAnswer(t *testing.T) {
	const signed, success = "X-Signature: s\r\nX-Request: ID\r\n", "HTTP/1.1 200 OK\r\n"
	for name, text := range map[string]string{
		"status 000":           "HTTP/1.1 000 OK\r\n" + signed + "Content-Length: 4\r\n\r\nbody",
		"status 099":           "HTTP/1.1 099 OK\r\n" + signed + "Content-Length: 4\r\n\r\nbody",
		"status 600":           "HTTP/1.1 600 OK\r\n" + signed + "Content-Length: 4\r\n\r\nbody",
		"status 999":           "HTTP/1.1 999 OK\r\n" + signed + "Content-Length: 4\r\n\r\nbody",
		"unrequested upgrade":  "HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\n\r\n" + success + signed + "Content-Length: 4\r\n\r\nbody",
		"version":              "HTTP/2.0 200 OK\r\n" + signed + "Content-Length: 4\r\n\r\nbody",
		"blank in a name":      success + signed + "A b: c\r\nContent-Length: 4\r\n\r\nbody",
		"control in a name":    success + signed + "A\x01b: c\r\nContent-Length: 4\r\n\r\nbody",
		"blank after a length": success + signed + "Content-Length : 2\r\n\r\nbody",
		"tab after a length":   success + signed + "Content-Length\t: 2\r\n\r\nbody",
		"blank after chunked":  success + signed + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"folded signature":     success + "X-Request: ID\r\nX-Signature: s\r\n Content-Length: 4\r\n\r\nbody",
		"chunks of HTTP/1.0":   "HTTP/1.0 200 OK\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, rawResponse(text))
			for n, path := range []string{"/once/x", "/stream/x"} {
				resp := h.send(t, "POST", path, "prompt", "X-Model", "m", "X-Tokens", "100,10")
				assert.Equal(t, resp.StatusCode, http.StatusBadGateway, path)
				assert.Equal(t, h.deliveredCount(), n+1, path)
			}
			repeated := newHarness(t, rawResponse(text), respond(http.StatusOK, "whole"))
			for range 4 {
				resp := repeated.send(t, "POST", "/read/x", "body")
				assert.Equal(t, resp.StatusCode, http.StatusOK)
				assert.Equal(t, readBody(t, resp), "whole")
			}
		})
	}
}

// Guards against a part of a response that reaches a client as a whole one, since the upload has met the reset of the connection.
func TestResponseResetDuringItsUploadIsNoAnswer(t *testing.T) {
	h := newHarness(t, func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: "+r.Header.Get("X-Request")+"\r\n\r\npart")
		_, _ = io.ReadFull(buffered, make([]byte, 64<<10))
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
	h.configure(t, initialRevision+1, func(c *routes.Configuration) { c.Limits.BodyBytes = 64 << 20 })
	upload := strings.Repeat("a", 32<<20)
	for range 10 {
		assert.Equal(t, h.send(t, "POST", "/once/x", upload).StatusCode, http.StatusBadGateway)
	}
}
