// Package logs writes log lines without ever holding up the code that logs.
package logs

import (
	"io"
	"sync"
	"time"
)

const (
	// flushPeriod is how long a line may wait to be written, and flushBytes how
	// much may come together before that.
	flushPeriod = 200 * time.Millisecond
	flushBytes  = 32 << 10
	// maxPending bounds the lines that wait while the reader of the output does
	// not take them; further ones are dropped and counted.
	maxPending = 1 << 20
)

// Writer collects lines and writes them from a goroutine of its own. When the
// output is stuck it drops lines: a request must not wait for a log.
type Writer struct {
	out io.Writer
	// left counts lines that sampling left out.
	left leftOut

	mu      sync.Mutex
	pending []byte
	dropped int
	closed  bool
	full    chan struct{}
	done    chan struct{}
}

// NewWriter returns a writer to out that runs until Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, left: leftOut{counts: map[string]int{}}, full: make(chan struct{}, 1), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxPending || w.closed {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	if len(w.pending) >= flushBytes {
		select {
		case w.full <- struct{}{}:
		default:
		}
	}
	return len(line), nil
}

// Sync does nothing: lines are written within the flush period.
func (w *Writer) Sync() error { return nil }

// Close writes what is pending.
func (w *Writer) Close() {
	w.mu.Lock()
	again := w.closed
	w.closed = true
	w.mu.Unlock()
	if !again {
		close(w.full)
	}
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushPeriod)
	defer ticker.Stop()
	var spare []byte
	var told time.Time
	for open := true; open; {
		select {
		case <-ticker.C:
		case _, open = <-w.full:
		}
		w.mu.Lock()
		lines := w.pending
		w.pending = spare[:0]
		dropped := w.dropped
		w.dropped = 0
		w.mu.Unlock()
		if now := time.Now(); dropped > 0 || !open || now.Sub(told) >= samplePeriod {
			if left := w.left.take(); dropped > 0 || left != nil {
				lines = append(lines, missingLine(now, dropped, left)...)
			}
			told = now
		}
		if len(lines) > 0 {
			// A failed write leaves nobody to tell.
			_, _ = w.out.Write(lines)
		}
		spare = lines
	}
}
