package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/tables"
)

// streaming is a service with long prompts beside streams. streamRoute and promptRoute are its
// routes: streams with a target gap of 300 ms, and buffered responses.
var (
	streaming   = &routes.Service{Name: "models", Slots: 24, KVCapacityTokens: 400_000, EventStride: 5}
	streamRoute = &routes.Route{Kind: routes.Stream, TargetLatency: 400 * time.Millisecond, TargetEventGap: 300 * time.Millisecond}
	promptRoute = &routes.Route{Kind: routes.Idempotent, TargetLatency: 2 * time.Second}
)

func newPromptRequest(now tables.Instant, route *routes.Route, tokens int) *Request {
	return &Request{Service: streaming, Route: route, Model: "m", PromptTokens: tokens, OutputTokens: 60, ArrivedAt: now, Deadline: now + 10*time.Second}
}

// Guards against streams that are late because long prompts are computed beside them while
// other engines run no streams, and against pauses that return as soon as several instances
// place requests and a third of their load reports are lost.
//
// In 20 s of simulated time 12 engines receive 60 streams a second, which run for 0.7 s each,
// and 8 prompts a second of 14,000 tokens, which take 29 % of the engines' time at 32.4
// tokens/ms. Five chunks, the pause beside a long prompt, take 316 ms.
func TestLongPromptsAvoidRunningStreams(t *testing.T) {
	for _, instances := range []int{1, 4} {
		off, on := simulatePauses(t, Off, instances), simulatePauses(t, On, instances)
		t.Logf("%d instances: off %+v, on %+v", instances, off, on)
		assert.Assert(t, off.lateStreams > 0.2, "the load must make streams late: %+v", off)
		assert.Assert(t, on.lateStreams < off.lateStreams/4, "off %+v, on %+v", off, on)
		assert.Assert(t, on.latePrompts < 0.02, "long prompts must not pay for it: %+v", on)
	}
}

type lateShares struct{ lateStreams, latePrompts float64 }

// simRequest is a request at an engine, which computes prompts first come, first served.
type simRequest struct {
	by         *Dispatcher
	a          *Attempt
	first, end tables.Instant
	late       bool
}

// simulatePauses returns the shares of late streams and late long prompts. Instances report
// their loads to each other every 20 ms, and a third of the reports are lost.
func simulatePauses(t *testing.T, pauses Switch, instances int) lateShares {
	t.Helper()
	var all []*Dispatcher
	for i := range instances {
		d, _ := newTestDispatcher(12)
		d.options.Capacity.StreamPauses, d.options.Seed = pauses, uint64(i)
		all = append(all, d)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	free := map[tables.EndpointID]tables.Instant{}
	open := map[tables.EndpointID][]*simRequest{}
	var late, count [2]float64
	for now := time.Second; now < 21*time.Second; now += time.Millisecond {
		for kind, r := range []*Request{newPromptRequest(now, streamRoute, 260), newPromptRequest(now, promptRoute, 14_000)} {
			if rng.Float64() >= []float64{0.060, 0.008}[kind] {
				continue
			}
			d := all[rng.IntN(instances)]
			a := mustPlace(t, d, now, r)
			id := a.Endpoint.ID
			begins := max(now, free[id])
			s := &simRequest{by: d, a: a, first: begins + time.Duration(float64(r.PromptTokens)/32.4*float64(time.Millisecond))}
			free[id], s.end = s.first, s.first
			if count[kind]++; kind == 0 {
				s.end += 700 * time.Millisecond
			} else {
				for _, beside := range open[id] {
					if pause := min(beside.end, s.first) - begins; beside.a.isStream && pause > 300*time.Millisecond && !beside.late {
						beside.late = true
						late[0]++
					}
				}
			}
			if s.late = s.first-now > r.Route.TargetLatency; s.late {
				late[kind]++
			}
			open[id] = append(open[id], s)
		}
		for id := range open {
			open[id] = filterInPlace(open[id], func(s *simRequest) bool {
				if now >= s.first {
					s.by.RecordResponseStart(now, s.a)
				}
				if now >= s.end {
					s.by.RecordOutcome(now, s.a, Completed)
				}
				return now < s.end
			})
		}
		if now%(20*time.Millisecond) == 0 {
			exchangeLoads(now, all, rng)
		}
	}
	return lateShares{lateStreams: late[0] / count[0], latePrompts: late[1] / count[1]}
}

// exchangeLoads has the instances report their loads to each other.
func exchangeLoads(now tables.Instant, instances []*Dispatcher, rng *rand.Rand) {
	for i, from := range instances {
		for _, l := range from.TakeLoadReports(now) {
			for j, to := range instances {
				if i != j && rng.Float64() < 2.0/3 {
					to.ApplyLoadReport(now, tables.InstanceID(rune('a'+i)), l)
				}
			}
		}
	}
}
