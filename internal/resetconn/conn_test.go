package resetconn

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// pair returns both ends of a TCP connection.
func pair(t *testing.T) (near *Conn, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	return New(dialed), accepted.(*net.TCPConn)
}

// Guards against a reset that looks like an orderly end, since a write has met it before the read.
func TestReadAfterAFailedWriteIsNoEnd(t *testing.T) {
	near, far := pair(t)
	assert.NilError(t, far.SetLinger(0))
	assert.NilError(t, far.Close())
	var err error
	for err == nil {
		_, err = near.Write([]byte("a"))
	}
	_, err = near.Read(make([]byte, 1))
	assert.Assert(t, err != nil && err != io.EOF, "%v", err)
}

// Guards against a reset that looks like an orderly end, since it has ended a write that the reader does not wait for.
func TestReadAwaitsTheWriteThatMeetsTheReset(t *testing.T) {
	for range 100 {
		near, far := pair(t)
		failed := make(chan error, 1)
		go func() {
			_, err := near.Write(make([]byte, 32<<20))
			failed <- err
		}()
		_, err := io.ReadFull(far, make([]byte, 1<<20))
		assert.NilError(t, err)
		assert.NilError(t, far.SetLinger(0))
		assert.NilError(t, far.Close())
		_, err = near.Read(make([]byte, 1))
		assert.Assert(t, err != nil && err != io.EOF, "%v", err)
		assert.Assert(t, <-failed != nil)
	}
}

// Guards against an orderly end that is lost, and one for which a reader waits while the peer takes no more.
func TestOrderlyEnd(t *testing.T) {
	near, far := pair(t)
	_, err := near.Write([]byte("a"))
	assert.NilError(t, err)
	assert.NilError(t, far.CloseWrite())
	_, err = near.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)

	stuck, silent := pair(t)
	failed := make(chan error, 1)
	go func() {
		_, err := stuck.Write(make([]byte, 64<<20))
		failed <- err
	}()
	_, err = io.ReadFull(silent, make([]byte, 1))
	assert.NilError(t, err)
	assert.NilError(t, silent.CloseWrite())
	_, err = stuck.Read(make([]byte, 1))
	assert.Assert(t, err != nil && err != io.EOF, "%v", err)
	assert.Assert(t, <-failed != nil)
}
