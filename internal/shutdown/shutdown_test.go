package shutdown

import (
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// heldListener gives connections that write nothing until they are released.
type heldListener struct {
	net.Listener
	release chan struct{}
}

func (l heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return heldConn{Conn: conn, release: l.release}, nil
}

type heldConn struct {
	net.Conn
	release chan struct{}
}

func (c heldConn) Write(b []byte) (int, error) {
	<-c.release
	return c.Conn.Write(b)
}

// A caller whose request was the last one of an instance that restarts got a closed
// connection in place of its answer, though the work was done. The drain ends when the
// request's handler has returned; the server writes the answer after that, and was
// closed in between. On a busy machine the pause is long enough: seen with answers
// that had been waited for, which are the last to end.
func TestTheLastAnswerIsWrittenBeforeTheEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	held := heldListener{Listener: listener, release: make(chan struct{})}
	drained := make(chan struct{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer close(drained)
		_, _ = io.WriteString(w, "done")
	})}
	go func() { _ = server.Serve(held) }()
	type answer struct {
		body []byte
		err  error
	}
	answered := make(chan answer, 1)
	go func() {
		resp, err := http.Get("http://" + listener.Addr().String())
		if err != nil {
			answered <- answer{err: err}
			return
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		answered <- answer{body: body, err: err}
	}()
	<-drained
	ended := make(chan struct{})
	go func() {
		Flush(t.Context(), server)
		_ = server.Close()
		close(ended)
	}()
	// The listener is closed first, so from here on the server is on its way down.
	for {
		conn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			break
		}
		_ = conn.Close()
	}
	close(held.release)
	got := <-answered
	assert.NilError(t, got.err)
	assert.Equal(t, string(got.body), "done")
	<-ended
}
