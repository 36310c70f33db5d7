package gossip

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// DefaultHintBytesPerSecond is the default limit on the hint bytes that an
	// instance sends, summed over all receivers. It is a third of what control
	// traffic may cost at the target size of a deployment.
	DefaultHintBytesPerSecond = 10_000
	// bytesPerHint is the encoded size of the largest usual hint: the load of an
	// endpoint with an identity of 13 bytes, a prompt queue of 150,000 tokens, a busy
	// link and a slowdown. A smaller figure would let instances exceed the byte limit
	// when endpoints are busy. A rate limit, notice or absence is rare and adds to it.
	bytesPerHint = 38
	// datagramOverheadBytes is the approximate encoded size of a datagram without hints.
	datagramOverheadBytes = 80
	// burstWindow is the capacity of the token bucket, as the time in which it
	// fills at the configured rate.
	burstWindow = 2 * time.Second
	// maxQueuedPlacements bounds the queued placements. The oldest are dropped
	// first, since prefixes are hot for seconds only.
	maxQueuedPlacements = 1024
)

// HintQueue is a bounded queue of the hints that this instance has to send to
// others. Run drains it under a byte rate limit. It is safe for concurrent use. The
// zero value is ready to use.
type HintQueue struct {
	mu         sync.Mutex
	placements []membership.Placement
	// loads holds only the latest load of each endpoint, because a newer load
	// supersedes one that is still queued.
	loads map[tables.EndpointID]queuedLoad
	// loadOrder lists the endpoints in loads, those that have waited longest first.
	loadOrder []tables.EndpointID
}

// queuedLoad is a load as of the time at which it was queued.
type queuedLoad struct {
	membership.Load
	at time.Time
}

// load returns the load as of now: ages have grown, and what remains has become less. Receivers would otherwise
// prefer it to newer observations of others.
func (q queuedLoad) load(now time.Time) membership.Load {
	l, waited := q.Load, now.Sub(q.at)
	l.LinkBusy, l.AbsentFor = max(0, l.LinkBusy-waited), max(0, l.AbsentFor-waited)
	if l.SlowdownPercent != 0 {
		l.SlowdownAge += waited
	}
	if l.Limit != nil {
		limit := *l.Limit
		limit.Age += waited
		l.Limit = &limit
	}
	if l.Notice != nil {
		notice := *l.Notice
		notice.PushbackFor = max(0, notice.PushbackFor-waited)
		if notice.Brittleness != nil {
			brittleness := *notice.Brittleness
			brittleness.Age += waited
			notice.Brittleness = &brittleness
		}
		l.Notice = &notice
	}
	return l
}

// Add queues hints of this instance. It does not block.
func (h *HintQueue) Add(more membership.Hints) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.placements = append(h.placements, more.Placements...)
	if over := len(h.placements) - maxQueuedPlacements; over > 0 {
		h.placements = append(h.placements[:0], h.placements[over:]...)
	}
	if h.loads == nil {
		h.loads = map[tables.EndpointID]queuedLoad{}
	}
	now := time.Now()
	for _, l := range more.Loads {
		if _, waits := h.loads[l.Endpoint]; !waits {
			h.loadOrder = append(h.loadOrder, l.Endpoint)
		}
		h.loads[l.Endpoint] = queuedLoad{Load: l, at: now}
	}
}

// queued returns the number of queued hints.
func (h *HintQueue) queued() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.placements) + len(h.loads)
}

// dequeue removes and returns at most limit hints. Loads come first because they
// become outdated sooner, in the order in which they were queued first: notices of
// endpoints that are about to stop are among them.
func (h *HintQueue) dequeue(limit int) membership.Hints {
	h.mu.Lock()
	defer h.mu.Unlock()
	var taken membership.Hints
	loads, now := min(limit, len(h.loadOrder)), time.Now()
	for _, id := range h.loadOrder[:loads] {
		taken.Loads = append(taken.Loads, h.loads[id].load(now))
		delete(h.loads, id)
	}
	h.loadOrder = append(h.loadOrder[:0], h.loadOrder[loads:]...)
	limit = min(limit-loads, len(h.placements))
	taken.Placements = append(taken.Placements, h.placements[:limit]...)
	h.placements = append(h.placements[:0], h.placements[limit:]...)
	return taken
}

// HintSenderOptions configures HintQueue.Run.
type HintSenderOptions struct {
	// Interval is the minimum time between two sends.
	Interval time.Duration
	// NextInterval returns the interval to use until the next call; 0 means
	// Interval. It is called once per interval. If it is nil, Interval is always
	// used.
	NextInterval func() time.Duration
	// BytesPerSecond limits the bytes that are sent, summed over all receivers.
	BytesPerSecond int
	// Collect returns the hints that have arisen since the last call. If it is nil,
	// only hints passed to Add are sent.
	Collect func() membership.Hints
	// ReceiverCount returns the number of instances that Send sends to. Zero is
	// treated as one.
	ReceiverCount func() int
	// Send sends the hints to every receiver.
	Send func(membership.Hints)
}

// Run sends queued hints every interval until the context ends. A token bucket of
// bytes limits the rate. While the bucket is empty, hints stay in the queue and are
// later sent together, so with many receivers each gets fewer, larger datagrams.
func (h *HintQueue) Run(ctx context.Context, o HintSenderOptions) {
	ticker := time.NewTicker(o.Interval)
	defer ticker.Stop()
	budget, sinceSend, interval := 0.0, 0*time.Second, o.Interval
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if o.Collect != nil {
			h.Add(o.Collect())
		}
		budget += float64(o.BytesPerSecond) * interval.Seconds()
		budget = min(budget, float64(o.BytesPerSecond)*burstWindow.Seconds())
		sinceSend += interval
		if next := o.nextInterval(); next != interval {
			interval = next
			ticker.Reset(interval)
		}
		if h.queued() == 0 {
			continue
		}
		receivers := max(1, o.ReceiverCount())
		if sinceSend < minSendDelay(receivers) {
			continue
		}
		limit := (int(budget)/receivers - datagramOverheadBytes) / bytesPerHint
		if limit <= 0 {
			continue
		}
		hints := h.dequeue(limit)
		budget -= float64(receivers * (datagramOverheadBytes + bytesPerHint*(len(hints.Placements)+len(hints.Loads))))
		sinceSend = 0
		o.Send(hints)
	}
}

// nextInterval returns the time until the next send.
func (o *HintSenderOptions) nextInterval() time.Duration {
	if o.NextInterval == nil {
		return o.Interval
	}
	return cmp.Or(o.NextInterval(), o.Interval)
}

const (
	// Up to fullRateReceivers receivers get hints in every interval. Each further
	// receiver adds delayPerReceiver to the time between two sends. Otherwise the
	// datagrams that an instance receives per second would grow with the group.
	fullRateReceivers = 9
	delayPerReceiver  = 10 * time.Millisecond
)

// minSendDelay returns the minimum time between two sends to the given number of
// receivers.
func minSendDelay(receivers int) time.Duration {
	return time.Duration(max(0, receivers-fullRateReceivers)) * delayPerReceiver
}
