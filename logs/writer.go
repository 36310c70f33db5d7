// Package logs provides a sampled JSON logger with an asynchronous, buffered writer. It
// never blocks the code that logs.
package logs

import (
	"io"
	"sync"
	"time"
)

const (
	// flushPeriod is the longest time that a line is buffered, and flushBytes the
	// buffer size that triggers an earlier flush.
	flushPeriod = 200 * time.Millisecond
	flushBytes  = 32 << 10
	// maxPending bounds the bytes buffered while the output is stalled; further lines
	// are dropped and counted.
	maxPending = 1 << 20
	// syncTimeout bounds how long Sync waits for the output.
	syncTimeout = 10 * time.Millisecond
)

// Writer is an asynchronous, buffered io.Writer: a background goroutine flushes the buffer
// to the output. If the output stalls and the buffer is full, it drops lines, since a
// request must not wait for a log. It is safe for concurrent use.
type Writer struct {
	out io.Writer
	// sampledOut counts the lines that sampling dropped.
	sampledOut sampledOutCounter

	mu      sync.Mutex
	pending []byte
	dropped int
	closed  bool
	// buffered and written count the bytes of lines since the start. flushed is closed, and replaced,
	// after each write to the output. stalled is set if one did not end in time.
	buffered, written uint64
	flushed           chan struct{}
	stalled           bool
	flushNow          chan struct{}
	done              chan struct{}
}

// NewWriter returns a writer to out and starts its goroutine, which runs until Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{
		out: out, sampledOut: sampledOutCounter{counts: map[string]int{}},
		flushed: make(chan struct{}), flushNow: make(chan struct{}, 1), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write buffers one line, or drops it if the buffer is full. It never blocks and never
// fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.pending)+len(line) > maxPending || w.closed {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.buffered += uint64(len(line))
	if len(w.pending) >= flushBytes {
		w.requestFlush()
	}
	return len(line), nil
}

// requestFlush has the goroutine write the buffer now. The caller holds mu; the writer is not closed.
func (w *Writer) requestFlush() {
	select {
	case w.flushNow <- struct{}{}:
	default:
	}
}

// Sync waits until the lines buffered before are written to the output, so that they outlive a kill of
// the process. It fails with *StalledError if the output takes longer than syncTimeout, and at once
// until the output accepts data again.
func (w *Writer) Sync() error {
	timeout := time.NewTimer(syncTimeout)
	defer timeout.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	for wanted := w.buffered; w.written < wanted && !w.closed; {
		if w.stalled {
			return &StalledError{}
		}
		w.requestFlush()
		flushed := w.flushed
		w.mu.Unlock()
		select {
		case <-flushed:
			w.mu.Lock()
		case <-timeout.C:
			w.mu.Lock()
			w.stalled = w.written < wanted
		}
	}
	return nil
}

// StalledError means that the output of a log accepts no data.
type StalledError struct{}

// Error returns a fixed text.
func (e *StalledError) Error() string { return "the log output accepts no data" }

// Close flushes the buffer and stops the goroutine. Later writes are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	again := w.closed
	w.closed = true
	w.mu.Unlock()
	if !again {
		close(w.flushNow)
	}
	<-w.done
}

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushPeriod)
	defer ticker.Stop()
	var spare []byte
	var lastReport time.Time
	for open := true; open; {
		select {
		case <-ticker.C:
		case _, open = <-w.flushNow:
		}
		w.mu.Lock()
		lines, taken := w.pending, w.buffered
		w.pending = spare[:0]
		dropped := w.dropped
		w.dropped = 0
		w.mu.Unlock()
		if now := time.Now(); dropped > 0 || !open || now.Sub(lastReport) >= samplePeriod {
			if left := w.sampledOut.take(); dropped > 0 || left != nil {
				lines = append(lines, dropReportLine(now, dropped, left)...)
			}
			lastReport = now
		}
		if len(lines) > 0 {
			// A write error is ignored: there is no other place to report it.
			_, _ = w.out.Write(lines)
		}
		w.recordWritten(taken)
		spare = lines
	}
}

// recordWritten records that as many bytes of all lines since the start are written.
func (w *Writer) recordWritten(bytes uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.written, w.stalled = bytes, false
	close(w.flushed)
	w.flushed = make(chan struct{})
}
