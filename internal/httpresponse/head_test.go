package httpresponse

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a verdict that depends on the pieces in which a header arrives.
func TestHeadIsCheckedInAnyPieces(t *testing.T) {
	for text, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\nA: b\r\n\r\n":                        true,
		"HTTP/1.1 200\r\nA:\r\n\r\n":                             true,
		"HTTP/1.1 204 \nA: b\n\n":                                true,
		"HTTP/1.0 200 OK\r\n\r\n":                                true,
		"HTTP/1.0 200 OK\r\nTransfer-Encodings: a\r\n\r\n":       true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n":  true,
		"HTTP/1.0 200 OK\r\ntransfer-ENCODING: chunked\r\n\r\n":  false,
		"HTTP/1.1 000 OK\r\n\r\n":                                false,
		"HTTP/1.1 2000 OK\r\n\r\n":                               false,
		"HTTP/1.1 200 OK\r\nA : b\r\n\r\n":                       false,
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n":                  false,
		"HTTP/1.1 200 OK\r\nA: b\r\n\rC: d\r\n\r\n":              false,
		"HTTP/1.1 200 OK\r\nA: b\r\n":                            false,
		"":                                                       false,
		"HTTP/1.1 200 OK\r\n: b\r\n\r\n":                         false,
		"HTTP/1.1 200 OK\r\nA\x00: b\r\n\r\n":                    false,
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 2000): false,
	} {
		for cut := range len(text) + 1 {
			var h Head
			h.Add([]byte(text[:cut]))
			h.Add([]byte(text[cut:]))
			h.Add([]byte("a body\x00: "))
			assert.Equal(t, h.Err() == nil, valid, "%q cut at %d: %v", text, cut, h.Err())
			if cut > 100 {
				break
			}
		}
	}
}

// FuzzHead guards against a header that ends elsewhere for net/http, or that net/http reads otherwise.
func FuzzHead(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "HTTP/1.0 503 \nA:b\n\nc", "HTTP/1.1 103 E\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var h Head
		end := 0
		for end < len(text) && h.state != afterHead && h.err == nil {
			h.Add(text[end : end+1])
			end++
		}
		if h.Err() != nil {
			return
		}
		reader := bufio.NewReaderSize(bytes.NewReader(text), len(text)+16)
		resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
		if err != nil {
			return // net/http is stricter
		}
		assert.Equal(t, len(text)-reader.Buffered(), end)
		assert.Assert(t, resp.StatusCode >= 100 && resp.StatusCode <= 599)
		assert.Equal(t, resp.ProtoMajor, 1)
		if resp.StatusCode >= http.StatusOK {
			assert.NilError(t, Check(resp))
		}
	})
}
