package forward

import (
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/dialect"
	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/tables"
)

// recordLoad records the load that a response header names, with the load balancer and the
// scheduler.
func (a *attempt) recordLoad(header http.Header) {
	s := a.request.server
	text := header.Get(s.headers.Load)
	load, ok := dialect.ParseLoad(text)
	if !ok {
		return
	}
	s.recordEndpointLoad(a.placement, load)
	a.assignment.NotifyLoad(load)
	if load.SlowdownUnusable {
		a.reportUnusableSlowdown(text)
	}
}

func (s *Server) recordEndpointLoad(placement *dispatch.Attempt, load dialect.EndpointLoad) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch.RecordEndpointLoad(s.options.Now(), placement, load)
}

// AttemptSlowdownReported records the slowdown that an endpoint named in its response to an attempt
// of another instance. It implements schedule.Placer.
func (s *Server) AttemptSlowdownReported(a *dispatch.Attempt, percent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatch.RecordSlowdown(s.options.Now(), a, percent)
}

// unusableSlowdownInterval is the minimum time between two log lines about unusable slowdowns.
// A faulty endpoint sends them in each response.
const unusableSlowdownInterval = time.Second

// reportUnusableSlowdown counts and logs a load header whose slowdown cannot be used.
func (a *attempt) reportUnusableSlowdown(value string) {
	s := a.request.server
	s.metrics.countUnusableSlowdown(a.placement.Endpoint.Service)
	if s.unusableSlowdowns.allow(s.options.Now(), unusableSlowdownInterval) {
		events.SlowdownUnusable.Log(s.log, append(a.announcementFields(), zap.String("value", value[:min(len(value), maxLoggedValueBytes)]))...)
	}
}

// logLimiter limits the rate of log lines of one kind. The zero value is ready to use; it is
// safe for concurrent use.
type logLimiter struct {
	// next is when the next line may be written, in nanoseconds of the monotonic clock.
	next atomic.Int64
}

// allow reports whether a line may be written now, and if so allows no other one for the
// interval.
func (l *logLimiter) allow(now tables.Instant, interval time.Duration) bool {
	next := l.next.Load()
	return int64(now) >= next && l.next.CompareAndSwap(next, int64(now+interval))
}

// countUnusableSlowdown counts a slowdown that cannot be used.
func (m *requestMetrics) countUnusableSlowdown(service string) {
	if m == nil {
		return
	}
	m.registry.Counter("carawaystile_endpoint_slowdown_unusable_total", "Responses whose load header names a slowdown that cannot be used.",
		metrics.Label{Name: "service", Value: service}).Inc(1)
}

// registerSlowdownGauge registers the gauge of endpoints that are slowed down. Each scrape
// updates it.
func (s *Server) registerSlowdownGauge(registry *metrics.Registry) {
	slowed := registry.Gauge("carawaystile_endpoints_slowed", "Endpoints whose machine takes over 1.5 times as long as usual, by a response of the last 0.6 s.")
	registry.BeforeWrite(func() {
		s.mu.Lock()
		count := s.dispatch.CountSlowed(s.options.Now())
		s.mu.Unlock()
		slowed.Update(float64(count))
	})
}
