package exchange

import (
	"net"
	"net/http"

	"github.com/carawaystile/carawaystile/internal/httpresponse"
	"github.com/carawaystile/carawaystile/internal/readlimit"
)

// headerSource is what the buffered reader of a connection reads from. While a response header is
// read it bounds the bytes of the connection, as net/http.ReadResponse has no limit. Bodies pass
// through it unchanged.
type headerSource struct {
	net.Conn
	// limited is set while a header is read, and exceeded once it needed more than remaining bytes.
	limited, exceeded bool
	remaining         int
	// head checks the header that is read.
	head httpresponse.Head
	// reserve reserves memory for the header beyond freeHeaderBytes, of which reserved bytes are; nil for no bound.
	reserve  func(bytes int64) error
	reserved int64
	// refused is the error of reserve.
	refused error
	// received counts the bytes that were read from the connection.
	received int64
}

// freeHeaderBytes is the memory of the headers of a response that is not reserved, in bytes.
const freeHeaderBytes = 16 << 10

// Read reads from the connection, and fails once a header exceeds its limit.
func (s *headerSource) Read(p []byte) (int, error) {
	if !s.limited {
		n, err := s.Conn.Read(p)
		s.received += int64(n)
		return n, err
	}
	if s.remaining <= 0 {
		s.exceeded = true
		return 0, errHeaderTooLarge
	}
	n, err := s.Conn.Read(p[:min(len(p), s.remaining)])
	s.remaining -= n
	s.received += int64(n)
	s.head.Add(p[:n])
	if s.refused = s.reserveMore(); s.refused != nil {
		return 0, s.refused
	}
	return n, err
}

// reserveMore reserves memory for what was read of the header.
func (s *headerSource) reserveMore() error {
	more := s.head.Cost() - freeHeaderBytes - s.reserved
	if s.reserve == nil || more <= 0 {
		return nil
	}
	if err := s.reserve(more); err != nil {
		return err
	}
	s.reserved += more
	return nil
}

var errHeaderTooLarge = &readlimit.TooLargeError{What: "response header", Limit: readlimit.HeaderBytes}

// readHeader reads the header of the next response. The interim responses before it count towards
// its limit. It fails with *readlimit.TooLargeError, *readlimit.TooManyError or
// *httpresponse.MalformedError; the connection must be closed after any error.
func (c *connection) readHeader(request *http.Request) (*http.Response, error) {
	c.source.limited, c.source.remaining = true, readlimit.HeaderBytes-c.reader.Buffered()
	defer func() { c.source.limited = false }()
	for interim := 0; ; interim++ {
		c.source.head = httpresponse.Head{}
		buffered, _ := c.reader.Peek(c.reader.Buffered()) // does not fail for what is buffered
		c.source.head.Add(buffered)
		resp, err := http.ReadResponse(c.reader, request)
		if c.source.refused != nil {
			return nil, c.source.refused
		}
		if c.source.exceeded {
			// A cut line may have been reported as malformed, or taken for whole.
			return nil, errHeaderTooLarge
		}
		if err != nil {
			return nil, err
		}
		if err := c.source.head.Err(); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, &httpresponse.MalformedError{What: "upgrade that was not requested"}
		}
		if interim == readlimit.InterimResponses {
			return nil, &readlimit.TooManyError{What: "interim responses", Limit: readlimit.InterimResponses}
		}
	}
}
