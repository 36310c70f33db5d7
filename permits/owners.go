package permits

import (
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// timeoutBackoff is how long an owner that did not answer is not asked again.
	timeoutBackoff = 100 * time.Millisecond
	// takeoverAfter is how long an owner must have been unresponsive before the next instance by
	// the hash is asked instead. A slow owner still grants permits, and the load reports that show
	// them may be as late as its answers.
	takeoverAfter = time.Second
	// retryOwnerAfter is how often an owner that was replaced is asked again.
	retryOwnerAfter = time.Second
	// outageMemory is how long an outage counts without another timeout.
	outageMemory = 5 * time.Second
)

// ownerStates holds the outages of owners, as seen by one client. The zero value holds none. It is
// safe for concurrent use.
type ownerStates struct {
	mu      sync.Mutex
	outages map[tables.InstanceID]outage
}

// outage is a period in which an owner has answered nothing.
type outage struct {
	// since and last are the first and the last timeout.
	since, last tables.Instant
	// askAfter is when the owner may be asked again.
	askAfter tables.Instant
}

// causesTakeover reports whether the outage is long enough for another instance to be asked.
func (o outage) causesTakeover() bool { return o.last-o.since >= takeoverAfter }

// isReplaced reports whether another instance is asked instead of the owner.
func (s *ownerStates) isReplaced(id tables.InstanceID, now tables.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.outages[id]
	return o.causesTakeover() && now < o.askAfter
}

// wasReplaced reports whether another instance was asked instead of the owner recently.
func (s *ownerStates) wasReplaced(id tables.InstanceID, now tables.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.outages[id]
	return o.causesTakeover() && now-o.last < outageMemory
}

// mayAsk reports whether the owner may be asked now.
func (s *ownerStates) mayAsk(id tables.InstanceID, now tables.Instant) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now >= s.outages[id].askAfter
}

// recordAnswer records that the owner has answered.
func (s *ownerStates) recordAnswer(id tables.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.outages, id)
}

// recordTimeout records that the owner has not answered in time.
func (s *ownerStates) recordTimeout(id tables.InstanceID, now tables.Instant) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outages == nil {
		s.outages = map[tables.InstanceID]outage{}
	}
	for other, o := range s.outages {
		if now-o.last > outageMemory {
			delete(s.outages, other)
		}
	}
	o, known := s.outages[id]
	if !known {
		o.since = now
	}
	o.last, o.askAfter = now, now+timeoutBackoff
	if o.causesTakeover() {
		o.askAfter = now + retryOwnerAfter
	}
	s.outages[id] = o
}
