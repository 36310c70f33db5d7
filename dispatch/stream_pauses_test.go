package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/tables"
)

// streaming is a service with long prompts beside streams.
var streaming = &routes.Service{Name: "models", Slots: 24, KVCapacityTokens: 400_000, EventStride: 5}

// streamRequest returns a request for a stream with a target gap of 300 ms, and promptRequest
// one for a buffered response.
func streamRequest(now tables.Instant) *Request {
	return &Request{
		Service: streaming, Model: "m", PromptTokens: 260, OutputTokens: 60, ArrivedAt: now, Deadline: now + 10*time.Second,
		Route: &routes.Route{Kind: routes.Stream, TargetLatency: 400 * time.Millisecond, TargetEventGap: 300 * time.Millisecond},
	}
}

func promptRequest(now tables.Instant, tokens int) *Request {
	return &Request{
		Service: streaming, Model: "m", PromptTokens: tokens, OutputTokens: 60, ArrivedAt: now, Deadline: now + 10*time.Second,
		Route: &routes.Route{Kind: routes.Idempotent, TargetLatency: 2 * time.Second},
	}
}

// Guards against streams that are late because long prompts are computed beside them while
// other engines run no streams.
//
// In 20 s of simulated time 12 engines receive 60 streams a second, of 60 tokens each, and 8
// prompts a second of 14,000 tokens, which take 29 % of the engines' time at 32.4 tokens/ms.
// An event holds the tokens of five steps, so a long prompt pauses streams for 366 ms.
func TestLongPromptsAvoidRunningStreams(t *testing.T) {
	off, on := simulatePauses(t, Off), simulatePauses(t, On)
	t.Logf("off: %+v, on: %+v", off, on)
	assert.Assert(t, off.lateStreams > 0.2, "the load must make streams late: %+v", off)
	assert.Assert(t, on.lateStreams < off.lateStreams/2, "off %+v, on %+v", off, on)
	assert.Assert(t, on.latePrompts < 0.02, "long prompts must not pay for it: %+v", on)
}

type lateShares struct{ lateStreams, latePrompts float64 }

// simEngine computes prompts first come, first served, in chunks, and a token of each stream in
// each step.
type simEngine struct {
	queue, streams []*simRequest
	stepEnds       tables.Instant
	chunk          float64
}

type simRequest struct {
	a               *Attempt
	arrived, event  tables.Instant
	left            float64
	tokens          int
	isStream, tardy bool
}

// step ends the step that runs and begins the next one.
func (e *simEngine) step(now tables.Instant, d *Dispatcher, ended func(*simRequest)) {
	e.streams = filterInPlace(e.streams, func(s *simRequest) bool {
		if s.tokens++; s.tokens%5 == 0 {
			s.tardy = s.tardy || now-s.event > 300*time.Millisecond
			s.event = now
		}
		if s.tokens < 60 {
			return true
		}
		d.RecordOutcome(now, s.a, Completed)
		ended(s)
		return false
	})
	for chunk := e.chunk; len(e.queue) > 0; e.queue = e.queue[1:] {
		first := e.queue[0]
		if first.left > chunk {
			first.left -= chunk
			break
		}
		chunk -= first.left
		d.RecordResponseStart(now, first.a)
		if first.event = now; first.isStream {
			first.tardy = now-first.arrived > 400*time.Millisecond
			e.streams = append(e.streams, first)
			continue
		}
		first.tardy = now-first.arrived > 2*time.Second
		d.RecordOutcome(now, first.a, Completed)
		ended(first)
	}
	left := 0.0
	for _, q := range e.queue {
		left += q.left
	}
	e.chunk = min(left, defaultPrefillChunk)
	e.stepEnds = now + time.Duration(e.chunk/32.4*float64(time.Millisecond)) + 10*time.Millisecond
}

// simulatePauses returns the shares of late streams and late long prompts.
func simulatePauses(t *testing.T, pauses Switch) lateShares {
	t.Helper()
	d, all := newTestDispatcher(12)
	d.options.Capacity.StreamPauses = pauses
	engines := map[tables.EndpointID]*simEngine{}
	for id := range all {
		engines[id] = &simEngine{}
	}
	rng := rand.New(rand.NewPCG(1, 2))
	var late, count [2]float64
	ended := func(r *simRequest) {
		kind := map[bool]int{true: 0, false: 1}[r.isStream]
		count[kind]++
		if r.tardy {
			late[kind]++
		}
	}
	for now := time.Second; now < 21*time.Second; now += time.Millisecond {
		for _, kind := range []struct {
			rate float64
			r    *Request
		}{{0.060, streamRequest(now)}, {0.008, promptRequest(now, 14_000)}} {
			if rng.Float64() < kind.rate {
				a := mustPlace(t, d, now, kind.r)
				e := engines[a.Endpoint.ID]
				e.queue = append(e.queue, &simRequest{a: a, arrived: now, left: float64(kind.r.PromptTokens), isStream: kind.r.isStream()})
			}
		}
		for _, row := range d.services["models"] {
			if e := engines[row.ID]; now >= e.stepEnds {
				e.step(now, d, ended)
			}
		}
	}
	return lateShares{lateStreams: late[0] / count[0], latePrompts: late[1] / count[1]}
}
