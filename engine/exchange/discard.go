package exchange

import (
	"io"
	"time"

	"github.com/carawaystile/carawaystile/internal/readlimit"
)

const (
	// maxDiscardedBytes is the length up to which the body of a rejection is read to keep its
	// connection, and discardTimeout the time for it. Beyond them the connection is closed.
	maxDiscardedBytes = 64 << 10
	discardTimeout    = 100 * time.Millisecond
)

// Discard ends a response whose body nobody wants, without waiting for the body. If that has not
// arrived yet it is read in the background.
func (res *Response) Discard() {
	length := res.resp.ContentLength
	switch {
	case length >= 0 && length <= int64(res.conn.reader.Buffered()):
		res.discardBody()
	case length > maxDiscardedBytes, res.EndsWithConnection(), res.resp.Close, res.conn.unpooled, !res.detach():
		res.Close()
	default:
		go res.discardBody()
	}
}

// detach makes the connection independent of the context, with a deadline for the rest of the
// body. It returns false if the context has already ended.
func (res *Response) detach() bool {
	if !res.stopCancellation() {
		return false
	}
	res.stopCancellation = func() bool { return true }
	return res.conn.SetDeadline(time.Now().Add(discardTimeout)) == nil
}

// discardBody reads the body without keeping it, and ends the response.
func (res *Response) discardBody() {
	if discardUpTo(res.resp.Body, maxDiscardedBytes, "rejection") != nil {
		res.Close()
		return
	}
	res.finish()
}

// discardUpTo reads to the end without keeping what it reads, or fails with
// *readlimit.TooLargeError.
func discardUpTo(body io.Reader, limit int64, what string) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, limit+1))
	if err == nil && n > limit {
		return &readlimit.TooLargeError{What: what, Limit: limit}
	}
	return err
}
