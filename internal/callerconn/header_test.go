package callerconn

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// scanPieces scans a text in pieces of a size.
func scanPieces(text []byte, size int) headerScan {
	var h headerScan
	for len(text) > 0 {
		n := min(size, len(text))
		h.add(text[:n])
		text = text[n:]
	}
	return h
}

// FuzzHeaderScan guards against a header whose end net/http sees elsewhere: its size would be wrong, and a part of the
// next request would count towards it.
func FuzzHeaderScan(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /", "GET / HTTP/1.1\nHost: h\n\nbody", "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n \r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n\n\n\n", "GET / HTTP/1.1\r\nHost: h\r\nA: \r\r\n\r\n", "\r\n\r\nGET / HTTP/1.1\r\n\r\n",
		"GET / HTTP/1.0\n\r\n", "GET / HTTP/1.0\r\r\n\n", "GET / HTTP/1.1\r\nHost: h\r\n\t\r\n\r\n\r\n",
	} {
		f.Add([]byte(text), 1)
		f.Add([]byte(text), 7)
	}
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		from := bytes.NewReader(text)
		buffered := bufio.NewReaderSize(from, MaxReadAhead)
		if _, err := http.ReadRequest(buffered); err != nil {
			return
		}
		consumed := len(text) - from.Len() - buffered.Buffered()
		h := scanPieces(text, max(1, size%MaxReadAhead))
		assert.Assert(t, h.ended)
		assert.Equal(t, h.bytes, consumed)
	})
}

// Guards against a bound that many short fields pass since they cost far more than their bytes.
func TestShortFieldsCostMoreThanTheirBytes(t *testing.T) {
	var one, many headerScan
	line := "GET / HTTP/1.1\r\n"
	long := one.add([]byte(line + "a:" + strings.Repeat("b", 4000) + "\r\n\r\n"))
	short := many.add([]byte(line + strings.Repeat("a:\r\n", 1000) + "\r\n"))
	assert.Assert(t, one.ended && many.ended)
	assert.Assert(t, short > 20*long, "%d and %d bytes", short, long)
}
