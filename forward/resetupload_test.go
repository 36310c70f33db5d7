package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// uploadBytes is the size of an upload that is not sent in whole before its response is reset.
	uploadBytes = 32 << 20
	// keptWarm is a path whose requests are answered in order, so that their connections are kept.
	keptWarm = "/once/warm"
)

// resetResponse returns a handler that sends a response without a length, reads some of the upload and resets the connection.
func resetResponse(body string, read int, pause time.Duration, contentType string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == keptWarm {
			respond(200, "whole")(w, r)
			return
		}
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Signature: s\r\nX-Request: "+r.Header.Get("X-Request")+contentType+"\r\n\r\n"+body)
		_, _ = io.ReadFull(buffered, make([]byte, read))
		time.Sleep(pause)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// Guards against a part of a response that looks whole on some way to an endpoint or for some kind of request.
func TestResponseResetDuringItsUploadIsWholeOnNoWay(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	now := func() tables.Instant { return time.Since(testStart) }
	ways := map[string]func(handler http.HandlerFunc) *harness{
		"direct": func(handler http.HandlerFunc) *harness { return newHarness(t, handler, handler) },
		"relay":  func(handler http.HandlerFunc) *harness { return newRelayHarness(t, handler, handler).harness },
		"scheduler": func(handler http.HandlerFunc) *harness {
			endpoints := newFakeEndpoints(t, handler, handler)
			h := newHarnessWith(t, now, endpoints)
			attachScheduler(h, newHarnessWith(t, now, endpoints))
			return h
		},
	}
	for way, build := range ways {
		for _, test := range []struct {
			path, body, contentType string
			headers                 []string
		}{
			{"/once/x", "part", "", nil},
			{"/once/x", "part", "", []string{"Expect", "100-continue"}},
			{"/read/x", "part", "", nil},
			{"/stream/x", events, "\r\nContent-Type: text/event-stream", []string{"X-Model", "m", "X-Tokens", "100,10"}},
			{"/resume/x", events, "\r\nContent-Type: text/event-stream", []string{"X-Model", "m", "X-Tokens", "100,10"}},
			{"/resume/x", strings.ReplaceAll(events, "id: ", "id: 1"), "\r\nContent-Type: text/event-stream", []string{"X-Model", "m", "X-Tokens", "100,10", "Last-Event-Id", "10"}},
		} {
			for _, read := range []int{0, 64 << 10} {
				for _, pause := range []time.Duration{0, 50 * time.Millisecond} {
					t.Run(fmt.Sprint(way, test.path, len(test.headers), " ", read, " ", pause), func(t *testing.T) {
						h := build(resetResponse(test.body, read, pause, test.contentType))
						h.configure(t, initialRevision+1, func(c *routes.Configuration) { c.Limits.BodyBytes = 2 * uploadBytes })
						_ = readBody(t, h.send(t, "POST", keptWarm, ""))
						resp := h.send(t, "POST", test.path, strings.Repeat("a", uploadBytes), test.headers...)
						body, err := io.ReadAll(resp.Body)
						assert.Assert(t, resp.StatusCode != http.StatusOK || err != nil, "whole: %q", body)
					})
				}
			}
		}
	}
}
