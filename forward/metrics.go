package forward

import (
	"strconv"
	"time"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/permits"
	"github.com/carawaystile/carawaystile/tables"
	"github.com/carawaystile/carawaystile/usage"
)

// requestMetrics counts requests, attempts and placements, and observes clients' latencies.
// Its methods do nothing on the nil value.
type requestMetrics struct {
	registry *metrics.Registry
	requests *metrics.Requests
}

// newRequestMetrics returns metrics in the given registry, or nil if there is none.
func newRequestMetrics(registry *metrics.Registry) *requestMetrics {
	if registry == nil {
		return nil
	}
	return &requestMetrics{registry: registry, requests: metrics.NewRequests(registry)}
}

// priorityClass returns the request's priority, clamped to the classes that the metrics
// distinguish.
func (c *clientRequest) priorityClass() tables.Priority {
	return tables.Priority(min(max(c.dispatchRequest.Priority, 0), int(tables.PriorityCount)-1))
}

// observeFirstEvent observes the time to a stream's first event.
func (m *requestMetrics) observeFirstEvent(c *clientRequest) {
	if m != nil {
		m.requests.ObserveTTFT(c.organisationID(), "", c.priorityClass(), c.now()-c.arrivedAt)
	}
}

// observeEventGap observes the time between two events of a stream.
func (m *requestMetrics) observeEventGap(c *clientRequest, took time.Duration) {
	if m != nil {
		m.requests.ObserveTimeBetweenTokens(c.organisationID(), c.priorityClass(), took)
	}
}

// countPlacement counts a placement by its rule, and by whether a scheduler or this
// instance made it. While the request has used no attempt, it also observes the queue wait.
func (m *requestMetrics) countPlacement(c *clientRequest, rule dispatch.PlacementRule, by string) {
	if m == nil {
		return
	}
	if c.attemptsUsed == 0 {
		m.requests.ObserveQueueWait(c.organisationID(), c.priorityClass(), c.now()-c.arrivedAt)
	}
	m.registry.Counter("carawaystile_placements_total", "Attempts, by the rule that chose the endpoint, and whether a scheduler or this instance did.",
		metrics.Label{Name: "rule", Value: string(rule)}, metrics.Label{Name: "by", Value: by}).Inc(1)
}

// countAttempt counts the end of an attempt by its outcome.
func (m *requestMetrics) countAttempt(c *clientRequest, result dispatch.Outcome) {
	if m == nil {
		return
	}
	m.registry.Counter("carawaystile_attempts_total", "Attempts at endpoints, by how they ended.",
		metrics.Label{Name: "service", Value: c.service.Name}, metrics.Label{Name: "end", Value: result.String()}).Inc(1)
}

// countRecomputed counts the tokens of shared parts that the endpoint of an ended attempt
// computed.
func (m *requestMetrics) countRecomputed(c *clientRequest, placement *dispatch.Attempt) {
	if m == nil {
		return
	}
	for _, one := range placement.Recomputed().ByReason {
		m.registry.Counter("carawaystile_shared_tokens_computed_total", "Tokens in shared parts of prompts that endpoints computed, by priority class and by why: first, or why again.",
			metrics.Label{Name: "class", Value: metrics.PriorityName(c.priorityClass())}, metrics.Label{Name: "reason", Value: string(one.Reason)}).Inc(int64(one.Tokens))
	}
}

// countRetry counts a retry.
func (m *requestMetrics) countRetry(c *clientRequest) {
	if m == nil {
		return
	}
	m.registry.Counter("carawaystile_repeats_total", "Requests that went to a further endpoint.",
		metrics.Label{Name: "service", Value: c.service.Name}).Inc(1)
}

// observeAnswered observes the duration of a request whose client received an endpoint's
// response.
func (m *requestMetrics) observeAnswered(c *clientRequest, status int) {
	if m == nil {
		return
	}
	kind := metrics.Label{Name: "kind", Value: c.route.Kind.String()}
	m.registry.Histogram("carawaystile_forwarded_seconds",
		"Time from arrival to the end of an endpoint's answer.", metrics.SecondsBounds, kind,
		metrics.Label{Name: "status", Value: strconv.Itoa(status)}).Update((c.now() - c.arrivedAt).Microseconds())
}

// countFailed counts a request that ended without a complete response of an endpoint.
func (m *requestMetrics) countFailed(c *clientRequest, code tables.ErrorCode, result tables.Outcome) {
	if m != nil {
		m.requests.CountFailure(c.organisationID(), code, result)
	}
}

// countUsageDecision counts a decision of the rate limiter about an organisation's request.
func (m *requestMetrics) countUsageDecision(c *clientRequest) {
	if m == nil {
		return
	}
	decision := "admitted"
	if !c.reservation.decision.Admitted {
		decision = "refused"
	}
	m.registry.Counter("carawaystile_usage_decisions_total", "Requests of organisations with a rate limit, by what was decided and what the decision rested on.",
		metrics.Label{Name: "organisation", Value: string(c.reservation.organisation)}, metrics.Label{Name: "decision", Value: decision},
		metrics.Label{Name: "by", Value: string(c.reservation.decision.Basis)}).Inc(1)
}

