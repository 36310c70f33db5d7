package engine

import (
	"io"
	"sync/atomic"
)

// The transmission states of a trackedBody.
const (
	bodyUnread int32 = iota
	bodyRead
	bodySealed
)

// trackedBody is a request body that records whether any of it may have been sent. It
// decides whether a failed request is provably not started: an endpoint does not begin
// before it has the whole body, because Content-Length precedes it.
type trackedBody struct {
	state     atomic.Int32
	size      int
	remaining []byte
}

func newTrackedBody(content []byte) *trackedBody {
	return &trackedBody{size: len(content), remaining: content}
}

// Read returns the content until the body is sealed.
func (b *trackedBody) Read(p []byte) (int, error) {
	if !b.state.CompareAndSwap(bodyUnread, bodyRead) && b.state.Load() == bodySealed {
		return 0, &sealedBodyError{}
	}
	if len(b.remaining) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.remaining)
	b.remaining = b.remaining[n:]
	if len(b.remaining) == 0 {
		// net/http keeps the request until its response is read, which takes long for a
		// stream. Dropping the reference saves a second copy of the prompt for each open
		// stream.
		b.remaining = nil
	}
	return n, nil
}

// Close does nothing: net/http closes bodies that it never read, and such a body must
// still be sealable.
func (b *trackedBody) Close() error { return nil }

// seal reports whether nothing was read so far, and if so prevents later reads. net/http
// may return from a failed request before its write goroutine has picked up the body;
// without the seal such a request could be reported as not started and still be sent
// afterwards.
func (b *trackedBody) seal() bool { return b.state.CompareAndSwap(bodyUnread, bodySealed) }
