package readlimit

import (
	"io"
	"net/http"

	"github.com/carawaystile/carawaystile/internal/httpresponse"
)

// Reader fails with *TooLargeError after so many bytes. It reads one byte beyond them at most.
type Reader struct {
	from io.Reader
	// left is the number of bytes that may still come; negative once there were more.
	left int64
	err  *TooLargeError
}

// NewReader returns a reader of at most limit bytes of what, which is part of the error.
func NewReader(from io.Reader, what string, limit int64) *Reader {
	return &Reader{from: from, left: limit, err: &TooLargeError{What: what, Limit: limit}}
}

// Read implements io.Reader.
func (r *Reader) Read(p []byte) (int, error) {
	if r.left < 0 {
		return 0, r.err
	}
	if int64(len(p)) > r.left {
		p = p[:r.left+1]
	}
	n, err := r.from.Read(p)
	if r.left -= int64(n); r.left < 0 {
		return n - 1, r.err
	}
	return n, err
}

// HeadReader is a Reader whose limit ends with Lift: the bytes after a header may be a stream.
type HeadReader struct{ reader *Reader }

// NewHeadReader returns a reader that fails after HeaderBytes until Lift is called.
func NewHeadReader(from io.Reader) *HeadReader {
	return &HeadReader{reader: NewReader(from, "response header", HeaderBytes)}
}

// Read implements io.Reader.
func (h *HeadReader) Read(p []byte) (int, error) { return h.reader.Read(p) }

// Lift ends the limit.
func (h *HeadReader) Lift() { h.reader.left = 1<<63 - 1 }

// transport is the http.RoundTripper of NewTransport.
type transport struct {
	httpresponse.Transport
	what  string
	bytes int64
}

// NewTransport bounds the header of a response to HeaderBytes and its body to so many bytes. Reads
// of a longer body, decompressed if the transport does that, fail with *TooLargeError, which names
// what. A response that is malformed fails with *httpresponse.MalformedError.
func NewTransport(base *http.Transport, what string, bodyBytes int64) http.RoundTripper {
	base.MaxResponseHeaderBytes = HeaderBytes
	return &transport{Transport: httpresponse.Transport{Transport: base}, what: what, bytes: bodyBytes}
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &responseBody{Reader: NewReader(resp.Body, t.what, t.bytes), Closer: resp.Body}
	return resp, nil
}

// responseBody is a response body that is read up to a limit.
type responseBody struct {
	*Reader
	io.Closer
}
