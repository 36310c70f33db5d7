// Package streamorigin remembers which version of the endpoints' software began a stream, so that
// any entry instance can resume it at an endpoint of the same version.
package streamorigin

import (
	"cmp"
	"sync"
	"time"

	"github.com/carawaystile/carawaystile/tables"
)

const (
	// generationAge is the minimum time for which an origin is kept. It exceeds the duration of a
	// stream and of the client's pause before it resumes.
	generationAge = 30 * time.Second
	// defaultMaxGeneration bounds the origins of one generation. Further ones start the next generation
	// early.
	defaultMaxGeneration = 1 << 15
)

// Origin is the version of the endpoints' software that began a stream. Request is the ID of the
// request that brought the first event.
type Origin struct {
	Request  string
	Software string
}

// Table is a bounded set of origins in two generations: the older one is dropped when the newer one
// is full or old. It is safe for concurrent use. The zero value is ready to use.
type Table struct {
	mu              sync.Mutex
	newer, older    map[string]string
	newerStartedAt  tables.Instant
	newerHasStarted bool
	// maxGeneration replaces defaultMaxGeneration if it is not 0.
	maxGeneration int
}

// Record adds an origin or replaces that of the same request.
func (t *Table) Record(now tables.Instant, o Origin) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.newerHasStarted || now-t.newerStartedAt >= generationAge || len(t.newer) >= cmp.Or(t.maxGeneration, defaultMaxGeneration) {
		t.older, t.newer = t.newer, map[string]string{}
		t.newerStartedAt, t.newerHasStarted = now, true
	}
	t.newer[identify(o.Request)] = o.Software
}

// Find returns the version of a request's origin, and whether it is known.
func (t *Table) Find(request string) (software string, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	request = identify(request)
	if software, known = t.newer[request]; known {
		return software, true
	}
	software, known = t.older[request]
	return software, known
}

// All returns all known origins.
func (t *Table) All() []Origin {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Origin, 0, len(t.newer)+len(t.older))
	for _, generation := range []map[string]string{t.older, t.newer} {
		for request, software := range generation {
			all = append(all, Origin{Request: request, Software: software})
		}
	}
	return all
}
