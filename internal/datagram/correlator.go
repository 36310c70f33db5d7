// Package datagram implements request/response exchanges over single, unreliable
// datagrams: correlation of responses with requests, back-off from peers that timed
// out, and rendezvous hashing to choose a peer.
package datagram

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/systems/placement/rendezvous"
	"github.com/carawaystile/carawaystile/tables"
)

// Correlator is a table of pending requests. It assigns request IDs and matches each
// response to its request; the IDs are unique within one process life of an instance.
// It is safe for concurrent use.
type Correlator[A any] struct {
	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan A
}

// NewCorrelator returns a Correlator whose first ID is first+1.
func NewCorrelator[A any](first uint64) *Correlator[A] {
	return &Correlator[A]{lastID: first, pending: map[uint64]chan A{}}
}

// NextID returns an ID for a message that expects no response.
func (c *Correlator[A]) NextID() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	return c.lastID
}

// Call sends a request under a new ID and waits for the response. It returns the ID;
// found is false if no response came before the timeout or the end of the context.
func (c *Correlator[A]) Call(ctx context.Context, timeout time.Duration, send func(id uint64)) (answer A, id uint64, found bool) {
	answered := make(chan A, 1)
	c.mu.Lock()
	c.lastID++
	id = c.lastID
	c.pending[id] = answered
	c.mu.Unlock()
	defer c.remove(id)
	send(id)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer = <-answered:
		return answer, id, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return answer, id, false
}

func (c *Correlator[A]) remove(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// Deliver hands a response to the caller that waits for it, and reports whether there
// was one. Duplicate and late responses find no pending request.
func (c *Correlator[A]) Deliver(id uint64, answer A) bool {
	c.mu.Lock()
	waiting := c.pending[id]
	delete(c.pending, id)
	c.mu.Unlock()
	if waiting == nil {
		return false
	}
	waiting <- answer
	return true
}

// Backoffs records, for each instance, until when it is not sent requests after it
// failed to respond. The zero value is ready to use. It is safe for concurrent use.
type Backoffs struct {
	mu    sync.Mutex
	until map[tables.InstanceID]tables.Instant
}

// BackOff excludes an instance until the given time, and removes expired entries.
func (s *Backoffs) BackOff(id tables.InstanceID, now, until tables.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil {
		s.until = map[tables.InstanceID]tables.Instant{}
	}
	s.until[id] = until
	for other, end := range s.until {
		if now >= end {
			delete(s.until, other)
		}
	}
}

// IsBackingOff reports whether an instance is excluded now.
func (s *Backoffs) IsBackingOff(id tables.InstanceID, now tables.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.until[id]
}

// PickRendezvous chooses an instance by rendezvous (highest random weight) hashing: of
// the instances that are not excluded, the one with the highest score for the key. The
// sizes of the instances do not count.
func PickRendezvous(key uint64, entries []membership.EntryInstance, excluded func(tables.InstanceID) bool) (best membership.EntryInstance, found bool) {
	return pick(key, entries, nil, excluded)
}

// PickWeighted chooses like PickRendezvous, in proportion to the weights of the instances. If
// all weights are equal, it chooses the same instance.
func PickWeighted(key uint64, entries []membership.EntryInstance, excluded func(tables.InstanceID) bool) (best membership.EntryInstance, found bool) {
	return pick(key, entries, func(e *membership.EntryInstance) int { return rendezvous.Weight(e.Weight) }, excluded)
}

// PickBySize chooses like PickWeighted, by the sizes of the instances: it returns the choice of
// those that weigh instances by size already.
func PickBySize(key uint64, entries []membership.EntryInstance, excluded func(tables.InstanceID) bool) (best membership.EntryInstance, found bool) {
	return pick(key, entries, func(e *membership.EntryInstance) int { return rendezvous.Weight(e.Size) }, excluded)
}

// pick chooses an instance; if weight is nil, all weights are equal.
func pick(key uint64, entries []membership.EntryInstance, weight func(*membership.EntryInstance) int, excluded func(tables.InstanceID) bool) (membership.EntryInstance, bool) {
	choice := rendezvous.Choice{Weighted: weight != nil && !rendezvous.EqualWeights(entries, weight)}
	for i := range entries {
		e := &entries[i]
		if excluded(e.Instance) {
			continue
		}
		weightOfEntry := 1
		if choice.Weighted {
			weightOfEntry = weight(e)
		}
		choice.Offer(i, rendezvousHash(e.Instance, key), weightOfEntry)
	}
	if best := choice.Best(); best >= 0 {
		return entries[best], true
	}
	return membership.EntryInstance{}, false
}

func rendezvousHash(id tables.InstanceID, key uint64) uint64 {
	return placement.Mix64(placement.Mix64(xxhash.Sum64String(string(id))) ^ key)
}
