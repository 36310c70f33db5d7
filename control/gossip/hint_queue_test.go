package gossip

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// Guards against spending the byte budget on outdated loads. Hints that exceed the
// budget are queued, and of several loads of one endpoint only the newest is sent.
func TestQueueKeepsLatestLoad(t *testing.T) {
	var h HintQueue
	h.Add(membership.Hints{
		Placements: []membership.Placement{{Endpoint: "e1", Block: 1}, {Endpoint: "e1", Block: 2}},
		Loads:      []membership.Load{{Endpoint: "e1", Running: 1}, {Endpoint: "e2", Running: 1}},
	})
	h.Add(membership.Hints{Loads: []membership.Load{{Endpoint: "e1", Running: 5}}})
	first := h.dequeue(3)
	assert.DeepEqual(t, first.Loads, []membership.Load{{Endpoint: "e1", Running: 5}, {Endpoint: "e2", Running: 1}})
	assert.Equal(t, len(first.Placements), 1)
	assert.Equal(t, h.dequeue(9).Placements[0].Block, tables.BlockHash(2))
	assert.Equal(t, h.queued(), 0)
}

// Guards against exceeding the byte limit. Each hint costs its bytes once per
// receiver; without counting that, one instance could saturate the links of a whole
// zone.
func TestSendRateStaysWithinBudget(t *testing.T) {
	var h HintQueue
	ctx, cancel := context.WithCancel(t.Context())
	const receivers, bytes, period = fullRateReceivers, 100_000, time.Millisecond
	ticks, sent := 0, 0
	h.Run(ctx, HintSenderOptions{
		Interval: period, BytesPerSecond: bytes,
		Collect: func() membership.Hints {
			if ticks++; ticks == 400 {
				cancel()
			}
			return membership.Hints{Placements: []membership.Placement{{Endpoint: "e", Block: tables.BlockHash(ticks)}}}
		},
		ReceiverCount: func() int { return receivers },
		Send: func(hints membership.Hints) {
			sent += receivers * (datagramOverheadBytes + bytesPerHint*len(hints.Placements))
		},
	})
	maxBytes := int(float64(ticks) * period.Seconds() * bytes)
	assert.Assert(t, sent <= maxBytes && sent > maxBytes/2, "sent %d bytes, the limit is %d", sent, maxBytes)
}

// Guards against loads that take more bytes than the byte limit counts, for example after a field
// is added.
func TestLargestUsualLoadFitsTheCountedSize(t *testing.T) {
	load := &rpc.EndpointLoad{
		Endpoint: "engine-b-1100", Running: 64, Tokens: 400_000, Prefill: 150_000, LinkMs: 400,
		SlowdownPercent: 10_000, SlowdownAgeMs: 599, Streams: 64,
	}
	size := proto.Size(&rpc.Datagram{Loads: []*rpc.EndpointLoad{load}})
	assert.Assert(t, size <= bytesPerHint && size > bytesPerHint*9/10, "%d bytes, counted as %d", size, bytesPerHint)
}

// Guards against hint traffic that grows with the size of the group. With 30
// instances in a zone and a send in every interval, receiving datagrams would cost
// them more than serving requests.
func TestSendIntervalGrowsWithReceivers(t *testing.T) {
	var h HintQueue
	ctx, cancel := context.WithCancel(t.Context())
	const receivers, period = 29, 10 * time.Millisecond
	ticks, sends, sentHints := 0, 0, 0
	h.Run(ctx, HintSenderOptions{
		Interval: period, BytesPerSecond: 10_000_000,
		Collect: func() membership.Hints {
			if ticks++; ticks == 60 {
				cancel()
			}
			return membership.Hints{Placements: []membership.Placement{{Endpoint: "e", Block: tables.BlockHash(ticks)}}}
		},
		ReceiverCount: func() int { return receivers },
		Send:          func(hints membership.Hints) { sends++; sentHints += len(hints.Placements) },
	})
	assert.Equal(t, minSendDelay(receivers), 200*time.Millisecond)
	assert.Equal(t, sends, 3)
	assert.Equal(t, sentHints, 60)
}

// Guards against the drain notice of an endpoint that is never sent, since the loads of others are queued anew
// before each send and their identities come first.
func TestLoadsThatWaitLongestAreSentFirst(t *testing.T) {
	const endpoints, perSend = 30, 4
	var h HintQueue
	var all []membership.Load
	for i := range endpoints {
		all = append(all, membership.Load{Endpoint: tables.EndpointID(fmt.Sprintf("e%02d", i))})
	}
	all[endpoints-1].Notice = &membership.EndpointNotice{Draining: true}
	sent := map[tables.EndpointID]int{}
	rounds := endpoints/perSend + 1
	for range rounds {
		h.Add(membership.Hints{Loads: all})
		for _, load := range h.dequeue(perSend).Loads {
			sent[load.Endpoint]++
		}
	}
	assert.Equal(t, len(sent), endpoints, "%v", sent)
}

// Guards against an old rate limit that wins against a newer one elsewhere, since the time for which it was queued
// did not count.
func TestQueuedLoadsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const waited = 1500 * time.Millisecond
		load := membership.Load{
			Endpoint: "e", Limit: &membership.RateLimit{Age: time.Second}, SlowdownPercent: 200, SlowdownAge: time.Second,
			LinkBusy: 2 * time.Second, AbsentFor: time.Second,
			Notice: &membership.EndpointNotice{PushbackFor: 2 * time.Second, Brittleness: &membership.EndpointBrittleness{Age: time.Second}},
		}
		var h HintQueue
		h.Add(membership.Hints{Loads: []membership.Load{load}})
		time.Sleep(waited)
		sent := h.dequeue(1).Loads[0]
		assert.Equal(t, sent.Limit.Age, time.Second+waited)
		assert.Equal(t, sent.SlowdownAge, time.Second+waited)
		assert.Equal(t, sent.Notice.Brittleness.Age, time.Second+waited)
		assert.Equal(t, sent.Notice.PushbackFor, 500*time.Millisecond)
		assert.Equal(t, sent.LinkBusy, 500*time.Millisecond)
		assert.Equal(t, sent.AbsentFor, time.Duration(0))
		assert.Equal(t, load.Limit.Age, time.Second, "the queued load is shared")
	})
}
