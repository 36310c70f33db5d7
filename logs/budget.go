package logs

import (
	"sync"
	"time"
)

// The budget of bytes for lines below warning level: what clients make an instance log must not fill a disk or use up
// its processor.
const (
	budgetBytesPerSecond = 512 << 10
	budgetBurstBytes     = 1 << 20
)

// budgetedWriter is a Writer with a token bucket of bytes. It drops and counts the lines beyond that.
type budgetedWriter struct {
	*Writer
	now func() time.Time

	mu       sync.Mutex
	used     float64
	filledAt time.Time
}

// Write buffers one line, or drops it if the budget is used up.
func (b *budgetedWriter) Write(line []byte) (int, error) {
	if b.take(len(line)) {
		return b.Writer.Write(line)
	}
	b.Writer.mu.Lock()
	defer b.Writer.mu.Unlock()
	b.Writer.dropped++
	return len(line), nil
}

// take takes bytes from the bucket and reports whether there were enough.
func (b *budgetedWriter) take(bytes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	b.used = max(0, b.used-budgetBytesPerSecond*now.Sub(b.filledAt).Seconds())
	b.filledAt = now
	if b.used+float64(bytes) > budgetBurstBytes {
		return false
	}
	b.used += float64(bytes)
	return true
}
