package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"sync"
)

const readBufferBytes = 4 << 10

var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}

var (
	fieldEvent = []byte("event:")
	fieldData  = []byte("data:")
)

// eventReader is a parser of server-sent events that uses bounded memory. The slices that
// it returns are valid until the next call.
type eventReader struct {
	r     *bufio.Reader
	limit int
	// onLine is called for every line, comments included.
	onLine func()
	name   [16]byte
	data   []byte
	line   []byte
	// dataBytes and otherBytes count the lines with data and all others since the last event.
	dataBytes, otherBytes int
}

func newEventReader(r io.Reader, limit int, onLine func()) *eventReader {
	buffered := readerPool.Get().(*bufio.Reader)
	buffered.Reset(r)
	return &eventReader{r: buffered, limit: limit, onLine: onLine}
}

// release returns the buffer to the pool; the reader must not be used afterwards.
func (e *eventReader) release() {
	if e.r == nil {
		return
	}
	e.r.Reset(nil)
	readerPool.Put(e.r)
	e.r = nil
}

// next returns the name and data of the next event. An event that is truncated before its
// empty line is not returned.
func (e *eventReader) next() (name, data []byte, err error) {
	if e.r == nil {
		return nil, nil, io.ErrClosedPipe
	}
	e.data = e.data[:0]
	e.dataBytes, e.otherBytes = 0, 0
	named := 0
	for {
		line, err := e.readLine()
		if err == nil {
			err = e.countLine(line)
		}
		if err != nil {
			return nil, nil, err
		}
		e.onLine()
		switch {
		case len(line) == 0:
			if named > 0 || len(e.data) > 0 {
				return e.name[:named], e.data, nil
			}
		case line[0] == ':':
		case bytes.HasPrefix(line, fieldEvent):
			named = copy(e.name[:], bytes.TrimPrefix(line[len(fieldEvent):], []byte{' '}))
		case bytes.HasPrefix(line, fieldData):
			e.data = append(e.data, bytes.TrimPrefix(line[len(fieldData):], []byte{' '})...)
		}
	}
}

// countLine fails with *TooLargeError if an event, or the lines without data since the last one,
// exceed the limit.
func (e *eventReader) countLine(line []byte) error {
	count, what := &e.otherBytes, "lines between events"
	if bytes.HasPrefix(line, fieldData) {
		count, what = &e.dataBytes, "event"
	}
	*count += len(line) + 1
	if *count > e.limit {
		return &TooLargeError{What: what, Limit: int64(e.limit)}
	}
	return nil
}

// readLine returns one line without its line ending.
func (e *eventReader) readLine() ([]byte, error) {
	line, err := e.r.ReadSlice('\n')
	if err == nil {
		return trimLineEnd(line), nil
	}
	e.line = e.line[:0]
	for errors.Is(err, bufio.ErrBufferFull) {
		e.line = append(e.line, line...)
		if len(e.line) > e.limit {
			return nil, &TooLargeError{What: "event", Limit: int64(e.limit)}
		}
		line, err = e.r.ReadSlice('\n')
	}
	if err != nil {
		return nil, err
	}
	e.line = append(e.line, line...)
	return trimLineEnd(e.line), nil
}

func trimLineEnd(line []byte) []byte {
	line = line[:len(line)-1]
	if n := len(line); n > 0 && line[n-1] == '\r' {
		line = line[:n-1]
	}
	return line
}
