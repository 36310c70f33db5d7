package callerconn

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against clients that connect and send nothing, or a part of a header, and so keep all others out.
func TestConnectionsWithoutRequestGiveWay(t *testing.T) {
	for _, sent := range []string{"", "GET / HT"} {
		address, l := newLimitedServer(t, 4, done, nil)
		for range 8 {
			_, err := io.WriteString(connect(t, address).conn, sent)
			assert.NilError(t, err)
		}
		assert.Equal(t, connect(t, address).request(), http.StatusOK)
		l.mu.Lock()
		counted := len(l.open) - len(l.leaving)
		l.mu.Unlock()
		assert.Assert(t, counted <= 4, "%d connections", counted)
	}
}

// Guards against a kept connection whose next header does not end, and which is neither idle nor gives way.
func TestUnfinishedHeaderOnKeptConnectionGivesWay(t *testing.T) {
	address, l := newLimitedServer(t, 1, done, nil)
	kept := connect(t, address)
	assert.Equal(t, kept.request(), http.StatusOK)
	_, err := io.WriteString(kept.conn, "GET / HT")
	assert.NilError(t, err)
	awaitReceiving(t, l)
	assert.Equal(t, connect(t, address).request(), http.StatusOK)
	rest, _ := io.ReadAll(kept.reader)
	assert.Equal(t, string(rest), "")
}

// Guards against an idle connection that is closed for a new one while others, which have their last response, are
// about to be closed.
func TestConnectionsThatAreClosedSoonTakeNoPlace(t *testing.T) {
	address, _ := newLimitedServer(t, 2, done, nil)
	idle, last := connect(t, address), connect(t, address)
	assert.Equal(t, idle.request(), http.StatusOK)
	_, err := fmt.Fprintf(last.conn, "POST / HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\n", 1<<20)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(last.reader, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	_, err = last.reader.ReadByte()
	assert.Equal(t, err, io.EOF)
	assert.Equal(t, connect(t, address).request(), http.StatusOK)
	assert.Equal(t, idle.request(), http.StatusOK)
}