// registerGauges registers gauges of the instance's state: the age and number of its
// configuration, its readiness and the corrections of its directory of cached parts. Each
// scrape updates them.
func (s *Server) registerGauges(registry *metrics.Registry) {
	if registry == nil {
		return
	}
	s.registerSlowdownGauge(registry)
	staleness := registry.Gauge("carawaystile_control_heard_seconds", "Time since a control instance last answered this instance.")
	revision := registry.Gauge("carawaystile_configuration_number", "Number of the configuration in force on this instance.")
	ready := registry.Gauge("carawaystile_ready", "1 if the balancer may send callers here.")
	added := registry.Gauge("carawaystile_cache_parts_found", "Parts of prompts that engines were found to keep though no request was known to have brought them, since the start.")
	evicted := registry.Gauge("carawaystile_cache_parts_gone", "Parts of prompts that were believed to be kept and were not, since the start.")
	unreachable := registry.Gauge("carawaystile_endpoints_unreachable", "Endpoints that accept no connections from this instance.")
	reportedAbsent := registry.Gauge("carawaystile_endpoints_reported_absent", "Endpoints that are left out because another instance reported them as gone.")
	quarantined := registry.Gauge("carawaystile_quarantined_parts", "Parts of prompts that are convicted of crashing endpoints.")
	brittle := registry.Gauge("carawaystile_endpoints_brittle", "Endpoints that announce that they fail if they reject many requests.")
	registry.BeforeWrite(func() {
		s.mu.Lock()
		brittleCount := s.dispatch.CountBrittle()
		convictions := s.crashDetector.Convictions(s.options.Now())
		corrections := s.dispatch.CacheCorrections()
		unavailable := s.dispatch.CountUnavailable(s.options.Now())
		s.mu.Unlock()
		brittle.Update(float64(brittleCount))
		quarantined.Update(float64(len(convictions)))
		unreachable.Update(float64(unavailable.Unreachable))
		reportedAbsent.Update(float64(unavailable.ReportedAbsent))
		added.Update(float64(corrections.Added))
		evicted.Update(float64(corrections.Evicted))
		staleness.Update(s.controlStaleness().Seconds())
		if table := s.Configuration(); table != nil {
			revision.Update(float64(table.Revision))
		}
		ready.Update(0)
		if s.Ready() {
			ready.Update(1)
		}
	})
}

// organisationID returns the ID of the client's organisation; empty if it has none.
func (c *clientRequest) organisationID() tables.OrganisationID {
	if c.org == nil {
		return ""
	}
	return c.org.ID
}

// countLimitDecision counts a decision of the rate limiter about an attempt at a
// rate-limited endpoint.
func (m *requestMetrics) countLimitDecision(c *clientRequest, decision usage.Decision) {
	if m == nil {
		return
	}
	label := "admitted"
	if !decision.Admitted {
		label = "refused"
	}
	m.registry.Counter("carawaystile_endpoint_limit_decisions_total", "Attempts at endpoints that name a rate limit, by what was decided and what the decision rested on.",
		metrics.Label{Name: "service", Value: c.service.Name}, metrics.Label{Name: "decision", Value: label},
		metrics.Label{Name: "by", Value: string(decision.Basis)}).Inc(1)
}

// countPermit counts the verdict on a permit for an attempt at a brittle endpoint.
func (m *requestMetrics) countPermit(service string, verdict permits.Verdict) {
	if m == nil {
		return
	}
	m.registry.Counter("carawaystile_endpoint_permits_total", "Attempts at endpoints that fail if they reject many requests, by whether they got a permit.",
		metrics.Label{Name: "service", Value: service}, metrics.Label{Name: "decision", Value: verdict.String()}).Inc(1)
}

// countAnnouncement counts what an endpoint of a service announced in a response.
func (m *requestMetrics) countAnnouncement(service, kind string) {
	if m == nil {
		return
	}
	m.registry.Counter("carawaystile_endpoint_announcements_total", "Responses in which endpoints requested a back-off, announced that they are draining or whether they are brittle, or had an unusable header.",
		metrics.Label{Name: "service", Value: service}, metrics.Label{Name: "kind", Value: kind}).Inc(1)
}

// countTooLarge counts an attempt whose endpoint sent more than the limit for a part of its response.
func (m *requestMetrics) countTooLarge(c *clientRequest, what string) {
	if m == nil {
		return
	}
	m.registry.Counter("carawaystile_responses_too_large_total", "Attempts that were ended because the endpoint sent more than the limit for a part of its response, by part.",
		metrics.Label{Name: "service", Value: c.service.Name}, metrics.Label{Name: "what", Value: what}).Inc(1)
}

// countBackup counts an attempt whose run is backed up.
func (m *requestMetrics) countBackup(c *clientRequest, placement *dispatch.Attempt) {
	if m == nil || !placement.HasBackup() {
		return
	}
	m.registry.Counter("carawaystile_stream_backups_total", "Attempts at streams that may not be resumed whose run another engine backs up.",
		metrics.Label{Name: "service", Value: c.service.Name}).Inc(1)
}

// countContinuation counts a broken stream with a backup by what became of its continuation.
func (m *requestMetrics) countContinuation(c *clientRequest, outcome string) {
	if m == nil {
		return
	}
	m.registry.Counter("carawaystile_stream_continuations_total", "Broken streams with a backup, by how their continuation ended or why there was none.",
		metrics.Label{Name: "service", Value: c.service.Name}, metrics.Label{Name: "outcome", Value: outcome}).Inc(1)
}
