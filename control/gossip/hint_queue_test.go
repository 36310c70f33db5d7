package gossip

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

// With many receivers the budget is used up. Hints then wait and come together;
// of an endpoint's load only the newest is worth its bytes.
func TestHintsThatWaitComeTogether(t *testing.T) {
	var h HintQueue
	h.Add(membership.Hints{
		Placements: []membership.Placement{{Endpoint: "e1", Block: 1}, {Endpoint: "e1", Block: 2}},
		Loads:      []membership.Load{{Endpoint: "e1", Running: 1}, {Endpoint: "e2", Running: 1}},
	})
	h.Add(membership.Hints{Loads: []membership.Load{{Endpoint: "e1", Running: 5}}})
	first := h.take(3)
	assert.DeepEqual(t, first.Loads, []membership.Load{{Endpoint: "e1", Running: 5}, {Endpoint: "e2", Running: 1}})
	assert.Equal(t, len(first.Placements), 1)
	assert.Equal(t, h.take(9).Placements[0].Block, tables.BlockHash(2))
	assert.Equal(t, h.waiting(), 0)
}

// What is told costs its bytes once for each receiver. An instance that counted
// them wrongly would fill the links of a whole zone.
func TestHintsKeepTheirBudget(t *testing.T) {
	var h HintQueue
	ctx, cancel := context.WithCancel(t.Context())
	const receivers, bytes, period = fewReceivers, 100_000, time.Millisecond
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
		Send: func(news membership.Hints) {
			sent += receivers * (hintHead + hintBytes*len(news.Placements))
		},
	})
	most := int(float64(ticks) * period.Seconds() * bytes)
	assert.Assert(t, sent <= most && sent > most/2, "%d bytes of %d", sent, most)
}

// Thirty instances of a zone hear of every change of each other. Were they told
// in every period, taking datagrams in would cost them more than their callers.
func TestManyReceiversAreToldLessOften(t *testing.T) {
	var h HintQueue
	ctx, cancel := context.WithCancel(t.Context())
	const receivers, period = 29, 10 * time.Millisecond
	ticks, tellings, told := 0, 0, 0
	h.Run(ctx, HintSenderOptions{
		Interval: period, BytesPerSecond: 10_000_000,
		Collect: func() membership.Hints {
			if ticks++; ticks == 60 {
				cancel()
			}
			return membership.Hints{Placements: []membership.Placement{{Endpoint: "e", Block: tables.BlockHash(ticks)}}}
		},
		ReceiverCount: func() int { return receivers },
		Send:          func(news membership.Hints) { tellings++; told += len(news.Placements) },
	})
	assert.Equal(t, pause(receivers), 200*time.Millisecond)
	assert.Equal(t, tellings, 3)
	assert.Equal(t, told, 60)
}
