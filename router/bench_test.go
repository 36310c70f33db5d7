package router_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

// BenchmarkDecision measures one request from Submit to the end of its attempt,
// for several fleet sizes and several sizes of the cache index. It also reports
// the tail latency of the part from Submit to the action. Prompts have ten
// blocks; several endpoints hold the outer ones.
func BenchmarkDecision(b *testing.B) {
	for _, endpoints := range []int{9, 18, 138, 1100} {
		for _, blocks := range []int{10_000, 1_000_000, 12_500_000} {
			b.Run(fmt.Sprintf("endpoints=%d/blocks=%d", endpoints, blocks), func(b *testing.B) {
				benchmarkDecision(b, endpoints, blocks)
			})
		}
	}
}

func benchmarkDecision(b *testing.B, endpoints, blocks int) {
	c := &tables.Configuration{
		Revision: 1,
		Models:   []tables.Model{{Name: "m", Weights: "w1"}},
		Profiles: []tables.Profile{{Name: "draft", Model: "m", Idempotent: true, Prefer: tables.PreferFirstToken, Timeout: time.Minute}},
	}
	for i := range endpoints {
		c.Endpoints = append(c.Endpoints, tables.Endpoint{
			ID: tables.EndpointID(fmt.Sprintf("e%d", i)), Zone: "z1", Life: 1, Models: []tables.ModelName{"m"},
			Slots: 64, CacheBlocks: blocks / endpoints, PrefillRate: 10000, DecodeRate: 50,
		})
	}
	r := router.New(router.Options{Instance: "i1", Zone: "z1", Seed: 1, CacheIndexEntries: blocks})
	r.Configure(0, c)
	random := rand.New(rand.NewPCG(1, 2))
	fillCacheIndex(r, c, blocks, random)
	now := time.Second
	b.ReportAllocs()
	var took []time.Duration
	for n := 0; b.Loop(); n++ {
		now += time.Millisecond
		request := &tables.Request{
			ID: tables.RequestID(fmt.Sprint(n)), Organisation: "acme", Profile: "draft",
			PromptTokens: 40500, MaxTokens: 100, Arrived: now, Deadline: now + time.Minute,
		}
		subject := random.IntN(blocks / 10)
		for level := range 10 {
			request.Blocks = append(request.Blocks, tables.BlockHash(subject*10+level+1)*0x9e3779b97f4a7c15)
		}
		begin := time.Now()
		r.Submit(now, request)
		actions := r.Tick(now)
		took = append(took, time.Since(begin))
		for _, action := range actions {
			if d, ok := action.(router.Dispatch); ok {
				r.Observe(now, router.FirstToken{Attempt: d.Attempt})
				r.Observe(now, router.AttemptEnded{Attempt: d.Attempt, Result: router.Completed})
			}
		}
	}
	reportTail(b, took)
}

// reportTail reports the 99th percentile of the time from Submit to the action.
func reportTail(b *testing.B, took []time.Duration) {
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)*99/100]), "p99-ns/decision")
}

// fillCacheIndex makes the router record each block at one endpoint.
func fillCacheIndex(r *router.Router, c *tables.Configuration, blocks int, random *rand.Rand) {
	sequence := make([]uint64, len(c.Endpoints))
	for first := 0; first < blocks; first += 100 {
		at := random.IntN(len(c.Endpoints))
		sequence[at]++
		event := router.CacheEvent{Endpoint: c.Endpoints[at].ID, Boot: "b", Sequence: sequence[at]}
		for i := range 100 {
			event.Stored = append(event.Stored, tables.BlockHash(first+i+1)*0x9e3779b97f4a7c15)
		}
		r.Observe(time.Second, event)
	}
}
