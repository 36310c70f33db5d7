package logs

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/events"
)

// blockableOutput is a log output whose writes block until hold is closed.
type blockableOutput struct {
	hold chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *blockableOutput) Write(p []byte) (int, error) {
	<-o.hold
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *blockableOutput) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// Guards against requests that block on logging because the process that reads the output
// has stalled: lines must be dropped and their number reported.
func TestStalledOutputDropsLines(t *testing.T) {
	o := &blockableOutput{hold: make(chan struct{})}
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
	o := &blockableOutput{hold: make(chan struct{})}
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

// Guards against a flood of successful requests that displaces the lines that explain a
// failure. The log must also report what sampling dropped.
func TestSamplingKeepsFailures(t *testing.T) {
	o := &blockableOutput{hold: make(chan struct{})}
	close(o.hold)
	w := NewWriter(o)
	log := New(w, zapcore.InfoLevel, zap.String("instance", "edge-1"))
	const answers, failures = 900, 300
	for range answers {
		events.RequestAnswered.Log(log)
	}
	for range failures {
		events.RequestFailed.Log(log)
	}
	w.Close()
	assert.Equal(t, strings.Count(o.String(), events.RequestFailed.Text), failures)
	written := strings.Count(o.String(), `"msg":"`+events.RequestAnswered.Text)
	// The flood may span two sampling periods, each with its own first lines.
	assert.Assert(t, written >= routineFirst && written < answers, "%d", written)
	assert.Assert(t, strings.Contains(o.String(), `"`+events.RequestAnswered.Text+`":`))
	assert.Assert(t, strings.Contains(o.String(), `"instance":"edge-1"`))
}

// BenchmarkLine measures the cost of a written line and of a line that sampling drops,
// compared with a no-op logger.
func BenchmarkLine(b *testing.B) {
	o := &blockableOutput{hold: make(chan struct{})}
	close(o.hold)
	fields := []zap.Field{
		zap.String("request", "9c41d07be2a35f68"), zap.Duration("took", 12345678), zap.Int("sends", 1),
		zap.String("route", "r-7eya6u6"), zap.Uint64("revision", 7), zap.String("organisation", "sese880"),
	}
	for _, c := range []struct {
		name string
		log  func(*Writer) *zap.Logger
	}{
		{"nothing", func(*Writer) *zap.Logger { return zap.NewNop() }},
		{"left out", func(w *Writer) *zap.Logger { return New(w, zapcore.InfoLevel) }},
		{"written", func(w *Writer) *zap.Logger {
			return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), w, zapcore.InfoLevel))
		}},
	} {
		b.Run(c.name, func(b *testing.B) {
			w := NewWriter(o)
			defer w.Close()
			log := c.log(w)
			for b.Loop() {
				events.RequestAnswered.Log(log, fields...)
			}
		})
	}
}

// Guards against a kill of the process that takes the lines that explain it with it.
func TestLinesOutliveAKill(t *testing.T) {
	o := &blockableOutput{hold: make(chan struct{})}
	close(o.hold)
	w := NewWriter(o)
	defer w.Close()
	log := New(w, zapcore.InfoLevel)
	for range 100 {
		log.Info("one")
		log.Warn("two")
		assert.Assert(t, strings.Count(o.String(), "one") == strings.Count(o.String(), "two"), o.String())
		log.Info("three")
		assert.NilError(t, log.Sync())
		assert.Assert(t, strings.HasSuffix(o.String(), "\"msg\":\"three\"}\n"), o.String())
	}
}

// Guards against requests that wait for a log whose output has stalled.
func TestStalledOutputHoldsUpOneLine(t *testing.T) {
	o := &blockableOutput{hold: make(chan struct{})}
	w := NewWriter(o)
	log := New(w, zapcore.InfoLevel)
	var stalled *StalledError
	log.Warn("first")
	for range 1000 {
		assert.Assert(t, errors.As(log.Sync(), &stalled))
	}
	close(o.hold)
	w.Close()
	assert.Assert(t, strings.Contains(o.String(), "first"))
	assert.NilError(t, log.Sync())
}
