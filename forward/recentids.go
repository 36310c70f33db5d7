package forward

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
)

// maxRecentIDs bounds the request IDs that are remembered to notice one that arrives again.
const maxRecentIDs = 4096

// recentIDs is a bounded set of hashes of the IDs of the newest requests that may run once. It is safe
// for concurrent use.
type recentIDs struct {
	mu    sync.Mutex
	known map[uint64]struct{}
	// ring holds the hashes in the order of their arrival; next is the position of the oldest.
	ring []uint64
	next int
}

// add adds an ID, and reports whether it was known.
func (r *recentIDs) add(id string) (known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	hash := xxhash.Sum64String(id)
	if _, known = r.known[hash]; known {
		return true
	}
	if r.known == nil {
		r.known = map[uint64]struct{}{}
	}
	if len(r.ring) < maxRecentIDs {
		r.ring = append(r.ring, hash)
	} else {
		delete(r.known, r.ring[r.next])
		r.ring[r.next] = hash
		r.next = (r.next + 1) % maxRecentIDs
	}
	r.known[hash] = struct{}{}
	return false
}

// noteID logs a request that may run once whose ID has arrived before.
func (c *clientRequest) noteID() {
	if c.id == "" || c.route.SafeToRetry() || !c.server.recentIDs.add(c.id) {
		return
	}
	events.RequestIDRepeated.Log(c.server.log, append(c.logFields(), zap.String("caller", c.r.RemoteAddr))...)
}
