package peers

import (
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/systems/quarantine"
)

const (
	// callInterval is the shortest time between the end of a call to an instance and the next one.
	callInterval = 50 * time.Millisecond
	// clearingDelay is how long suspects that only speak for parts wait for others. It must be less
	// than quarantine.DefaultSettleDelay, after which a part is convicted.
	clearingDelay = 100 * time.Millisecond
)

// Broadcaster reports suspects to other instances, with one call at a time to each. What is added
// before the next call goes into that call. It is safe for concurrent use.
type Broadcaster struct {
	send    func(to netip.AddrPort, report *rpc.SuspectReport)
	dropped func(to netip.AddrPort, err *QueueFullError)
	mu      sync.Mutex
	queues  map[netip.AddrPort]*queue
}

// QueueFullError means that suspects were dropped because an instance does not respond and too many
// wait for it.
type QueueFullError struct {
	// Suspects is the number of suspects that were dropped.
	Suspects int
}

// Error tells the number of suspects.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("%d suspects dropped: too many wait to be reported", e.Suspects)
}

// queue holds the suspects that wait to be reported to one instance.
type queue struct {
	to      netip.AddrPort
	waiting []addition
	// calling is set during a call, and nextCall is the earliest time of the next one.
	calling  bool
	nextCall time.Time
	// timer makes the next call at dueAt. It is nil if none is due.
	timer *time.Timer
	dueAt time.Time
}

// addition is what one call of Broadcast has added to a queue. It is shared by all queues.
type addition struct {
	suspects []quarantine.Suspect
	at       time.Time
	delivery *delivery
}

// delivery counts the instances that have not been called yet. done is closed after the last one.
type delivery struct {
	left atomic.Int64
	done chan struct{}
}

func newDelivery(instances int) *delivery {
	d := &delivery{done: make(chan struct{})}
	if d.left.Store(int64(instances)); instances == 0 {
		close(d.done)
	}
	return d
}

func (d *delivery) end() {
	if d.left.Add(-1) == 0 {
		close(d.done)
	}
}

// NewBroadcaster returns a Broadcaster. send makes a call to an instance and returns when it has
// ended. dropped is called for suspects that are not reported; it must not block.
func NewBroadcaster(send func(to netip.AddrPort, report *rpc.SuspectReport), dropped func(to netip.AddrPort, err *QueueFullError)) *Broadcaster {
	return &Broadcaster{send: send, dropped: dropped, queues: map[netip.AddrPort]*queue{}}
}

// Broadcast reports suspects to the given instances. It does not block: the returned channel is
// closed when the calls to all of them have ended. At most maxSuspectsPerReport wait for a call; the
// oldest are dropped first.
func (b *Broadcaster) Broadcast(to []netip.AddrPort, suspects []quarantine.Suspect) (sent <-chan struct{}) {
	now := time.Now()
	added := addition{suspects: suspects, at: now, delivery: newDelivery(len(to))}
	due := now
	if onlyClears(suspects) {
		due = now.Add(clearingDelay)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dropUnusedQueues(now)
	for _, at := range to {
		q := b.queues[at]
		if q == nil {
			q = &queue{to: at}
			b.queues[at] = q
		}
		if dropped := q.add(added); dropped > 0 {
			b.dropped(at, &QueueFullError{Suspects: dropped})
		}
		b.schedule(q, due)
	}
	return added.delivery.done
}

// onlyClears reports whether the suspects only speak for parts, so that nothing crashes if they
// are reported a little later.
func onlyClears(suspects []quarantine.Suspect) bool {
	for _, s := range suspects {
		if !s.Cleared && !s.Released && (s.Part == 0 || !s.Proven) {
			return false
		}
	}
	return true
}

// add appends to the queue, drops the oldest additions beyond the limit, and returns how many
// suspects these had.
func (q *queue) add(added addition) (dropped int) {
	q.waiting = append(q.waiting, added)
	total := 0
	for _, a := range q.waiting {
		total += len(a.suspects)
	}
	for total > maxSuspectsPerReport && len(q.waiting) > 1 {
		oldest := len(q.waiting[0].suspects)
		total, dropped = total-oldest, dropped+oldest
		q.waiting[0].delivery.end()
		q.waiting = q.waiting[1:]
	}
	return dropped
}

// schedule has the next call made at the given time, or when the next one may be made, unless it is
// due earlier. The caller holds b.mu.
func (b *Broadcaster) schedule(q *queue, at time.Time) {
	if q.nextCall.After(at) {
		at = q.nextCall
	}
	if q.calling || q.timer != nil && !at.Before(q.dueAt) {
		return
	}
	if q.timer != nil {
		q.timer.Stop()
	}
	q.dueAt = at
	q.timer = time.AfterFunc(time.Until(at), func() { b.call(q) })
}

// call reports what waits in a queue.
func (b *Broadcaster) call(q *queue) {
	b.mu.Lock()
	if q.calling || len(q.waiting) == 0 {
		b.mu.Unlock()
		return
	}
	batch := q.waiting
	q.waiting, q.calling, q.timer = nil, true, nil
	b.mu.Unlock()

	b.send(q.to, encodeBatch(batch, time.Now()))
	for _, a := range batch {
		a.delivery.end()
	}

	b.mu.Lock()
	defer b.mu.Unlock()
	q.calling, q.nextCall = false, time.Now().Add(callInterval)
	if len(q.waiting) > 0 {
		b.schedule(q, q.nextCall)
	}
}

// encodeBatch returns the message for additions. Their suspects have aged since they were added.
func encodeBatch(batch []addition, now time.Time) *rpc.SuspectReport {
	report := &rpc.SuspectReport{}
	for _, a := range batch {
		for _, s := range a.suspects {
			s.Age += now.Sub(a.at)
			report.Suspects = append(report.Suspects, encodeSuspect(s))
		}
	}
	return report
}

// dropUnusedQueues drops the queues of which nothing is left to be remembered, since instances come
// and go. The caller holds b.mu.
func (b *Broadcaster) dropUnusedQueues(now time.Time) {
	for at, q := range b.queues {
		if !q.calling && len(q.waiting) == 0 && now.After(q.nextCall) {
			delete(b.queues, at)
		}
	}
}
