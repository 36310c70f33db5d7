// Package datagram matches questions and answers that go as single datagrams, each of
// which may be lost, and keeps those who did not answer from being asked again at once.
package datagram

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/systems/membership"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/tables"
)

// Correlator are the questions of one life of an instance that wait for their answers. It is
// safe for concurrent use.
type Correlator[A any] struct {
	mu      sync.Mutex
	number  uint64
	waiting map[uint64]chan A
}

// NewCorrelator returns Calls that number questions from after first on.
func NewCorrelator[A any](first uint64) *Correlator[A] {
	return &Correlator[A]{number: first, waiting: map[uint64]chan A{}}
}

// NextID returns a number for a message that nobody answers.
func (c *Correlator[A]) NextID() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number++
	return c.number
}

// Call sends a question under a new number and waits for its answer; found is false if none
// came in time.
func (c *Correlator[A]) Call(ctx context.Context, timeout time.Duration, send func(number uint64)) (answer A, number uint64, found bool) {
	answered := make(chan A, 1)
	c.mu.Lock()
	c.number++
	number = c.number
	c.waiting[number] = answered
	c.mu.Unlock()
	defer c.forget(number)
	send(number)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case answer = <-answered:
		return answer, number, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return answer, number, false
}

func (c *Correlator[A]) forget(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, number)
}

// Deliver hands an answer over, and says whether anybody has waited for it.
func (c *Correlator[A]) Deliver(number uint64, answer A) bool {
	c.mu.Lock()
	waiting := c.waiting[number]
	delete(c.waiting, number)
	c.mu.Unlock()
	if waiting == nil {
		return false
	}
	waiting <- answer
	return true
}

// Backoffs remembers instances that are not asked for a while. It is safe for concurrent use.
type Backoffs struct {
	mu    sync.Mutex
	until map[tables.InstanceID]tables.Instant
}

// BackOff has an instance not asked until then.
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

// IsBackingOff says whether an instance is not to be asked now.
func (s *Backoffs) IsBackingOff(id tables.InstanceID, now tables.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now < s.until[id]
}

// PickRendezvous chooses one of several instances by rendezvous hashing: the one with the highest draw
// for the key of those that are not left out.
func PickRendezvous(key uint64, entries []membership.EntryInstance, left func(tables.InstanceID) bool) (best membership.EntryInstance, found bool) {
	var highest uint64
	for _, e := range entries {
		if left(e.Instance) {
			continue
		}
		if drawn := draw(e.Instance, key); !found || drawn > highest {
			best, highest, found = e, drawn, true
		}
	}
	return best, found
}

func draw(id tables.InstanceID, key uint64) uint64 {
	return placement.Mix64(placement.Mix64(xxhash.Sum64String(string(id))) ^ key)
}
