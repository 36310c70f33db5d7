// Package feed polls endpoints for their load reports, by a stream where the endpoint has
// one, and long-polls engines for their cache events. It passes both to the router as
// inputs. It contains the goroutines and timers around engine.ReportReader and makes no
// placement decisions.
package feed

import (
	"context"
	"errors"
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

// jitter is the random part of each wait. Without it instances that started together
// would poll every endpoint at the same moment for ever.
const jitter = 0.3

// Options are shared by the pollers of all endpoints.
type Options struct {
	// Reporter reads the reports of endpoints.
	Reporter engine.ReportReader
	// Deliver receives the inputs. Many goroutines call it.
	Deliver func(router.Input)
	// DeliverBatch, if set, receives the cache changes instead of Deliver, one response
	// at a time. Load reports are not read then.
	DeliverBatch func(CacheBatch)
	// OnUnresponsive is called with true when an endpoint stops responding and with false
	// when it responds again; nil means no callback.
	OnUnresponsive func(id tables.EndpointID, unresponsive bool)
	// OnPushback is called when an endpoint rejects a request and requests a back-off, and
	// OnDraining when it announces that it is about to stop; nil means no callback.
	OnPushback func(id tables.EndpointID, retryAfter time.Duration)
	OnDraining func(id tables.EndpointID)
	// PausedFor returns the remaining back-off that an endpoint has requested in other
	// responses; nil means none.
	PausedFor func(id tables.EndpointID) time.Duration
	// ShouldPoll selects the endpoints that this instance polls; nil means all. With many
	// instances and endpoints each instance polls its share only.
	ShouldPoll func(id tables.EndpointID) bool
	// LoadInterval is the time between two load reports. LongPollTimeout is how long an
	// endpoint may delay the response to a request for cache events while there are none.
	// MinEventInterval is the least time between two such requests, so that the events of
	// a busy cache are read in batches.
	LoadInterval     time.Duration
	LongPollTimeout  time.Duration
	MinEventInterval time.Duration
	// MaxBackoff limits the exponential backoff after failed requests.
	MaxBackoff time.Duration
	// FailureThreshold is the number of consecutive failed load reports after which an
	// endpoint counts as unresponsive.
	FailureThreshold int
	// Sleep waits, or returns early with the context's error; nil means real time. Random
	// returns numbers in [0, 1); nil means math/rand.
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
	if o.OnPushback == nil {
		o.OnPushback = func(tables.EndpointID, time.Duration) {}
	}
	if o.OnDraining == nil {
		o.OnDraining = func(tables.EndpointID) {}
	}
	if o.PausedFor == nil {
		o.PausedFor = func(tables.EndpointID) time.Duration { return 0 }
	}
	return o
}

// CacheBatch holds the cache changes of an endpoint from one response.
type CacheBatch struct {
	Endpoint tables.EndpointID
	Boot     tables.BootID
	// FirstOfBoot is set for the first response after a change of the boot identity.
	FirstOfBoot bool
	Changes     []engine.CacheChange
}

// poller polls one endpoint.
type poller struct {
	Options
	id tables.EndpointID
	at netip.AddrPort
}

// backoff returns the wait after a number of consecutive failures. It doubles with each
// of them up to MaxBackoff, so that the instances do not poll an endpoint that is down or
// overloaded at the full rate.
func (p *poller) backoff(base time.Duration, failures int) time.Duration {
	wait := base
	for i := 1; i < failures && wait < p.MaxBackoff; i++ {
		wait *= 2
	}
	return p.withJitter(min(wait, p.MaxBackoff))
}

// withJitter randomizes a wait by up to half of jitter in both directions.
func (p *poller) withJitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitter/2 + jitter*p.Random()))
}

func (p *poller) endpointField() zap.Field { return zap.String("endpoint", string(p.id)) }

