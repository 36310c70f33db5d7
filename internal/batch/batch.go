// Package batch combines concurrent questions into few calls.
package batch

import (
	"context"
	"sync"
	"time"
)

// Func answers several questions with one call. A question that is missing in the answers has none.
type Func[K comparable, V any] func(ctx context.Context, keys []K) (map[K]V, error)

// Caller makes at most one call at a time. Questions that arrive meanwhile wait for the next one, so that
// the call that answers a question always begins after it was asked. It is safe for concurrent use.
type Caller[K comparable, V any] struct {
	call    Func[K, V]
	timeout time.Duration
	maxKeys int

	mu      sync.Mutex
	running bool
	waiting []*round[K, V]
}

// round is the questions of one call.
type round[K comparable, V any] struct {
	keys    []K
	asked   map[K]bool
	done    chan struct{}
	answers map[K]V
	err     error
}

// NewCaller returns a Caller whose calls end after the timeout and hold up to maxKeys questions.
func NewCaller[K comparable, V any](call Func[K, V], timeout time.Duration, maxKeys int) *Caller[K, V] {
	return &Caller[K, V]{call: call, timeout: timeout, maxKeys: maxKeys}
}

// Do returns the answer to a question, and whether the call had one. It fails if the call fails or the
// context ends first.
func (c *Caller[K, V]) Do(ctx context.Context, key K) (answer V, found bool, err error) {
	r := c.join(key)
	select {
	case <-r.done:
		answer, found = r.answers[key]
		return answer, found, r.err
	case <-ctx.Done():
		return answer, false, ctx.Err()
	}
}

// join adds a question to the first waiting round that has room.
func (c *Caller[K, V]) join(key K) *round[K, V] {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.waiting {
		if r.asked[key] {
			return r
		}
		if len(r.keys) < c.maxKeys {
			r.add(key)
			return r
		}
	}
	r := &round[K, V]{asked: map[K]bool{}, done: make(chan struct{})}
	r.add(key)
	c.waiting = append(c.waiting, r)
	if !c.running {
		c.running = true
		go c.run()
	}
	return r
}

func (r *round[K, V]) add(key K) {
	r.keys = append(r.keys, key)
	r.asked[key] = true
}

// run makes calls until no question waits.
func (c *Caller[K, V]) run() {
	for {
		c.mu.Lock()
		if len(c.waiting) == 0 {
			c.running = false
			c.mu.Unlock()
			return
		}
		r := c.waiting[0]
		c.waiting = c.waiting[1:]
		c.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
		r.answers, r.err = c.call(ctx, r.keys)
		cancel()
		close(r.done)
	}
}
