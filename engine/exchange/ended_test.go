package exchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
)

// Guards against a request that is sent although its time is over, and whose outcome then counts as
// unknown.
func TestRequestWhoseContextHasEndedIsNotSent(t *testing.T) {
	received := make(chan string, 1000)
	to := startEndpoint(t, func(_ int, conn net.Conn) {
		r := bufio.NewReader(conn)
		for id := readRequestID(r); id != ""; id = readRequestID(r) {
			received <- id
			_, _ = io.WriteString(conn, okResponse(id, ""))
		}
	})
	c := NewClient(Options{Headers: headers()})
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for range 200 {
		response, err := send(t, c, to, request("open"))
		assert.NilError(t, err)
		_, err = response.ReadAll()
		assert.NilError(t, err)
		_, err = c.Send(ended, to, request("ended"))
		var notStarted *engine.NotStartedError
		assert.Assert(t, errors.As(err, &notStarted), "%v", err)
		assert.Assert(t, !notStarted.Unreachable)
	}
	_, err := send(t, c, to, request("last"))
	assert.NilError(t, err)
	for id := ""; id != "last"; {
		id = <-received
		assert.Assert(t, id != "ended")
	}
}

// Guards against a rejected request that waits until its deadline for the rest of the rejection,
// although it could go to another endpoint.
func TestRejectionWhoseBodyNeverArrivesIsReturned(t *testing.T) {
	to := startEndpoint(t, func(_ int, conn net.Conn) {
		r := bufio.NewReader(conn)
		readRequestID(r)
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Request: r\r\nX-Not-Run: full\r\nContent-Length: 100\r\n\r\npart")
		readRequestID(r)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err := NewClient(Options{Headers: headers()}).Send(ctx, to, request("r"))
	var rejected *RejectedError
	assert.Assert(t, errors.As(err, &rejected), "%v", err)
	assert.NilError(t, ctx.Err(), "the rejection was returned at the deadline")
}
