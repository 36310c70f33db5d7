package exchange

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
)

// cutHeaders are headers of responses by their framing.
var cutHeaders = map[string]string{
	"length":                okHeader + "Content-Length: 12\r\n\r\n",
	"length first":          "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Request: r-1\r\nX-Signature: s\r\n\r\n",
	"length zero":           okHeader + "Content-Length: 0\r\n\r\n",
	"chunks":                chunkedHeader,
	"chunks and a trailer":  okHeader + "Trailer: A\r\nTransfer-Encoding: chunked\r\n\r\n",
	"end of the connection": okHeader + "Connection: close\r\n\r\n",
	"no word on the end":    okHeader + "\r\n",
	"HTTP/1.0":              "HTTP/1.0 200 OK\r\nX-Request: r-1\r\nX-Signature: s\r\n\r\n",
	"no body":               "HTTP/1.1 204 No Content\r\nX-Request: r-1\r\nX-Signature: s\r\n\r\n",
	"failure":               "HTTP/1.1 500 Internal Server Error\r\nX-Request: r-1\r\nContent-Length: 4\r\n\r\n",
	"rejection":             "HTTP/1.1 503 Service Unavailable\r\nX-Request: r-1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
	"interim response":      "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" + okHeader + "Content-Length: 12\r\n\r\n",
	"bare line feeds":       strings.ReplaceAll(okHeader+"Content-Length: 12\r\n\r\n", "\r", ""),
	"continued field":       okHeader + "A: a\r\n b\r\n\tc\r\nContent-Length: 12\r\n\r\n",
	"spaces around a value": okHeader + "A:  \t a \t \r\nB: \r\nContent-Length: 12\r\n\r\n",
}

// Guards against a response whose endpoint stops inside its header being taken for a whole one.
func TestResponseCutInItsHeaderIsInterrupted(t *testing.T) {
	for name, header := range cutHeaders {
		for end, reset := range map[string]bool{"closed": false, "reset": true} {
			t.Run(name+", "+end, func(t *testing.T) {
				to := startEndpoint(t, func(cut int, conn net.Conn) {
					readRequestID(bufio.NewReader(conn))
					_, _ = io.WriteString(conn, header[:cut])
					if tcp, ok := conn.(*net.TCPConn); ok && reset {
						_ = tcp.SetLinger(0)
					}
				})
				client := NewClient(Options{Headers: headers()})
				for cut := range len(header) {
					_, err := send(t, client, to, request("r-1"))
					var interrupted *engine.InterruptedError
					assert.Assert(t, errors.As(err, &interrupted), "after %q: %v", header[:cut], err)
				}
			})
		}
	}
}

// Guards against a body with a length or chunks that is taken for whole without its end.
func TestResponseCutInItsBodyIsInterrupted(t *testing.T) {
	for name, body := range map[string]string{
		"length": "hello, world", "chunks": "c\r\nhello, world\r\n0\r\n\r\n", "chunks and a trailer": "c\r\nhello, world\r\n0\r\nA: a\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			to := startEndpoint(t, func(cut int, conn net.Conn) {
				readRequestID(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, cutHeaders[name]+body[:cut])
			})
			client := NewClient(Options{Headers: headers()})
			for cut := range len(body) + 1 {
				answer, err := send(t, client, to, request("r-1"))
				assert.NilError(t, err)
				_, err = answer.ReadAll()
				assert.Equal(t, err == nil, cut == len(body), "after %q", body[:cut])
			}
		})
	}
}
