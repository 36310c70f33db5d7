package engine_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
)

// startTokenServer serves streams of n tokens without a pause. They are encoded in
// advance, so that the endpoint's side costs little.
func startTokenServer(b *testing.B, n int) netip.AddrPort {
	var stream []byte
	stream = append(stream, accepted...)
	for i := range n {
		stream = engine.AppendTokenEvent(stream, engine.Token{Attempt: "a1", Index: i, Text: " word"})
	}
	stream = append(stream, event(engine.EventDone, `{"attempt":"a1","tokens":%d}`, n)...)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = w.Write(stream)
	}))
	b.Cleanup(s.Close)
	return s.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// BenchmarkToken measures the cost of reading and checking one token event.
func BenchmarkToken(b *testing.B) {
	c := engine.NewHTTPClient(engine.Options{})
	at := startTokenServer(b, b.N)
	s, err := c.Generate(context.Background(), at, request("a1", "p", b.N))
	assert.NilError(b, err)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := s.Next(); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	_, err = s.Next()
	assert.Equal(b, err, io.EOF)
	assert.NilError(b, s.Close())
}

// BenchmarkGenerate measures the cost of a whole stream of one token with a prompt of 40
// KiB, including the endpoint's side.
func BenchmarkGenerate(b *testing.B) {
	c := engine.NewHTTPClient(engine.Options{})
	at := startTokenServer(b, 1)
	req := request("a1", strings.Repeat("words \n", 40<<10/7), 1)
	b.ReportAllocs()
	for range b.N {
		s, err := c.Generate(context.Background(), at, req)
		assert.NilError(b, err)
		_, err = s.Next()
		assert.NilError(b, err)
		_, err = s.Next()
		assert.Equal(b, err, io.EOF)
		assert.NilError(b, s.Close())
	}
}
