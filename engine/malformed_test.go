package engine_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/internal/httpresponse"
)

// Guards against bytes that are not an HTTP response being taken for a response of a plain service, of the accepted kind or any other.
func TestMalformedResponseOfCallIsInterrupted(t *testing.T) {

	for name, head := range map[string]string{
		"status 000": "HTTP/1.1 000 OK\r\n", "status 999": "HTTP/1.1 999 OK\r\n", "signed status": "HTTP/1.1 +20 OK\r\n",
		"version": "HTTP/2.0 200 OK\r\n", "blank in a name": "HTTP/1.1 200 OK\r\nA b: c\r\n",
		"upgrade": "HTTP/1.1 101 Switching Protocols\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			at := serve(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				conn, _, err := http.NewResponseController(w).Hijack()
				assert.Check(t, err)
				defer conn.Close()
				_, _ = io.WriteString(conn, head+engine.HeaderAttempt+": a1\r\n"+engine.HeaderBoot+": b\r\nContent-Length: 2\r\n\r\n{}")
			})
			response, err := engine.NewHTTPClient(engine.Options{}).Call(context.Background(), at, engine.CallRequest{Attempt: "a1", Path: "/x", Body: []byte("{}")})
			var interrupted *engine.InterruptedError
			var malformed *httpresponse.MalformedError
			assert.Assert(t, errors.As(err, &interrupted) && errors.As(err, &malformed), "%v, %+v", err, response)
		})
	}
}

// Guards against a part of a response that is taken for whole, since the upload has met the reset of the connection.
func TestResponseOfCallResetDuringItsUploadIsInterrupted(t *testing.T) {
	at := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		assert.Check(t, err)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+engine.HeaderAttempt+": a1\r\n"+engine.HeaderBoot+": b\r\n\r\npart")
		_, _ = io.ReadFull(buffered, make([]byte, 64<<10))
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
	body := make([]byte, 32<<20)
	for range 20 {
		_, err := engine.NewHTTPClient(engine.Options{}).Call(context.Background(), at, engine.CallRequest{Attempt: "a1", Path: "/x", Body: body})
		var interrupted *engine.InterruptedError
		assert.Assert(t, errors.As(err, &interrupted), "%v", err)
	}
}
