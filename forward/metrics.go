package forward

import (
	"strconv"
	"time"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/tables"
	"github.com/carawaystile/carawaystile/usage"
)

// measurements counts requests, attempts and placements, and measures the times
// that callers wait. The nil value measures nothing.
type measurements struct {
	registry *metrics.Registry
	requests *metrics.Requests
}

func newMeasurements(registry *metrics.Registry) *measurements {
	if registry == nil {
		return nil
	}
	return &measurements{registry: registry, requests: metrics.NewRequests(registry)}
}

// class is a request's rank among the classes that are measured.
func (j *job) class() tables.Priority {
	return tables.Priority(min(max(j.ask.Priority, 0), int(tables.PriorityCount)-1))
}

// first takes the time to a stream's first event.
func (m *measurements) first(j *job) {
	if m != nil {
		m.requests.ObserveTTFT(j.organisation(), "", j.class(), j.now()-j.arrived)
	}
}

// gap takes the time between two events of a stream.
func (m *measurements) gap(j *job, took time.Duration) {
	if m != nil {
		m.requests.ObserveTokenGap(j.organisation(), j.class(), took)
	}
}

// placed takes the time until a request was first placed, and by whom and by which
// rule an endpoint was chosen.
func (m *measurements) placed(j *job, rule dispatch.PlacementRule, scheduled bool) {
	if m == nil {
		return
	}
	if j.sends == 0 {
		m.requests.ObserveQueueWait(j.organisation(), j.class(), j.now()-j.arrived)
	}
	by := "instance"
	if scheduled {
		by = "scheduler"
	}
	m.registry.Counter("carawaystile_placements_total", "Attempts, by the rule that chose the endpoint, and whether a scheduler or this instance did.",
		metrics.Label{Name: "rule", Value: string(rule)}, metrics.Label{Name: "by", Value: by}).Inc(1)
}

// attempted takes the end of an attempt.
func (m *measurements) attempted(j *job, how dispatch.Outcome) {
	if m == nil {
		return
	}
	m.registry.Counter("carawaystile_attempts_total", "Attempts at endpoints, by how they ended.",
		metrics.Label{Name: "service", Value: j.service.Name}, metrics.Label{Name: "end", Value: how.String()}).Inc(1)
}

// repeated takes a request that goes to a further endpoint.
func (m *measurements) repeated(j *job) {
	if m == nil {
		return
	}
	m.registry.Counter("carawaystile_repeats_total", "Requests that went to a further endpoint.",
		metrics.Label{Name: "service", Value: j.service.Name}).Inc(1)
}

// answered takes a request that got an endpoint's answer.
func (m *measurements) answered(j *job, status int) {
	if m == nil {
		return
	}
	kind := metrics.Label{Name: "kind", Value: j.route.Kind.String()}
	m.registry.Histogram("carawaystile_forwarded_seconds",
		"Time from arrival to the end of an endpoint's answer.", metrics.Seconds, kind,
		metrics.Label{Name: "status", Value: strconv.Itoa(status)}).Update((j.now() - j.arrived).Microseconds())
}

// failed takes a request that got none.
func (m *measurements) failed(j *job, code tables.ErrorCode, result tables.Outcome) {
	if m != nil {
		m.requests.CountRefused(j.organisation(), code, result)
	}
}

// usageDecided takes a decision about an organisation's usage.
func (m *measurements) usageDecided(j *job) {
	if m == nil {
		return
	}
	outcome := "admitted"
	if !j.charge.decision.Admitted {
		outcome = "refused"
	}
	m.registry.Counter("carawaystile_usage_decisions_total", "Requests of organisations with a rate limit, by what was decided and what the decision rested on.",
		metrics.Label{Name: "organisation", Value: string(j.charge.id)}, metrics.Label{Name: "decision", Value: outcome},
		metrics.Label{Name: "by", Value: string(j.charge.decision.Basis)}).Inc(1)
}

// ages publishes how old what this instance believes is, whenever somebody reads
// the measurements.
func (s *Server) ages(registry *metrics.Registry) {
	if registry == nil {
		return
	}
	heard := registry.Gauge("carawaystile_control_heard_seconds", "Time since a control instance last answered this instance.")
	number := registry.Gauge("carawaystile_configuration_number", "Number of the configuration in force on this instance.")
	ready := registry.Gauge("carawaystile_ready", "1 if the balancer may send callers here.")
	added := registry.Gauge("carawaystile_cache_parts_found", "Parts of prompts that engines were found to keep though no request was known to have brought them, since the start.")
	dropped := registry.Gauge("carawaystile_cache_parts_gone", "Parts of prompts that were believed to be kept and were not, since the start.")
	registry.BeforeWrite(func() {
		s.mu.Lock()
		corrected := s.dispatch.CacheCorrections()
		s.mu.Unlock()
		added.Update(float64(corrected.Added))
		dropped.Update(float64(corrected.Evicted))
		heard.Update(s.sinceControl().Seconds())
		if table := s.Configuration(); table != nil {
			number.Update(float64(table.Revision))
		}
		ready.Update(0)
		if s.Ready() {
			ready.Update(1)
		}
	})
}

func (j *job) organisation() tables.OrganisationID {
	if j.org == nil {
		return ""
	}
	return j.org.ID
}

// limitDecided takes a decision about an attempt at an endpoint that names a rate limit.
func (m *measurements) limitDecided(j *job, decision usage.Decision) {
	if m == nil {
		return
	}
	outcome := "admitted"
	if !decision.Admitted {
		outcome = "refused"
	}
	m.registry.Counter("carawaystile_endpoint_limit_decisions_total", "Attempts at endpoints that name a rate limit, by what was decided and what the decision rested on.",
		metrics.Label{Name: "service", Value: j.service.Name}, metrics.Label{Name: "decision", Value: outcome},
		metrics.Label{Name: "by", Value: string(decision.Basis)}).Inc(1)
}
