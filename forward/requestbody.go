package forward

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/carawaystile/carawaystile/bufferbudget"
	"github.com/carawaystile/carawaystile/tables"
)

// readBody buffers the whole body, since a retry at another endpoint sends it again. It
// returns false if it has rejected the request.
func (c *clientRequest) readBody() bool {
	limit := c.table.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if c.r.ContentLength > limit {
		c.w.Header().Set("Connection", "close")
		c.rejectPermanently(http.StatusRequestEntityTooLarge, tables.CodeTooLarge)
		return false
	}
	holder := c.openBuffer(bufferbudget.RequestBody)
	if !c.server.reserveNow(holder, max(c.r.ContentLength, 0)) {
		c.rejectBody()
		return false
	}
	body, err := c.readUntilDeadline(http.MaxBytesReader(c.w, c.r.Body, limit), holder)
	var tooLarge *http.MaxBytesError
	var usedUp *budgetError
	switch {
	case errors.As(err, &usedUp):
		c.rejectBody()
		return false
	case errors.As(err, &tooLarge):
		c.rejectPermanently(http.StatusRequestEntityTooLarge, tables.CodeTooLarge)
		return false
	case c.r.ContentLength != 0 && (c.now() >= c.deadline || c.evicted.Load()):
		// Not every error is that of the deadline: net/http has another one for a trailer, and the
		// deadline may end the connection after the last byte of the body.
		c.lastErr = err
		c.w.Header().Set("Connection", "close")
		c.rejectPermanently(http.StatusRequestTimeout, tables.CodeBodyTimeout)
		return false
	case err != nil:
		// The client disconnected or sent a malformed body. Nothing has run.
		c.lastErr = err
		c.w.Header().Set("Connection", "close")
		c.rejectPermanently(http.StatusBadRequest, tables.CodeMalformed)
		return false
	}
	c.body = body
	return true
}

// rejectBody rejects a request whose body does not fit into the buffer budget.
func (c *clientRequest) rejectBody() {
	c.w.Header().Set("Connection", "close")
	c.rejectRetryable(tables.CodeOverloaded, retryAfterOverload)
}

// defaultMaxBodyBytes bounds a body if the configuration sets no limit.
const defaultMaxBodyBytes = 4 << 20

// readUntilDeadline reads a body until the request's deadline. A client that sends nothing meanwhile may be evicted to
// make room for others.
func (c *clientRequest) readUntilDeadline(reader io.Reader, holder *bufferbudget.Holder) ([]byte, error) {
	body := requestBody{reader: reader, server: c.server, holder: holder}
	if c.r.ContentLength == 0 {
		return body.readAll(0)
	}
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(time.Now().Add(c.deadline - c.now()))
	holder.Evictable(c.now(), c.stopReading)
	data, err := body.readAll(c.r.ContentLength)
	holder.Unevictable()
	c.disconnectMu.Lock()
	defer c.disconnectMu.Unlock()
	c.bodyEnded = true
	if err == nil && !c.evicted.Load() {
		// A deadline that remained would look as if the client had disconnected.
		_ = control.SetReadDeadline(time.Time{})
		return data, nil
	}
	return nil, cmp.Or(err, error(&evictedError{}))
}

// stopReading ends the read of the body of an evicted client. Any goroutine may call it.
func (c *clientRequest) stopReading() {
	c.disconnectMu.Lock()
	defer c.disconnectMu.Unlock()
	if c.bodyEnded || c.released {
		return
	}
	c.evicted.Store(true)
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Unix(1, 0))
}

// unreadBodyTimeout bounds the time for which net/http waits for the rest of a body that was not read,
// before it sends the response and keeps the connection.
const unreadBodyTimeout = time.Second

// boundUnreadBody bounds the wait for a body that the request does not need, also by the client's own
// timeout.
func (c *clientRequest) boundUnreadBody() {
	if c.r.ContentLength == 0 || c.body != nil {
		return
	}
	wait := unreadBodyTimeout
	if timeout, set := c.clientTimeout(); set {
		wait = min(wait, c.arrivedAt+timeout-c.now())
	}
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(wait))
}
