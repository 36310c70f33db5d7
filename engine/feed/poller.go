// Package feed reads what endpoints say of themselves, their load reports and
// cache events, and hands it on as inputs of the router. It is the shell around
// engine.Reporter: it has goroutines and waits, and decides nothing.
package feed

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/internal/defaults"
	"github.com/carawaystile/carawaystile/internal/wait"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

// The defaults of Options.
const (
	DefaultLoadInterval     = 250 * time.Millisecond
	DefaultLongPollTimeout  = 2 * time.Second
	DefaultMinEventInterval = 20 * time.Millisecond
	DefaultMaxBackoff       = 5 * time.Second
	DefaultFailureThreshold = 3
)

// jitter is the part of each wait that is random. Without it instances that
// started together would ask every endpoint at the same moment for good.
const jitter = 0.3

// Options are shared by the feeds of all endpoints.
type Options struct {
	Reporter engine.ReportReader
	// Deliver takes the inputs. It is called by many goroutines.
	Deliver func(router.Input)
	// DeliverBatch takes the changes of caches instead of Deliver, an answer at a time,
	// where it is set; load reports are not read then.
	DeliverBatch func(CacheBatch)
	// OnUnresponsive is told when an endpoint stops answering and when it answers
	// again; nil means nobody.
	OnUnresponsive func(id tables.EndpointID, silent bool)
	// ShouldPoll chooses the endpoints that this instance reads; nil means all.
	// At many instances and endpoints each instance reads its share only.
	ShouldPoll func(id tables.EndpointID) bool
	// LoadInterval is the time between two load reports, EventWait how long an
	// endpoint may hold back the question for cache events, EventPause the
	// least time between two such questions, so that a busy cache is read in
	// batches.
	LoadInterval     time.Duration
	LongPollTimeout  time.Duration
	MinEventInterval time.Duration
	// MaxBackoff bounds the waits between questions that fail.
	MaxBackoff time.Duration
	// FailureThreshold is the number of load reports in a row that must fail.
	FailureThreshold int
	// Sleep waits, or returns early with the context's error; nil means real
	// time. Random gives numbers in [0, 1); nil means math/rand.
	Sleep  func(ctx context.Context, d time.Duration) error
	Random func() float64
	Log    *zap.Logger
}

func (o Options) withDefaults() Options {
	defaults.Set(&o.LoadInterval, DefaultLoadInterval)
	defaults.Set(&o.LongPollTimeout, DefaultLongPollTimeout)
	defaults.Set(&o.MinEventInterval, DefaultMinEventInterval)
	defaults.Set(&o.MaxBackoff, DefaultMaxBackoff)
	defaults.Set(&o.FailureThreshold, DefaultFailureThreshold)
	if o.Sleep == nil {
		o.Sleep = wait.For
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.OnUnresponsive == nil {
		o.OnUnresponsive = func(tables.EndpointID, bool) {}
	}
	return o
}

// CacheBatch is the changes of an endpoint's cache that came with one answer.
type CacheBatch struct {
	Endpoint tables.EndpointID
	Boot     tables.BootID
	// FirstOfBoot is set for the first answer of a boot.
	FirstOfBoot bool
	Changes     []engine.CacheChange
}

// feed reads one endpoint.
type feed struct {
	Options
	id tables.EndpointID
	at netip.AddrPort
}

// backOff is the wait after so many failures in a row. It doubles, so that an
// endpoint that is down or overloaded is not asked at full rate by every
// instance.
func (f *feed) backOff(base time.Duration, failures int) time.Duration {
	wait := base
	for i := 1; i < failures && wait < f.MaxBackoff; i++ {
		wait *= 2
	}
	return f.spread(min(wait, f.MaxBackoff))
}

func (f *feed) spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitter/2 + jitter*f.Random()))
}

func (f *feed) named() zap.Field { return zap.String("endpoint", string(f.id)) }

func (f *feed) noteSilence(failures int, err error) {
	if failures == f.FailureThreshold {
		events.EndpointSilent.Log(f.Log, f.named(), zap.Error(err))
		f.OnUnresponsive(f.id, true)
	}
}

func (f *feed) noteAnswer(failures int) {
	if failures >= f.FailureThreshold {
		events.EndpointAnswers.Log(f.Log, f.named())
		f.OnUnresponsive(f.id, false)
	}
}

func (f *feed) report(load engine.Load) router.LoadReport {
	return router.LoadReport{
		Endpoint:            f.id,
		Boot:                load.Boot,
		Weights:             load.Weights,
		Running:             max(load.Running, 0),
		Queued:              max(load.Queued, 0),
		QueuedPrefillTokens: max(load.QueuedTokens, 0),
		CacheBlocks:         max(load.CacheBlocks, 0),
		Attempts:            load.Attempts,
	}
}

// readChanges delivers cache events until the context ends.
func (f *feed) readChanges(ctx context.Context) {
	var boot tables.BootID
	var after uint64
	failures := 0
	wait := f.spread(f.MinEventInterval)
	for f.Sleep(ctx, wait) == nil {
		changes, err := f.Reporter.CacheChanges(ctx, f.at, boot, after, f.LongPollTimeout)
		if err != nil || changes.Boot == "" {
			failures++
			wait = f.backOff(f.LoadInterval, failures)
			continue
		}
		failures = 0
		first := changes.Boot != boot
		if first {
			boot, after = changes.Boot, 0
		}
		if f.DeliverBatch != nil {
			after = f.deliverBatch(CacheBatch{Endpoint: f.id, Boot: boot, FirstOfBoot: first}, after, changes.Changes)
		} else {
			after = f.deliverChanges(boot, after, changes.Changes)
		}
		wait = f.spread(f.MinEventInterval)
	}
}

// deliverBatch hands on what is new of an answer, and returns the last sequence
// number.
func (f *feed) deliverBatch(b CacheBatch, after uint64, changes []engine.CacheChange) uint64 {
	for _, change := range changes {
		if change.Sequence > after || b.FirstOfBoot {
			after = max(after, change.Sequence)
			b.Changes = append(b.Changes, change)
		}
	}
	if b.FirstOfBoot || len(b.Changes) > 0 {
		f.DeliverBatch(b)
	}
	return after
}

// deliverChanges hands on what is new, in order, and returns the last sequence
// number. A gap is left to the router, which sees the jump itself.
func (f *feed) deliverChanges(boot tables.BootID, after uint64, changes []engine.CacheChange) uint64 {
	for _, change := range changes {
		if change.Sequence <= after {
			continue
		}
		if change.Sequence > after+1 {
			events.CacheEventGap.Log(f.Log, f.named(), zap.Uint64("after", after), zap.Uint64("sequence", change.Sequence))
		}
		after = change.Sequence
		f.Deliver(router.CacheEvent{
			Endpoint: f.id,
			Boot:     boot,
			Sequence: change.Sequence,
			Stored:   change.Stored,
			Evicted:  change.Evicted,
		})
	}
	return after
}
