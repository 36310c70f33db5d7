package engine

import (
	"io"
	"sync/atomic"
)

// The states of a onceBody.
const (
	bodyFresh int32 = iota
	bodyRead
	bodySealed
)

// onceBody is a request body that knows whether any of it may have left this
// process. The endpoint cannot begin before it has the whole body, because the
// length is declared in front of it.
type onceBody struct {
	state atomic.Int32
	size  int
	rest  []byte
}

func newOnceBody(content []byte) *onceBody {
	return &onceBody{size: len(content), rest: content}
}

// Read gives the content until the body is sealed.
func (b *onceBody) Read(p []byte) (int, error) {
	if !b.state.CompareAndSwap(bodyFresh, bodyRead) && b.state.Load() == bodySealed {
		return 0, &sealedBody{}
	}
	if len(b.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	if len(b.rest) == 0 {
		// net/http holds the request for as long as its answer is read, which
		// for a stream is long. Without this each open stream would hold a
		// second copy of its prompt.
		b.rest = nil
	}
	return n, nil
}

// Close does nothing: net/http closes bodies that it never read, and a body
// must stay sealable after that.
func (b *onceBody) Close() error { return nil }

// seal reports whether nothing was read so far, and in that case makes sure
// that nothing will be. net/http may return from a failed request while its
// writing goroutine has yet to pick up the body; without the seal such a
// request could be reported as not started and leave afterwards.
func (b *onceBody) seal() bool { return b.state.CompareAndSwap(bodyFresh, bodySealed) }
