package exchange

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
)

// foreignRejections are responses that name no request and state or promise that one did not run.
var foreignRejections = map[string]string{
	"full":             "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"unmarked":         "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
	"rate limited":     "HTTP/1.1 429 Too Many Requests\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nlate",
	"malformed":        "HTTP/1.1 400 Bad Request\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"misdirected":      "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
	"timed out unread": "HTTP/1.1 408 Request Timeout\r\nX-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
}

// Guards against work that runs twice because a rejection that names no request is taken as proof.
func TestRejectionWithoutIDIsNoProof(t *testing.T) {
	for name, rejection := range foreignRejections {
		for _, atMostOnce := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, at most once %t", name, atMostOnce), func(t *testing.T) {
				testRejectionWithoutID(t, rejection, func(id string) *Request {
					r := request(id)
					r.AtMostOnce = atMostOnce
					return r
				})
			})
		}
	}
}

func testRejectionWithoutID(t *testing.T, rejection string, request func(id string) *Request) {
	t.Run("kept connection", func(t *testing.T) {
		to := startEndpoint(t, func(_ int, conn net.Conn) {
			r := bufio.NewReader(conn)
			_, _ = io.WriteString(conn, okResponse(readRequestID(r), "own"))
			second := readRequestID(r)
			_, _ = io.WriteString(conn, rejection+okResponse(second, "own"))
			_ = readRequestID(r)
		})
		c := NewClient(Options{Headers: headers()})
		assertAnswered(t, c, request("r-1"), to)
		second, skipped := request("r-2"), 0
		second.OnForeign = func(int, Evidence) { skipped++ }
		assertAnswered(t, c, second, to)
		assert.Equal(t, skipped, 1)
	})
	t.Run("new and relayed connection", func(t *testing.T) {
		to := startEndpoint(t, func(_ int, conn net.Conn) {
			_, _ = io.WriteString(conn, rejection)
			r := bufio.NewReader(conn)
			_, _ = io.WriteString(conn, okResponse(readRequestID(r), "own"))
			_ = readRequestID(r)
		})
		c := NewClient(Options{Headers: headers()})
		assertAnswered(t, c, request("r-1"), to)
		relayed := request("r-2")
		relayed.Dial = engine.DialTCP
		assertAnswered(t, c, relayed, to)
	})
	t.Run("no other response", func(t *testing.T) {
		to := startEndpoint(t, func(_ int, conn net.Conn) {
			_ = readRequestID(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, rejection)
		})
		_, err := send(t, NewClient(Options{Headers: headers()}), to, request("r-1"))
		var notStarted *engine.NotStartedError
		assert.Assert(t, err != nil && !errors.As(err, &notStarted), "%v", err)
	})
}

func assertAnswered(t *testing.T, c *Client, r *Request, to netip.AddrPort) {
	t.Helper()
	response, err := send(t, c, to, r)
	assert.NilError(t, err)
	body, err := response.ReadAll()
	assert.NilError(t, err)
	assert.Equal(t, string(body), "own")
}

// Guards against a copy of the rejection of an earlier attempt that is taken for that of the next one.
func TestCopyOfAnEarlierRejectionIsNoProof(t *testing.T) {
	const rejection = "HTTP/1.1 421 Misdirected Request\r\nX-Request: r-1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	to := startEndpoint(t, func(n int, conn net.Conn) {
		r := bufio.NewReader(conn)
		first := readRequestID(r)
		if n == 0 {
			_, _ = io.WriteString(conn, rejection)
			if readRequestID(r) == "" {
				return
			}
			_, _ = io.WriteString(conn, rejection)
		}
		_, _ = io.WriteString(conn, okResponse(first, "own"))
		_ = readRequestID(r)
	})
	c := NewClient(Options{Headers: headers()})
	_, err := send(t, c, to, request("r-1"))
	var rejected *RejectedError
	assert.Assert(t, errors.As(err, &rejected), "%v", err)
	again := request("r-1")
	again.Attempt, again.Repeated = "a-2", true
	assertAnswered(t, c, again, to)
}
