package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httputil"

	"github.com/carawaystile/carawaystile/internal/httpresponse"
	"github.com/carawaystile/carawaystile/tables"
)

// carry copies bytes both ways until either side ends.
func (s *Server) carry(instance net.Conn, fromInstance *bufio.Reader, endpoint net.Conn, id tables.EndpointID) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		// The end of the instance's connection cancels the request: the endpoint learns of it by
		// the end of its own.
		_, _ = io.CopyBuffer(struct{ io.Writer }{endpoint}, struct{ io.Reader }{fromInstance}, make([]byte, bufferBytes))
		_ = endpoint.Close()
	}()
	s.carryResponse(instance, endpoint, id)
	_ = instance.Close()
	<-done
}

// carryResponse copies what the endpoint sends. Only if the endpoint has closed its connection
// in order does the last chunk follow.
func (s *Server) carryResponse(instance io.Writer, endpoint io.Reader, id tables.EndpointID) {
	writer := bufio.NewWriterSize(instance, bufferBytes+maxChunkOverhead)
	chunks := httputil.NewChunkedWriter(writer)
	tap := &headerTap{observe: func(status int, header http.Header) {
		if s.options.ObserveResponse != nil {
			s.options.ObserveResponse(id, status, header)
		}
	}}
	buffer := make([]byte, bufferBytes)
	for {
		n, err := endpoint.Read(buffer)
		if n > 0 {
			tap.write(buffer[:n])
			if _, failed := chunks.Write(buffer[:n]); failed != nil || writer.Flush() != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = chunks.Close()
			_, _ = writer.WriteString("\r\n")
			_ = writer.Flush()
			return
		}
		if err != nil {
			return
		}
	}
}

// maxChunkOverhead exceeds the bytes that the encoding adds to a chunk.
const maxChunkOverhead = 32

// maxHeaderBytes bounds the response header that a headerTap keeps.
const maxHeaderBytes = 16 << 10

// headerTap reads the header of the first final response from a copy of the bytes of a
// connection.
type headerTap struct {
	observe func(status int, header http.Header)
	head    []byte
	done    bool
}

var endOfHeader = []byte("\r\n\r\n")

func (t *headerTap) write(p []byte) {
	if t.done {
		return
	}
	t.head = append(t.head, p[:min(len(p), maxHeaderBytes-len(t.head))]...)
	for {
		end := bytes.Index(t.head, endOfHeader)
		if end < 0 {
			t.done = len(t.head) == maxHeaderBytes
			return
		}
		raw := t.head[:end+len(endOfHeader)]
		var checked httpresponse.Head
		checked.Add(raw)
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
		if err != nil || checked.Err() != nil {
			t.done, t.head = true, nil
			return
		}
		_ = response.Body.Close()
		if response.StatusCode >= http.StatusOK {
			t.observe(response.StatusCode, response.Header)
			t.done, t.head = true, nil
			return
		}
		t.head = t.head[len(raw):]
	}
}
