package forward

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// cutHeaders are headers of responses to the request cutRequest by their framing.
var cutHeaders = map[string]string{
	"length":                "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: ID\r\nContent-Length: 4\r\n\r\n",
	"length first":          "HTTP/1.1 200 OK\r\nContent-Length: 32\r\nX-Signature: s\r\nX-Request: ID\r\n\r\n",
	"chunks":                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Signature: s\r\nX-Request: ID\r\n\r\n",
	"end of the connection": "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: ID\r\nConnection: close\r\n\r\n",
	"events":                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Signature: s\r\nX-Request: ID\r\nTransfer-Encoding: chunked\r\n\r\n",
	"rejection":             "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Request: ID\r\nContent-Length: 0\r\n\r\n",
	"interim response":      "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: ID\r\n\r\n",
}

const cutRequest = "ID"

// cutHeader returns a handler that sends the first bytes of a header and closes the connection, or resets it.
func cutHeader(header string, cut int, reset bool, sent *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		sent.Add(1)
		_, _ = io.WriteString(conn, header[:cut])
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}
}

// Guards against clients that get a success, or the promise that their request did not run, from an endpoint that stops inside the header of its response.
func TestResponseCutInItsHeaderIsNoAnswer(t *testing.T) {
	for name, header := range cutHeaders {
		t.Run(name, func(t *testing.T) {
			for cut := range len(header) {
				var sent atomic.Int64
				h := newHarness(t, cutHeader(header, cut, cut%2 == 1, &sent))
				for n, to := range []string{"/once/x", "/stream/x"} {
					resp := h.send(t, "POST", to, "prompt", "X-Request", cutRequest, "X-Model", "m", "X-Tokens", "100,10")
					assert.Equal(t, resp.StatusCode, http.StatusBadGateway, "%s after %q", to, header[:cut])
					assert.Equal(t, sent.Load(), int64(n+1), to)
				}
			}
		})
	}
}

// Guards against a request that may be repeated and gets less than the whole response of its second endpoint.
func TestRequestIsRepeatedAfterACutHeader(t *testing.T) {
	sound := map[string]http.HandlerFunc{"/read/x": respond(200, "all of it"), "/resume/x": streamEvents(2, 2)}
	whole := map[string]string{"/read/x": "all of it", "/resume/x": twoEvents}
	for name, header := range cutHeaders {
		t.Run(name, func(t *testing.T) {
			for cut := range len(header) {
				for to, answer := range sound {
					var sent atomic.Int64
					handler := func(w http.ResponseWriter, r *http.Request) {
						if sent.Load() == 0 {
							cutHeader(header, cut, cut%2 == 1, &sent)(w, r)
							return
						}
						answer(w, r)
					}
					resp := newHarness(t, handler, handler).send(t, "POST", to, "prompt", "X-Request", cutRequest, "X-Model", "m", "X-Tokens", "100,10")
					assert.Equal(t, resp.StatusCode, http.StatusOK)
					assert.Equal(t, readBody(t, resp), whole[to], "after %q", header[:cut])
				}
			}
		})
	}
}

// Guards against the same through a relay, which ends its connection in another way.
func TestRelayedResponseCutInItsHeaderIsNoAnswer(t *testing.T) {
	for name, header := range cutHeaders {
		t.Run(name, func(t *testing.T) {
			var sent atomic.Int64
			var cut int
			h := newRelayHarness(t, func(w http.ResponseWriter, r *http.Request) { cutHeader(header, cut, false, &sent)(w, r) })
			for cut = range len(header) {
				resp := h.send(t, "POST", "/once/x", "body", "X-Request", cutRequest)
				assert.Equal(t, resp.StatusCode, http.StatusBadGateway, "after %q", header[:cut])
				assert.Equal(t, sent.Load(), int64(cut+1))
			}
		})
	}
}

// Guards against a stream that ends as complete because the endpoint that resumes it stops inside its header.
func TestStreamResumedByACutHeaderIsBroken(t *testing.T) {
	header := cutHeaders["events"]
	for cut := range len(header) {
		var sent atomic.Int64
		handler := func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Last-Event-Id") == "" {
				streamEvents(3, 6)(w, r)
				return
			}
			cutHeader(header, cut, cut%2 == 1, &sent)(w, r)
		}
		h := newHarness(t, handler, handler)
		resp := h.send(t, "POST", "/resume/x", "prompt", "X-Request", cutRequest, "X-Model", "m", "X-Tokens", "100,10")
		_, err := io.ReadAll(resp.Body)
		assert.Assert(t, err != nil, "after %q", header[:cut])
		assert.Equal(t, sent.Load(), int64(1))
	}
}
