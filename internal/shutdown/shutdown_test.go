package shutdown

import (
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// blockingListener accepts connections whose writes block until release is closed.
type blockingListener struct {
	net.Listener
	release chan struct{}
}

func (l blockingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return blockingConn{Conn: conn, release: l.release}, nil
}

type blockingConn struct {
	net.Conn
	release chan struct{}
}

func (c blockingConn) Write(b []byte) (int, error) {
	<-c.release
	return c.Conn.Write(b)
}

// Guards against a truncated response to the last request of an instance that restarts.
// Draining ends when the request's handler has returned; the server writes the response
// after that and must not be closed in between. On a busy machine the gap is long enough
// to lose responses, as seen with responses that were waited for, which end last.
func TestFlushWritesLastResponse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	held := blockingListener{Listener: listener, release: make(chan struct{})}
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
	// Shutdown closes the listener first, so a refused connection shows that it has begun.
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
