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

// Sampling limits the log volume under load, as zap's sampler does: per event and second,
// the first lines are written and after that one in sampleThereafter. The limit for
// successful requests is lower than the limit for failures and state changes of the
// process, so that the latter are not lost when somebody looks for a cause. At the load of
// the users' sheets an instance has some 30 requests per second and writes every line; at
// ten times that load it writes 200 + (300-200)/50 lines of successful requests.
const (
	samplePeriod     = time.Second
	routineFirst     = 200
	importantFirst   = 1000
	sampleThereafter = 50
)

// sampledOutCounter counts the lines that sampling dropped, by the event's text. It is safe
// for concurrent use.
type sampledOutCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

func (l *sampledOutCounter) countDropped(entry zapcore.Entry, decision zapcore.SamplingDecision) {
	if decision&zapcore.LogDropped == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[entry.Message]++
}

// take returns the counts since the last call and resets them; nil if there are none.
func (l *sampledOutCounter) take() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.counts) == 0 {
		return nil
	}
	taken := l.counts
	l.counts = map[string]int{}
	return taken
}

// splitCore is a zapcore.Core that sends entries of routine events (successful requests) to
// one core and all others to another, so that each has its own sampling limit.
type splitCore struct {
	routine, important zapcore.Core
}

func (s splitCore) coreFor(entry zapcore.Entry) zapcore.Core {
	if entry.Message == events.RequestAnswered.Text {
		return s.routine
	}
	return s.important
}

func (s splitCore) Enabled(level zapcore.Level) bool { return s.important.Enabled(level) }

func (s splitCore) With(fields []zapcore.Field) zapcore.Core {
	return splitCore{routine: s.routine.With(fields), important: s.important.With(fields)}
}

func (s splitCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	return s.coreFor(entry).Check(entry, checked)
}

func (s splitCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	return s.coreFor(entry).Write(entry, fields)
}

// Sync waits until the lines of both cores, which share a writer, are written.
func (s splitCore) Sync() error { return s.important.Sync() }

// syncedCore is a zapcore.Core that returns from a line at warning level or above once that is written,
// so that the line outlives a kill of the process. Lines below share a budget of bytes.
type syncedCore struct {
	zapcore.Core
	budgeted zapcore.Core
}

func (s syncedCore) With(fields []zapcore.Field) zapcore.Core {
	return syncedCore{Core: s.Core.With(fields), budgeted: s.budgeted.With(fields)}
}

func (s syncedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if s.Enabled(entry.Level) {
		return checked.AddCore(entry, s)
	}
	return checked
}

func (s syncedCore) Write(entry zapcore.Entry, fields []zapcore.Field) error {
	fields = truncateFields(entry.Level, fields)
	if entry.Level < zapcore.WarnLevel {
		return s.budgeted.Write(entry, fields)
	}
	if err := s.Core.Write(entry, fields); err != nil {
		return err
	}
	// A stalled output is reported in the log once it accepts data again, if lines were lost.
	_ = s.Sync()
	return nil
}

// New returns a logger that writes one JSON object per line. The fields are added to every
// line.
func New(w *Writer, level zapcore.Level, fields ...zap.Field) *zap.Logger {
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.StringDurationEncoder
	core := syncedCore{
		Core:     zapcore.NewCore(zapcore.NewJSONEncoder(config), w, level),
		budgeted: zapcore.NewCore(zapcore.NewJSONEncoder(config), &budgetedWriter{Writer: w, now: time.Now}, level),
	}
	sampled := func(first int) zapcore.Core {
		return zapcore.NewSamplerWithOptions(core, samplePeriod, first, sampleThereafter, zapcore.SamplerHook(w.sampledOut.countDropped))
	}
	return zap.New(splitCore{routine: sampled(routineFirst), important: sampled(importantFirst)}).With(fields...)
}

// dropReportLine returns the log line that reports dropped lines: how many were dropped
// because the output stalled, and how many sampling dropped of each event.
func dropReportLine(now time.Time, stuck int, left map[string]int) string {
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
