package forward

import (
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/systems/quarantine"
)

// unframed returns a handler that sends a response with neither a length nor chunks, and ends it by
// closing the connection, or by resetting it.
func unframed(contentType, body string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, buffer, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: " + r.Header.Get("X-Request") + "\r\nContent-Type: " + contentType + "\r\n\r\n" + body)
		_ = buffer.Flush()
		if reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		_ = conn.Close()
	}
}

const twoEvents = "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n"

// Guards against streams that end with their connection and are passed on as complete though they end inside an event, or before any, and against whole ones that are not.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	for name, test := range map[string]struct {
		body     string
		reset    bool
		received string
		complete bool
	}{
		"after an event":    {twoEvents, false, twoEvents, true},
		"inside an event":   {twoEvents + "id: 3\ndata: cu", false, twoEvents, false},
		"after a line":      {twoEvents + "id: 3\ndata: cut\n", false, twoEvents, false},
		"reset in an event": {twoEvents + "id: 3\ndata: cu", true, twoEvents, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, unframed(eventStreamType, test.body, test.reset))
			resp := h.send(t, "POST", "/stream/x", "prompt", "X-Model", "m", "X-Tokens", "100,10")
			if resp.StatusCode != http.StatusOK {
				assert.Assert(t, test.reset, "status %d", resp.StatusCode) // the reset has overtaken the events
				return
			}
			body, err := io.ReadAll(resp.Body)
			assert.Equal(t, err == nil, test.complete)
			if !test.reset {
				assert.Equal(t, string(body), test.received)
			}
			assert.Equal(t, h.deliveredCount(), 1)
		})
	}
}

// Guards against a stream without any event that counts as complete because its endpoint has closed the connection.
func TestEmptyStreamThatEndsWithItsConnectionIsNoAnswer(t *testing.T) {
	h := newHarness(t, unframed(eventStreamType, "", false))
	resp := h.send(t, "POST", "/stream/x", "prompt", "X-Model", "m", "X-Tokens", "100,10")
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
}

// Guards against a resumable stream that is not resumed, or not after the right event, if it breaks off with its connection.
func TestStreamThatEndsInsideAnEventIsResumed(t *testing.T) {
	broken := unframed(eventStreamType, twoEvents+"id: 3\ndata: cu", false)
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "" {
			broken(w, r)
			return
		}
		streamEvents(4, 4)(w, r)
	}
	h := newHarness(t, handler, handler)
	resp := h.send(t, "POST", "/resume/x", "prompt", "X-Model", "m", "X-Tokens", "100,10")
	assert.Equal(t, readBody(t, resp), twoEvents+"id: 3\ndata: t3\n\nid: 4\ndata: t4\n\n")
}

// Guards against responses that end with their connection and are not passed on whole, or are passed on though the connection was reset.
func TestResponseThatEndsWithItsConnection(t *testing.T) {
	whole := newHarness(t, unframed("text/plain", "all of it", false))
	assert.Equal(t, readBody(t, whole.send(t, "POST", "/once/x", "body")), "all of it")
	reset := newHarness(t, unframed("text/plain", "a part", true))
	assert.Equal(t, reset.send(t, "POST", "/once/x", "body").StatusCode, http.StatusBadGateway)
}

// Guards against a part that is taken for harmless because a crash looks like the end of a response without a length.
func TestResponseThatEndsWithItsConnectionClearsNoPart(t *testing.T) {
	h := newHarness(t, unframed(eventStreamType, twoEvents, false))
	part := quarantine.Part(parts.NewID("m", "", "a"))
	h.server.MergeSuspects([]quarantine.Suspect{{Part: part, Fingerprint: 1, Incarnation: quarantine.Incarnation{Endpoint: "gone"}}})
	resp := h.send(t, "POST", "/stream/x", "prompt", "X-Model", "m", "X-Tokens", "100,10", "X-Prefix", "a:50,u:50")
	assert.Equal(t, readBody(t, resp), twoEvents)
	assert.Assert(t, !h.server.crashDetector.Empty())
}
