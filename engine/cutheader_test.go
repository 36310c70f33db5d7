package engine_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
)

// Guards against a call or a stream that succeeds, or counts as not started, though its endpoint stopped inside the header of its response.
func TestResponseCutInItsHeaderIsInterrupted(t *testing.T) {
	for name, framing := range map[string]string{
		"length": "Content-Length: 12\r\n", "chunks": "Transfer-Encoding: chunked\r\n", "end of the connection": "Connection: close\r\n", "no word on the end": "",
	} {
		t.Run(name, func(t *testing.T) {
			header := "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Boot: b\r\nContent-Type: text/event-stream\r\n" + framing + "\r\n"
			for cut := range len(header) {
				at := serve(t, cutAfter(header[:cut]))
				var interrupted *engine.InterruptedError
				_, err := engine.NewHTTPClient(engine.Options{}).Call(context.Background(), at, engine.CallRequest{Attempt: "a1", Path: "/v1/call/publish", Body: []byte("note")})
				assert.Assert(t, errors.As(err, &interrupted), "call, after %q: %v", header[:cut], err)
				_, err = engine.NewHTTPClient(engine.Options{}).Generate(context.Background(), at, request("a1", "p", 1))
				assert.Assert(t, errors.As(err, &interrupted), "stream, after %q: %v", header[:cut], err)
			}
		})
	}
}

// cutAfter returns a handler that sends the beginning of a response and closes the connection.
func cutAfter(beginning string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, beginning)
		_ = conn.Close()
	}
}
