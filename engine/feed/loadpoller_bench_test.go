package feed

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// changingLoad is the load report of an endpoint at which one attempt ends and one starts
// between two reports.
func changingLoad(attempts, step int) engine.Load {
	load := engine.Load{
		Boot: "engine-1-1", Weights: map[tables.ModelName]tables.WeightsVersion{"m": "v1"},
		Running: attempts, CacheBlocks: 90_000,
	}
	if attempts > 0 {
		load.CacheBlocks += step % 7
	}
	for i := range attempts {
		load.Attempts = append(load.Attempts, tables.AttemptID(fmt.Sprintf("entry-zone-a-kx1f-%06d", step+i)))
	}
	return load
}

// loadServer responds to a poll with one report, and sends the next event of a stream for
// each value from due.
func loadServer(attempts int, due <-chan struct{}) http.Handler {
	step := 0
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, stream := engine.WantsLoadStream(r); !stream {
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(changingLoad(attempts, step))
			step++
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		w.(http.Flusher).Flush()
		var last engine.Load
		for range due {
			load := changingLoad(attempts, step)
			data, _ := json.Marshal(engine.NewLoadDelta(last, load))
			_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
			w.(http.Flusher).Flush()
			last = load
			step++
		}
	})
}

// processorTime returns the CPU time that this process has used, in user and system mode.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkLoadReport measures the cost of one load report, polled and streamed: bytes
// above TCP in both directions, headers included, and CPU time of both sides. It derives
// the bytes per second of one instance that reads 12 or 21 endpoints four times a second.
func BenchmarkLoadReport(b *testing.B) {
	for _, attempts := range []int{0, 8, 24} {
		b.Run(fmt.Sprintf("poll/attempts=%d", attempts), func(b *testing.B) {
			benchLoads(b, attempts, func(client *engine.HTTPClient, at netip.AddrPort, _ chan<- struct{}) func() (engine.Load, error) {
				return func() (engine.Load, error) { return client.Load(b.Context(), at) }
			})
		})
		b.Run(fmt.Sprintf("stream/attempts=%d", attempts), func(b *testing.B) {
			benchLoads(b, attempts, func(client *engine.HTTPClient, at netip.AddrPort, due chan<- struct{}) func() (engine.Load, error) {
				s, err := client.LoadStream(b.Context(), at, DefaultLoadInterval)
				assert.NilError(b, err)
				b.Cleanup(s.Close)
				return func() (engine.Load, error) {
					due <- struct{}{}
					return s.Next()
				}
			})
		})
	}
}

func benchLoads(b *testing.B, attempts int, open func(*engine.HTTPClient, netip.AddrPort, chan<- struct{}) func() (engine.Load, error)) {
	due := make(chan struct{})
	server := httptest.NewServer(loadServer(attempts, due))
	defer server.Close()
	defer close(due)
	var sent atomic.Int64
	client := engine.NewHTTPClient(engine.Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return &countingConn{Conn: conn, bytes: &sent}, err
	}})
	defer client.CloseIdleConnections()
	next := open(client, server.Listener.Addr().(*net.TCPAddr).AddrPort(), due)
	f := &poller{id: "e", Options: Options{Deliver: func(router.Input) {}}.withDefaults()}
	read := func() {
		load, err := next()
		assert.NilError(b, err)
		assert.Equal(b, len(load.Attempts), attempts)
		f.Deliver(f.loadReport(load))
	}
	read()
	b.ReportAllocs()
	b.ResetTimer()
	from, used := sent.Load(), processorTime()
	for range b.N {
		read()
	}
	perReport := float64(sent.Load()-from) / float64(b.N)
	b.ReportMetric(perReport, "wire_B/report")
	b.ReportMetric(float64((processorTime()-used).Microseconds())/float64(b.N), "cpu_us/report")
	perSecond := perReport * float64(time.Second/DefaultLoadInterval)
	b.ReportMetric(12*perSecond, "B/s_at_12")
	b.ReportMetric(21*perSecond, "B/s_at_21")
}