// recordFailure reports the endpoint as unresponsive when its consecutive failures reach
// FailureThreshold.
func (p *poller) recordFailure(failures int, err error) {
	if failures == p.FailureThreshold {
		events.EndpointSilent.Log(p.Log, p.endpointField(), zap.Error(err))
		p.OnUnresponsive(p.id, true)
	}
}

// recordSuccess reports that the endpoint responds again, if it was reported as
// unresponsive. It takes the number of failures before the success.
func (p *poller) recordSuccess(failures int) {
	if failures >= p.FailureThreshold {
		events.EndpointAnswers.Log(p.Log, p.endpointField())
		p.OnUnresponsive(p.id, false)
	}
}

// loadReport converts a report to an input of the router. Negative numbers count as zero.
func (p *poller) loadReport(load engine.Load) router.LoadReport {
	return router.LoadReport{
		Endpoint:            p.id,
		Boot:                load.Boot,
		Weights:             load.Weights,
		Running:             max(load.Running, 0),
		Queued:              max(load.Queued, 0),
		QueuedPrefillTokens: max(load.QueuedTokens, 0),
		CacheBlocks:         max(load.CacheBlocks, 0),
		Attempts:            load.Attempts,
	}
}

// pollCacheChanges delivers cache changes until the context ends.
func (p *poller) pollCacheChanges(ctx context.Context) {
	var boot tables.BootID
	var after uint64
	failures := 0
	wait := p.withJitter(p.MinEventInterval)
	for p.Sleep(ctx, wait) == nil {
		if pause := p.PausedFor(p.id); pause > 0 {
			wait = p.withJitter(p.MinEventInterval) + pause
			continue
		}
		changes, err := p.Reporter.CacheChanges(ctx, p.at, boot, after, p.LongPollTimeout)
		if err != nil || changes.Boot == "" {
			failures++
			wait = max(p.backoff(p.LoadInterval, failures), p.pushback(err))
			continue
		}
		failures = 0
		if changes.Draining {
			p.OnDraining(p.id)
		}
		first := changes.Boot != boot
		if first {
			boot, after = changes.Boot, 0
		}
		if p.DeliverBatch != nil {
			after = p.deliverBatch(CacheBatch{Endpoint: p.id, Boot: boot, FirstOfBoot: first}, after, changes.Changes)
		} else {
			after = p.deliverChanges(boot, after, changes.Changes)
		}
		wait = p.withJitter(p.MinEventInterval)
	}
}

// pushback returns the back-off that an endpoint requests by rejecting a request; 0 for
// none.
func (p *poller) pushback(err error) time.Duration {
	var pushback *engine.PushbackError
	if !errors.As(err, &pushback) {
		return 0
	}
	p.OnPushback(p.id, pushback.RetryAfter)
	return pushback.RetryAfter
}

// deliverBatch delivers the new changes of a response and returns the last sequence
// number.
func (p *poller) deliverBatch(b CacheBatch, after uint64, changes []engine.CacheChange) uint64 {
	for _, change := range changes {
		if change.Sequence > after || b.FirstOfBoot {
			after = max(after, change.Sequence)
			b.Changes = append(b.Changes, change)
		}
	}
	if b.FirstOfBoot || len(b.Changes) > 0 {
		p.DeliverBatch(b)
	}
	return after
}

// deliverChanges delivers the new changes of a response in order and returns the last
// sequence number. It only logs a gap: the router detects it by the sequence numbers and
// handles it.
func (p *poller) deliverChanges(boot tables.BootID, after uint64, changes []engine.CacheChange) uint64 {
	for _, change := range changes {
		if change.Sequence <= after {
			continue
		}
		if change.Sequence > after+1 {
			events.CacheEventGap.Log(p.Log, p.endpointField(), zap.Uint64("after", after), zap.Uint64("sequence", change.Sequence))
		}
		after = change.Sequence
		p.Deliver(router.CacheEvent{
			Endpoint: p.id,
			Boot:     boot,
			Sequence: change.Sequence,
			Stored:   change.Stored,
			Evicted:  change.Evicted,
		})
	}
	return after
}
