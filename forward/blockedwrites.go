package forward

import (
	"sync"
	"time"
)

// blockedWriteDelay is how long a write may block before another goroutine continues to read the
// stream; it is found within twice that time. It exceeds usual scheduling delays, and endpoints
// do not notice that they are not read for so long.
const blockedWriteDelay = 20 * time.Millisecond

// blockedWrites finds the streams whose write to the client blocks. One timer serves all
// streams: to set and stop a timer for each event costs a sixth of what the event costs.
type blockedWrites struct {
	server *Server

	mu      sync.Mutex
	streams map[*streamRelay]struct{}
	armed   bool
}

// register includes a stream in the checks.
func (b *blockedWrites) register(r *streamRelay) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.streams[r] = struct{}{}
	b.arm()
}

// unregister excludes a stream from the checks.
func (b *blockedWrites) unregister(r *streamRelay) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.streams, r)
}

// arm schedules the next check while there are streams. The caller holds the mutex.
func (b *blockedWrites) arm() {
	if !b.armed && len(b.streams) > 0 {
		b.armed = true
		time.AfterFunc(blockedWriteDelay, b.check)
	}
}

// check starts to read ahead in the streams whose writes block.
func (b *blockedWrites) check() {
	now := b.server.options.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.armed = false
	for r := range b.streams {
		if r.phase.Load() == writingDirectly && now-time.Duration(r.writeStartedAt.Load()) >= blockedWriteDelay {
			go r.readAhead()
		}
	}
	b.arm()
}
