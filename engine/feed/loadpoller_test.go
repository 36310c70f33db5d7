package feed

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/standin"
	"github.com/carawaystile/carawaystile/tables"
)

// scriptedStreamer is a scriptedReader whose every step opens a stream or fails to. A
// stream returns one report and then fails.
type scriptedStreamer struct{ *scriptedReader }

func (s scriptedStreamer) LoadStream(ctx context.Context, at netip.AddrPort, _ time.Duration) (engine.LoadStream, error) {
	load, err := s.Load(ctx, at)
	if err != nil {
		return nil, err
	}
	return &singleReportStream{load: load}, nil
}

type singleReportStream struct {
	load  engine.Load
	ended bool
}

func (s *singleReportStream) Next() (engine.Load, error) {
	if s.ended {
		return engine.Load{}, &engine.ReadTimeoutError{}
	}
	s.ended = true
	return s.load, nil
}

func (s *singleReportStream) Close() {}

// A stream of load reports breaks and the endpoint is away for a while. Each break counts
// as a failed report, the stream is reopened with exponential backoff, and the loss of
// the endpoint and its return are reported once each.
func TestBacksOffFromBrokenStream(t *testing.T) {
	down := errors.New("refused")
	s := &scriptedReader{
		errs:  []error{nil, down, down, down, nil},
		loads: []engine.Load{{Boot: "b1", Running: 1}, {Boot: "b2"}},
	}
	r := newFixture(t, s)
	r.Reporter = scriptedStreamer{s}
	r.pollLoads(r.ctx)
	p := r.LoadInterval
	assert.DeepEqual(t, r.waits[1:7], []time.Duration{p / 2, p, 2 * p, 4 * p, 8 * p, p / 2})
	assert.DeepEqual(t, r.unresponsive, []bool{true, false})
	assert.DeepEqual(t, r.inputs, []router.Input{
		router.LoadReport{Endpoint: "e", Boot: "b1", Running: 1},
		router.LoadReport{Endpoint: "e", Boot: "b2"},
	})
}

// An endpoint of an older version does not stream and responds with one report. It must
// be polled, with one report per request, and asked for a stream only after every
// pollsPerStreamRetry polls.
func TestEndpointWithoutStreamIsPolled(t *testing.T) {
	const reports = pollsPerStreamRetry + 10
	s := &scriptedReader{}
	r := newFixture(t, s)
	var streams []int
	requests := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if _, stream := engine.WantsLoadStream(q); stream {
			streams = append(streams, requests)
		}
		requests++
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(engine.Load{Boot: "b1", Running: requests})
	}))
	defer server.Close()
	r.at = server.Listener.Addr().(*net.TCPAddr).AddrPort()
	r.Reporter = engine.NewHTTPClient(engine.Options{})
	r.Deliver = func(in router.Input) {
		r.inputs = append(r.inputs, in)
		if len(r.inputs) == reports {
			s.end()
		}
	}
	r.pollLoads(r.ctx)
	assert.DeepEqual(t, streams, []int{0, pollsPerStreamRetry + 1})
	assert.Equal(t, requests, reports)
	for i, in := range r.inputs {
		assert.Equal(t, in.(router.LoadReport).Running, i+1)
	}
}

// bufferingProxy opens streams that return nothing, as a proxy does that buffers
// responses until they end. It responds to polls.
type bufferingProxy struct {
	*scriptedReader
	opened *int
}

func (h bufferingProxy) LoadStream(context.Context, netip.AddrPort, time.Duration) (engine.LoadStream, error) {
	*h.opened++
	return silentStream{}, nil
}

type silentStream struct{}

func (silentStream) Next() (engine.Load, error) { return engine.Load{}, &engine.ReadTimeoutError{} }
func (silentStream) Close()                     {}

// A proxy between an instance and an endpoint buffers streams until they end. The
// endpoint works: it must not count as unresponsive, and must be polled.
func TestEndpointBehindBufferingProxyIsPolled(t *testing.T) {
	s := &scriptedReader{
		errs:  []error{nil, nil, nil},
		loads: []engine.Load{{Boot: "b1", Running: 1}, {Boot: "b1", Running: 2}, {Boot: "b1", Running: 3}},
	}
	r := newFixture(t, s)
	opened := 0
	r.Reporter = bufferingProxy{scriptedReader: s, opened: &opened}
	r.pollLoads(r.ctx)
	assert.Equal(t, opened, 1)
	assert.Equal(t, len(r.unresponsive), 0)
	assert.Assert(t, len(r.inputs) >= 3)
	assert.Equal(t, r.inputs[2].(router.LoadReport).Running, 3)
}

// streamsOnly fails polls, so that reports can only come by stream.
type streamsOnly struct{ *engine.HTTPClient }

func (s streamsOnly) Load(context.Context, netip.AddrPort) (engine.Load, error) {
	return engine.Load{}, errors.New("unexpected poll")
}

// An engine hangs while its stream is open: the connection stays up and no data arrives.
// Then it resumes, and later it restarts at the same address. The hang must be detected,
// and each time the stream must be reopened and report the current boot identity.
func TestStreamIsReopenedAfterHangAndRestart(t *testing.T) {
	e, err := standin.StartEngine(standin.EngineOptions{
		ID: "e1", Speedup: -1, Weights: map[tables.ModelName]tables.WeightsVersion{"m": "v1"},
	})
	assert.NilError(t, err)
	defer e.Close()
	loads := make(chan router.LoadReport)
	unresponsive := make(chan bool, 1024)
	ctx, cancel := context.WithCancel(t.Context())
	f := &poller{id: "e1", at: e.Address(), Options: Options{
		Reporter: streamsOnly{engine.NewHTTPClient(engine.Options{ResponseTimeout: 50 * time.Millisecond, ReadIdleTimeout: 150 * time.Millisecond})},
		Deliver: func(in router.Input) {
			select {
			case loads <- in.(router.LoadReport):
			case <-ctx.Done():
			}
		},
		OnUnresponsive: func(_ tables.EndpointID, is bool) { unresponsive <- is },
		LoadInterval:   time.Millisecond,
		MaxBackoff:     5 * time.Millisecond,
	}.withDefaults()}
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.pollLoads(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()

	first := <-loads
	assert.Equal(t, first.Boot, e.Boot())
	assert.DeepEqual(t, first.Weights, map[tables.ModelName]tables.WeightsVersion{"m": "v1"})
	e.Hang()
	for detected := false; !detected; {
		select {
		case <-loads:
		case detected = <-unresponsive:
		}
	}
	e.Resume()
	assert.Equal(t, (<-loads).Boot, e.Boot())
	e.Crash()
	assert.NilError(t, e.Restart())
	boot := e.Boot()
	assert.Assert(t, boot != first.Boot)
	for (<-loads).Boot != boot {
	}
}
