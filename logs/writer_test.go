package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/events"
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

// A flood of good answers must not push out what explains a failure, and the log
// has to say what it leaves out.
func TestFailuresAreKeptWhenAnswersAreLeftOut(t *testing.T) {
	o := &output{hold: make(chan struct{})}
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
	// A second may end in the middle of the flood: then the first ones of two.
	assert.Assert(t, written >= routineFirst && written < answers, "%d", written)
	assert.Assert(t, strings.Contains(o.String(), `"`+events.RequestAnswered.Text+`":`))
	assert.Assert(t, strings.Contains(o.String(), `"instance":"edge-1"`))
}

// BenchmarkLine gives the cost of a line that is written, and of one that is
// left out, beside a log that takes nothing.
func BenchmarkLine(b *testing.B) {
	o := &output{hold: make(chan struct{})}
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
