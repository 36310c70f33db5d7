package demo

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/internal/partition"
	"github.com/carawaystile/carawaystile/prefix"
	"github.com/carawaystile/carawaystile/settings"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	openStreams = 200
	// tokenGap is the time between two tokens of the background streams.
	tokenGap = 69 * time.Millisecond
	// backgroundTokens tells background streams from measured ones, whose
	// tokens come every measuredGap, and from those of which only the cost
	// counts, whose tokens come without a pause.
	backgroundTokens = 1000
	measuredTokens   = 9
	measuredGap      = 2 * time.Millisecond
)

func gapOf(tokens int) time.Duration {
	switch tokens {
	case backgroundTokens:
		return tokenGap
	case measuredTokens:
		return measuredGap
	}
	return 0
}

// stampingEngine answers every attempt with tokens that say when they were
// written, so that a caller can tell how long an event took.
type stampingEngine struct {
	// open counts the streams that have begun and not ended.
	open atomic.Int64
}

func (s *stampingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case engine.PathGenerate:
		s.generate(w, r)
	case engine.PathCancel:
		var req engine.CancelRequest
		_ = json.NewDecoder(r.Body).Decode(&req)
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(engine.CancelResponse{Attempt: req.Attempt, Boot: "b"})
	default:
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"boot":"b"}`)
	}
}

func (s *stampingEngine) generate(w http.ResponseWriter, r *http.Request) {
	var req engine.GenerateRequest
	if json.NewDecoder(r.Body).Decode(&req) != nil {
		return
	}
	s.open.Add(1)
	defer s.open.Add(-1)
	w.Header().Set("Content-Type", "text/event-stream")
	fmt.Fprintf(w, "event: accepted\ndata: {\"attempt\":%q,\"boot\":\"b\",\"weights\":\"w1\"}\n\n", req.Attempt)
	var buffer []byte
	for i := range req.MaxTokens {
		if i > 0 {
			time.Sleep(gapOf(req.MaxTokens))
		}
		if r.Context().Err() != nil {
			return
		}
		stamp := strconv.FormatInt(time.Now().UnixNano(), 10)
		buffer = engine.AppendTokenEvent(buffer[:0], engine.Token{Attempt: req.Attempt, Index: i, Text: stamp})
		_, _ = w.Write(buffer)
		w.(http.Flusher).Flush()
	}
	fmt.Fprintf(w, "event: done\ndata: {\"attempt\":%q,\"tokens\":%d}\n\n", req.Attempt, req.MaxTokens)
}

// rig is one instance before one stamping engine.
type rig struct {
	engine   stampingEngine
	at       netip.AddrPort
	instance *instance
	direct   *engine.HTTPClient
	caller   *caller
	attempts atomic.Int64
}

func newRig(tb testing.TB) *rig {
	tb.Helper()
	r := &rig{direct: engine.NewHTTPClient(engine.Options{MaxIdleConnsPerEndpoint: 4096}), caller: newCaller()}
	server := httptest.NewServer(&r.engine)
	tb.Cleanup(server.Close)
	r.at = server.Listener.Addr().(*net.TCPAddr).AddrPort()
	endpoint := fmt.Sprintf("endpoints:\n  - {name: e, zone: zone-a, address: '%s', models: [draft-12b, rights-34b], slots: 60000}\n"+
		"  - {name: p, zone: zone-a, address: '127.0.0.1:1', service: publish}\n  - {name: d, zone: zone-a, address: '127.0.0.1:2', service: desk}\n", r.at)
	c, err := settings.ParseDeclarations(map[string][]byte{"d.yaml": declarations, "e.yaml": []byte(endpoint)})
	assert.NilError(tb, err)
	o, err := Options{}.withDefaults()
	assert.NilError(tb, err)
	w := &world{options: o, network: partition.New(), configuration: c}
	instances, err := newInstances(tb.TempDir(), w.network, []tables.Zone{"zone-a"})
	assert.NilError(tb, err)
	r.instance = instances[0]
	assert.NilError(tb, r.instance.start(w))
	assert.NilError(tb, r.instance.configured(tb.Context()))
	tb.Cleanup(r.instance.close)
	return r
}

var benchPrompt = strings.Repeat("words ", 2*prefix.BlockBytes/len("words ")) + strings.Repeat("document ", 400)

// timing is what one stream took.
type timing struct {
	first  time.Duration
	events []time.Duration
}

// releasing is a request body that is not held once it was sent, as net/http
// would hold it for as long as the answer is read.
type releasing struct{ rest []byte }

func (r *releasing) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(p, r.rest)
	if r.rest = r.rest[n:]; len(r.rest) == 0 {
		r.rest = nil
	}
	return n, nil
}

func (r *releasing) Close() error { return nil }

// routed streams n tokens through the instance.
func (r *rig) routed(ctx context.Context, n int) (timing, error) {
	var t timing
	i := item{profile: "drafting", org: "volta-systems", prompt: benchPrompt, tokens: n, stream: true}
	req, err := i.request(ctx, r.instance.address)
	if err != nil {
		return t, err
	}
	content, err := io.ReadAll(req.Body)
	if err != nil {
		return t, err
	}
	req.Body = &releasing{rest: content}
	began := time.Now()
	resp, err := r.caller.client.Do(req)
	if err != nil {
		return t, err
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewReader(resp.Body)
	for {
		line, err := lines.ReadString('\n')
		if err != nil || strings.Contains(line, "[DONE]") {
			return t, err
		}
		_, after, ok := strings.Cut(line, `"text":"`)
		if !ok {
			continue
		}
		text, _, _ := strings.Cut(after, `"`)
		t.note(text, began)
	}
}

