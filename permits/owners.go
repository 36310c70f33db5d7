package permits

import (
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// silentPause is how long an owner that did not answer is not asked again.
	silentPause = 100 * time.Millisecond
	// takeoverAfter is how long an owner must have been silent before the next instance by the
	// hash is asked in its place. A slow owner goes on granting permits, and the load reports
	// that show them may be as late as its answers.
	takeoverAfter = time.Second
	// retryOwnerAfter is how often an owner that was replaced is asked again.
	retryOwnerAfter = time.Second
	// silenceMemory is how long a silence counts without another one.
	silenceMemory = 5 * time.Second
)

// ownerStates is what a client knows of the owners that did not answer. The zero value knows of
// none. It is safe for concurrent use.
type ownerStates struct {
	mu     sync.Mutex
	silent map[tables.InstanceID]silence
}

// silence is a time in which an owner has answered nothing.
type silence struct {
	since, last tables.Instant
	// askAfter is when the owner may be asked again.
	askAfter tables.Instant
}

// lasted reports whether the silence is long enough for another instance to be asked.
func (s silence) lasted() bool { return s.last-s.since >= takeoverAfter }

// isReplaced reports whether another instance is asked in the owner's place.
func (o *ownerStates) isReplaced(id tables.InstanceID, now tables.Instant) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.silent[id]
	return s.lasted() && now < s.askAfter
}

// wasReplaced reports whether another instance was asked in the owner's place lately.
func (o *ownerStates) wasReplaced(id tables.InstanceID, now tables.Instant) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	s := o.silent[id]
	return s.lasted() && now-s.last < silenceMemory
}

// mayAsk reports whether the owner may be asked now.
func (o *ownerStates) mayAsk(id tables.InstanceID, now tables.Instant) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return now >= o.silent[id].askAfter
}

// recordAnswer records that the owner has answered.
func (o *ownerStates) recordAnswer(id tables.InstanceID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.silent, id)
}

// recordSilence records that the owner has not answered in time.
func (o *ownerStates) recordSilence(id tables.InstanceID, now tables.Instant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.silent == nil {
		o.silent = map[tables.InstanceID]silence{}
	}
	for other, s := range o.silent {
		if now-s.last > silenceMemory {
			delete(o.silent, other)
		}
	}
	s, known := o.silent[id]
	if !known {
		s.since = now
	}
	s.last, s.askAfter = now, now+silentPause
	if s.lasted() {
		s.askAfter = now + retryOwnerAfter
	}
	o.silent[id] = s
}
