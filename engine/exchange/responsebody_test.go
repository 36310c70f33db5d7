package exchange

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/internal/readlimit"
)

// countingMeter counts what is reserved.
type countingMeter struct{ held, peak int }

func (m *countingMeter) Reserve(bytes int) error {
	m.held += bytes
	m.peak = max(m.peak, m.held)
	return nil
}
func (m *countingMeter) Release(bytes int) { m.held -= bytes }
func (m *countingMeter) Progress()         {}

// Guards against a body whose buffers take more memory than is reserved, or than it needs, and against bytes that are lost between them.
func TestBodyIsReadIntoBuffersThatAreReserved(t *testing.T) {
	for _, length := range []int{0, 1, 800, 1 << 10, 1<<10 + 1, 3 << 10, 300_000, 2 << 20} {
		text := strings.Repeat("0123456789", length/10+1)[:length]
		for name, head := range map[string]string{
			"length": okHeader + "Content-Length: " + strconv.Itoa(length) + "\r\n\r\n", "no length": okHeader + "\r\n",
		} {
			to := startEndpoint(t, func(_ int, conn net.Conn) {
				readRequestID(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, head+text)
			})
			answer, err := send(t, NewClient(Options{Headers: headers()}), to, request("r-1"))
			assert.NilError(t, err)
			meter := &countingMeter{}
			body, err := answer.ReadAllMetered(meter)
			assert.NilError(t, err)
			var got strings.Builder
			for _, piece := range body {
				assert.Equal(t, len(piece), cap(piece))
				got.Write(piece)
			}
			assert.Assert(t, got.String() == text, "%s, %d bytes", name, length)
			assert.Equal(t, meter.held, length)
			assert.Assert(t, meter.peak <= max(2*length+minBodyBuffer, length+maxBodyBuffer), "%s: %d bytes for %d", name, meter.peak, length)
		}
	}
}

// Guards against headers of responses that together take more memory than there is, and ordinary ones that depend on it.
func TestLargeHeadersAreReserved(t *testing.T) {
	refusal := &readlimit.TooLargeError{What: "response headers together", Limit: 1}
	for name, test := range map[string]struct {
		fields string
		large  bool
	}{
		"ordinary":     {strings.Repeat("Some-Name: some value\r\n", 20), false},
		"one line":     {"A: " + strings.Repeat("a", 32<<10) + "\r\n", true},
		"short fields": {strings.Repeat("a:\r\n", 1000), true},
		"blanks":       {strings.Repeat("a b:\r\n", 1000), true},
	} {
		t.Run(name, func(t *testing.T) {
			to := startEndpoint(t, func(_ int, conn net.Conn) {
				readRequestID(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, okHeader+test.fields+"Content-Length: 0\r\n\r\n")
			})
			asked := int64(0)
			limited := request("r-1")
			limited.ReserveHeader = func(bytes int64) error {
				asked += bytes
				return refusal
			}
			_, err := send(t, NewClient(Options{Headers: headers()}), to, limited)
			assert.Equal(t, errors.Is(err, refusal), test.large, "%v", err)
			assert.Equal(t, asked > 0, test.large)
		})
	}
}
