package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"
)

// output is a reader of logs that can be held up.
type output struct {
	hold chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	<-o.hold
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// Whatever reads the output is stuck. A request that waited for its log line
// would wait with it; lines are dropped instead, and their number is told.
func TestAStuckOutputHoldsNobodyUp(t *testing.T) {
	o := &output{hold: make(chan struct{})}
	w := NewWriter(o)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	for range 3 * maxPending / len(line) {
		n, err := w.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	close(o.hold)
	w.Close()
	assert.Assert(t, strings.Contains(o.String(), "Log lines were dropped."))
	assert.Assert(t, len(o.String()) < 3*maxPending)
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	o := &output{hold: make(chan struct{})}
	close(o.hold)
	w := NewWriter(o)
	log := New(w, zapcore.InfoLevel)
	log.Debug("not written")
	log.Info("one", zap.String("request", "r-1"))
	log.Info("two")
	w.Close()
	lines := strings.Split(strings.TrimSpace(o.String()), "\n")
	assert.Equal(t, len(lines), 2)
	assert.Assert(t, strings.Contains(lines[0], `"request":"r-1"`))
	assert.Assert(t, strings.Contains(lines[1], `"msg":"two"`))
}
