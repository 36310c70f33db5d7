package exchange

import (
	"io"
	"slices"

	"github.com/carawaystile/carawaystile/engine"
)

// Sizes of the buffers of a response body, in bytes. Each is twice as large as the one before, up to maxBodyBuffer, and
// none reaches beyond a length that is known.
const (
	minBodyBuffer = 1 << 10
	maxBodyBuffer = 256 << 10
)

// Body is a response body in the pieces in which it was read.
type Body [][]byte

// Len returns the length of the body in bytes.
func (b Body) Len() (bytes int) {
	for _, piece := range b {
		bytes += len(piece)
	}
	return bytes
}

// Meter is told how a response body is read.
type Meter interface {
	// Reserve is called with the size of each buffer in bytes before it is allocated. It may block, and the endpoint is
	// not read meanwhile. Its error ends the response.
	Reserve(bytes int) error
	// Release is called with the size of what was reserved and is not used.
	Release(bytes int)
	// Progress is called after each read that has returned bytes.
	Progress()
}

// unmetered is a Meter that bounds nothing.
type unmetered struct{}

func (unmetered) Reserve(int) error { return nil }
func (unmetered) Release(int)       {}
func (unmetered) Progress()         {}

// ReadAll returns the whole body, or *engine.InterruptedError if the body is truncated or
// exceeds the client's limit.
func (res *Response) ReadAll() ([]byte, error) {
	body, err := res.ReadAllMetered(unmetered{})
	return slices.Concat(body...), err
}

// ReadAllMetered is ReadAll with a meter. What was reserved and not released is the length of the body.
func (res *Response) ReadAllMetered(meter Meter) (Body, error) {
	body, err := res.readPieces(meter)
	if err != nil {
		res.Close()
		return nil, &engine.InterruptedError{Attempt: res.attempt, Cause: err}
	}
	res.finish()
	return body, nil
}

// readPieces reads to the end of the body.
func (res *Response) readPieces(meter Meter) (body Body, err error) {
	limit := res.client.maxResponseBytes
	for total, size := int64(0), minBodyBuffer; err == nil; size = min(2*size, maxBodyBuffer) {
		next := min(int64(size), limit+1-total)
		if length := res.resp.ContentLength; length >= 0 {
			next = min(next, max(length-total, 1)) // one byte to read the end
		}
		if err := meter.Reserve(int(next)); err != nil {
			return nil, err
		}
		var piece []byte
		piece, err = res.fill(make([]byte, 0, next), meter)
		body = append(body, piece)
		if total += int64(len(piece)); total > limit {
			return nil, &engine.TooLargeError{What: "response", Limit: limit}
		}
	}
	if err != io.EOF {
		return nil, err
	}
	body[len(body)-1] = trim(body[len(body)-1], meter)
	return body, nil
}

// trim returns a piece in a buffer of its length.
func trim(piece []byte, meter Meter) []byte {
	if len(piece) == cap(piece) {
		return piece
	}
	meter.Release(cap(piece) - len(piece))
	return append(make([]byte, 0, len(piece)), piece...)
}

// fill reads until a buffer is full.
func (res *Response) fill(piece []byte, meter Meter) ([]byte, error) {
	for len(piece) < cap(piece) {
		n, err := res.resp.Body.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		if n > 0 {
			meter.Progress()
		}
		if err != nil {
			return piece, err
		}
	}
	return piece, nil
}
