package engine

import (
	"sync"
	"time"
)

// readTimer ends a stream whose endpoint sends nothing for its timeout. It runs only while the stream
// is read, so that a slow caller is not taken for a hung endpoint.
type readTimer struct {
	// onTimeout ends the stream. timeoutAllowed is called before; nil means that it is allowed.
	onTimeout      func(after time.Duration)
	timeoutAllowed func() bool

	mu      sync.Mutex
	timer   *time.Timer
	timeout time.Duration
	// started counts the starts of the timer, and running is set until it is stopped.
	started uint64
	running bool
}

// start starts the timer anew.
func (t *readTimer) start() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.started++
	t.running = true
	if t.timer == nil {
		t.timer = time.AfterFunc(t.timeout, t.expire)
		return
	}
	t.timer.Reset(t.timeout)
}

func (t *readTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running = false
	t.timer.Stop()
}

// setTimeout sets the timeout from the next start on.
func (t *readTimer) setTimeout(timeout time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timeout = timeout
}

// expire ends the stream, unless that is not allowed or data has arrived since the timer fired.
func (t *readTimer) expire() {
	t.mu.Lock()
	began, timeout := t.started, t.timeout
	t.mu.Unlock()
	allowed := t.timeoutAllowed == nil || t.timeoutAllowed()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !t.running || t.started != began:
	case allowed:
		t.onTimeout(timeout)
	default:
		t.timer.Reset(timeout)
	}
}
