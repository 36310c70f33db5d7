package forward

import (
	"strconv"

	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/tables"
)

// measurements counts requests and the time until they are answered. The nil
// value measures nothing.
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

// first takes the time to a stream's first event.
func (m *measurements) first(j *job) {
	if m == nil {
		return
	}
	priority := tables.Priority(min(max(j.ask.Priority, 0), int(tables.Priorities)-1))
	m.requests.ObserveTTFT(j.organisation(), "", priority, j.now()-j.arrived)
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
func (m *measurements) failed(j *job, code tables.Code, result tables.Outcome) {
	if m == nil {
		return
	}
	m.requests.CountRefused(j.organisation(), code, result)
}

func (j *job) organisation() tables.OrganisationID {
	if j.org == nil {
		return ""
	}
	return j.org.ID
}