func (t *timing) note(stamp string, began time.Time) {
	written, err := strconv.ParseInt(stamp, 10, 64)
	if err != nil {
		return
	}
	now := time.Now()
	if t.first == 0 {
		t.first = now.Sub(began)
	}
	t.events = append(t.events, time.Duration(now.UnixNano()-written))
}

// straight streams n tokens from the engine without the instance.
func (r *rig) straight(ctx context.Context, n int) (timing, error) {
	var t timing
	began := time.Now()
	s, err := r.direct.Generate(ctx, r.at, engine.GenerateRequest{
		Attempt: tables.AttemptID(fmt.Sprint("direct-", r.attempts.Add(1))),
		Model:   "draft-12b", Prompt: benchPrompt, MaxTokens: n,
	})
	if err != nil {
		return t, err
	}
	defer func() { _ = s.Close() }()
	for {
		token, err := s.Next()
		if err == io.EOF {
			return t, nil
		}
		if err != nil {
			return t, err
		}
		t.note(token.Text, began)
	}
}

// background keeps n streams open until the returned function is called.
func (r *rig) background(tb testing.TB, n int, stream func(context.Context, int) (timing, error)) (stop func()) {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var streams sync.WaitGroup
	for range n {
		streams.Go(func() {
			for ctx.Err() == nil {
				_, _ = stream(ctx, backgroundTokens)
			}
		})
	}
	for int(r.engine.open.Load()) < n {
		runtime.Gosched()
	}
	return func() {
		cancel()
		streams.Wait()
	}
}

func at(times []time.Duration, q float64) float64 {
	return float64(times[int(q*float64(len(times)-1))].Nanoseconds()) / 1000
}

// report gives quantiles of both ways and their differences in microseconds.
func report(b *testing.B, what string, routed, straight []time.Duration) {
	slices.Sort(routed)
	slices.Sort(straight)
	for _, q := range []struct {
		name string
		at   float64
	}{{"p50", 0.5}, {"p99", 0.99}} {
		b.ReportMetric(at(straight, q.at), what+"_direct_"+q.name+"_us")
		b.ReportMetric(at(routed, q.at)-at(straight, q.at), what+"_added_"+q.name+"_us")
	}
}

