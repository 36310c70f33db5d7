package gossip

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// DefaultHintBytesPerSecond bounds what an instance sends of hints, over all
	// receivers, where nothing else is set: a third of what control may cost at
	// the target.
	DefaultHintBytesPerSecond = 10_000
	// hintBytes is about what one hint takes in a datagram, and hintHead what the
	// datagram itself does.
	hintBytes = 32
	hintHead  = 80
	// hintBurst is for how long an unused budget is kept.
	hintBurst = 2 * time.Second
	// maxPlacements bounds the placements that wait; the oldest go first, since
	// prefixes are hot for seconds.
	maxPlacements = 1024
)

// HintQueue holds what the other instances are to hear of this one's requests. It is
// safe for concurrent use. The zero value is ready to use.
type HintQueue struct {
	mu         sync.Mutex
	placements []membership.Placement
	// loads keeps the latest of each endpoint only: a load that waits is
	// overtaken by the next.
	loads map[tables.EndpointID]membership.Load
}

// Add takes hints of this instance. It does not block.
func (h *HintQueue) Add(more membership.Hints) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.placements = append(h.placements, more.Placements...)
	if over := len(h.placements) - maxPlacements; over > 0 {
		h.placements = append(h.placements[:0], h.placements[over:]...)
	}
	if h.loads == nil {
		h.loads = map[tables.EndpointID]membership.Load{}
	}
	for _, l := range more.Loads {
		h.loads[l.Endpoint] = l
	}
}

// waiting is how many hints there are.
func (h *HintQueue) waiting() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.placements) + len(h.loads)
}

// take removes at most limit hints, loads first: they are old sooner.
func (h *HintQueue) take(limit int) membership.Hints {
	h.mu.Lock()
	defer h.mu.Unlock()
	var taken membership.Hints
	for _, id := range slices.Sorted(maps.Keys(h.loads)) {
		if limit == 0 {
			return taken
		}
		taken.Loads = append(taken.Loads, h.loads[id])
		delete(h.loads, id)
		limit--
	}
	limit = min(limit, len(h.placements))
	taken.Placements = append(taken.Placements, h.placements[:limit]...)
	h.placements = append(h.placements[:0], h.placements[limit:]...)
	return taken
}

// HintSenderOptions say how hints are told.
type HintSenderOptions struct {
	// Interval is the least time between two tellings.
	Interval time.Duration
	// NextInterval returns another period for the time being, 0 for none; nil for always
	// Period. It is asked once a period.
	NextInterval func() time.Duration
	// BytesPerSecond bounds what is sent over all receivers.
	BytesPerSecond int
	// Collect returns hints that have come up since the last call; nil for those
	// that are only added.
	Collect func() membership.Hints
	// ReceiverCount is how many instances are told; nothing is told while there are
	// none.
	ReceiverCount func() int
	Send          func(membership.Hints)
}

// Run passes hints on every period until the context ends. While the budget is
// used up they wait and come together, so that with many receivers each hears
// less often.
func (h *HintQueue) Run(ctx context.Context, o HintSenderOptions) {
	ticker := time.NewTicker(o.Interval)
	defer ticker.Stop()
	budget, waits, period := 0.0, 0*time.Second, o.Interval
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if o.Collect != nil {
			h.Add(o.Collect())
		}
		budget += float64(o.BytesPerSecond) * period.Seconds()
		budget = min(budget, float64(o.BytesPerSecond)*hintBurst.Seconds())
		waits += period
		if next := o.period(); next != period {
			period = next
			ticker.Reset(period)
		}
		if h.waiting() == 0 {
			continue
		}
		receivers := max(1, o.ReceiverCount())
		if waits < pause(receivers) {
			continue
		}
		limit := (int(budget)/receivers - hintHead) / hintBytes
		if limit <= 0 {
			continue
		}
		news := h.take(limit)
		budget -= float64(receivers * (hintHead + hintBytes*(len(news.Placements)+len(news.Loads))))
		waits = 0
		o.Send(news)
	}
}

// period is the time until the next telling.
func (o *HintSenderOptions) period() time.Duration {
	if o.NextInterval == nil {
		return o.Interval
	}
	return cmp.Or(o.NextInterval(), o.Interval)
}

const (
	// fewReceivers hear of hints in every period; each further one makes the time
	// between two tellings longer by pauseFor. What an instance receives in a second
	// grows with the group otherwise.
	fewReceivers = 9
	pauseFor     = 10 * time.Millisecond
)

// pause is the least time between two tellings to so many receivers.
func pause(receivers int) time.Duration {
	return time.Duration(max(0, receivers-fewReceivers)) * pauseFor
}
