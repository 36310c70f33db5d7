package logs

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/carawaystile/carawaystile/events"
)

// Sampling bounds the volume under load. Of lines of one event the first ones of
// each second are written, and then one in some. What tells of good answers is
// bounded more tightly than what tells of failures and of changes in what the
// process believes, so that the latter are still there when somebody looks for a
// cause. At the users' sheets an instance has some 30 requests a second and
// writes every line; at ten times that it writes 200 + (300-200)/50 lines of
// answers.
const (
	samplePeriod = time.Second
	routineFirst = 200
	keptFirst    = 1000
	sampleThen   = 50
)

// leftOut counts lines that were not written, by the event's text. It is safe
// for concurrent use.
type leftOut struct {
	mu     sync.Mutex
	counts map[string]int
}

func (l *leftOut) note(entry zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[entry.Message]++
}

// take returns the counts since the last call; nil for none.
func (l *leftOut) take() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.counts) == 0 {
		return nil
	}
	taken := l.counts
	l.counts = map[string]int{}
	return taken
}

// split sends entries of routine events to one core and all others to another.
type split struct {
	routine, kept zapcore.Core
}

func (s split) of(entry zapcore.Entry) zapcore.Core {
	if entry.Message == events.RequestAnswered.Text {
		return s.routine
	}
	return s.kept
}

func (s split) Enabled(level zapcore.Level) bool { return s.kept.Enabled(level) }

func (s split) With(fields []zapcore.Field) zapcore.Core {
	return split{routine: s.routine.With(fields), kept: s.kept.With(fields)}
}

func (s split) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	return s.of(entry).Check(entry, checked)
}

func (s split) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return s.of(entry).Write(entry, fields)
}

func (s split) Sync() error { return nil }

// New returns a logger of one JSON object a line. The fields are on each line.
func New(w *Writer, level zapcore.Level, fields ...zap.Field) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	core := zapcore.NewCore(zapcore.NewJSONEncoder(config), w, level)
	sampled := func(first int) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, samplePeriod, first, sampleThen, zapcore.SamplerHook(w.left.note))
	}
	return zap.New(split{routine: sampled(routineFirst), kept: sampled(keptFirst)}).With(fields...)
}

// missingLine says how many lines are missing: those that the output did not
// take, and by event those that were left out.
func missingLine(now time.Time, stuck int, left map[string]int) string {
	var b strings.Builder
	b.WriteString(`{"level":"warn","ts":"` + now.Format(time.RFC3339Nano) + `","msg":"` + events.LogLinesDropped.Text + `"`)
	b.WriteString(`,"lines":` + strconv.Itoa(stuck) + `,"sampled":{`)
	for i, text := range slices.Sorted(maps.Keys(left)) {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Quote(text) + ":" + strconv.Itoa(left[text]))
	}
	b.WriteString(`},"event":` + strconv.Itoa(int(events.LogLinesDropped.Number)) + "}\n")
	return b.String()
}