// BenchmarkAddedLatency compares streams through an instance with direct calls
// to the same engine, while 200 other streams are open through the instance.
// Direct and routed calls alternate.
func BenchmarkAddedLatency(b *testing.B) {
	r := newRig(b)
	defer r.background(b, openStreams, r.routed)()
	var first, straightFirst, events, straightEvents []time.Duration
	b.ResetTimer()
	for range b.N {
		routed, err := r.routed(context.Background(), measuredTokens)
		assert.NilError(b, err)
		straight, err := r.straight(context.Background(), measuredTokens)
		assert.NilError(b, err)
		first = append(first, routed.first)
		straightFirst = append(straightFirst, straight.first)
		events = append(events, routed.events[1:]...)
		straightEvents = append(straightEvents, straight.events[1:]...)
	}
	b.StopTimer()
	report(b, "first", first, straightFirst)
	report(b, "event", events, straightEvents)
}

func mallocs() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}

func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cost runs streams and returns the allocations and processor time of one
// event, over the whole process.
func cost(b *testing.B, stream func(ctx context.Context, n int) (timing, error), streams, tokens int) (allocs float64, spent time.Duration) {
	before, began := mallocs(), cpu()
	for range streams {
		_, err := stream(context.Background(), tokens)
		assert.NilError(b, err)
	}
	return float64(mallocs()-before) / float64(streams*tokens), (cpu() - began) / time.Duration(streams*tokens)
}

// BenchmarkEventCost gives what the instance adds to one streamed event:
// allocations and processor time of a routed stream less those of a direct one
// in the same process. The caller's own reading is part of both.
func BenchmarkEventCost(b *testing.B) {
	const tokens = 500
	r := newRig(b)
	_, err := r.routed(context.Background(), tokens)
	assert.NilError(b, err)
	b.ResetTimer()
	allocs, spent := cost(b, r.routed, b.N, tokens)
	b.StopTimer()
	straightAllocs, straightSpent := cost(b, r.straight, b.N, tokens)
	b.ReportMetric(allocs-straightAllocs, "added_allocs/event")
	b.ReportMetric(float64((spent - straightSpent).Nanoseconds()), "added_cpu_ns/event")
}

// BenchmarkRequestCost gives the processor time that the instance adds to a
// request of 16 tokens with a prompt of some 9,000 tokens, and the requests
// that a core can route in a second.
func BenchmarkRequestCost(b *testing.B) {
	const tokens = 16
	r := newRig(b)
	_, err := r.routed(context.Background(), tokens)
	assert.NilError(b, err)
	b.ResetTimer()
	_, spent := cost(b, r.routed, b.N, tokens)
	b.StopTimer()
	_, straight := cost(b, r.straight, b.N, tokens)
	added := (spent - straight) * tokens
	b.ReportMetric(float64(added.Microseconds()), "added_cpu_us/request")
	b.ReportMetric(float64(time.Second)/float64(added), "requests/core_s")
}

// inUse is the memory in use by live objects and stacks after a collection.
func inUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// quiet ends what earlier streams left behind.
func (r *rig) quiet() {
	for r.engine.open.Load() > 0 {
		time.Sleep(tokenGap)
	}
	r.direct.CloseIdleConnections()
	r.caller.client.CloseIdleConnections()
	time.Sleep(tokenGap)
}

// openMemory is the memory of one open stream, in bytes.
func (r *rig) openMemory(b *testing.B, stream func(context.Context, int) (timing, error)) float64 {
	r.quiet()
	before := inUse()
	stop := r.background(b, openStreams, stream)
	defer stop()
	// The streams' buffers reach their size with the first few events.
	time.Sleep(5 * tokenGap)
	return (float64(inUse()) - float64(before)) / openStreams
}

// BenchmarkStreamMemory gives what the instance adds to the memory of one open
// stream: that of a routed stream less that of a direct one. The engine's and
// the caller's sides live in the same process and cancel out.
func BenchmarkStreamMemory(b *testing.B) {
	r := newRig(b)
	var routed, straight float64
	for range b.N {
		straight += r.openMemory(b, r.straight)
		routed += r.openMemory(b, r.routed)
	}
	b.ReportMetric(straight/float64(b.N)/1024, "direct_KiB/stream")
	b.ReportMetric((routed-straight)/float64(b.N)/1024, "added_KiB/stream")
}
