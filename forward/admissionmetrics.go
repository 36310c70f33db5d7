package forward

import (
	"strconv"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/carawaystile/carawaystile/metrics"
	"github.com/carawaystile/carawaystile/tables"
)

// waitVerdict says how a request's wait ended without a placement. Its text appears in logs and
// metrics.
type waitVerdict string

// The ways in which a wait ends without a placement.
const (
	// rejectedOnArrival: the predicted wait was longer than the target leaves.
	rejectedOnArrival waitVerdict = "arrival"
	// rejectedWhileWaiting: the request could no longer be answered within its target.
	rejectedWhileWaiting waitVerdict = "waiting"
	// notPlaceable: the request must not be tried again for another reason than capacity.
	notPlaceable waitVerdict = "failed"
	// abandoned: the caller left, or its deadline passed.
	abandoned waitVerdict = "abandoned"
)

// admissionMetrics measures the waiting queues. Its methods do nothing on the nil value.
type admissionMetrics struct{ registry *metrics.Registry }

func newAdmissionMetrics(registry *metrics.Registry) *admissionMetrics {
	if registry == nil {
		return nil
	}
	return &admissionMetrics{registry: registry}
}

// observeWait observes the end of a wait.
func (m *admissionMetrics) observeWait(w *waiter, now tables.Instant, verdict waitVerdict) {
	if m == nil {
		return
	}
	priority := metrics.Label{Name: "priority", Value: strconv.Itoa(min(max(w.priority, 0), lowestPriority))}
	if verdict != "" {
		m.registry.Counter("carawaystile_admission_rejections_total", "Requests whose wait for capacity ended without an endpoint, by why.",
			priority, metrics.Label{Name: "reason", Value: string(verdict)}).Inc(1)
		return
	}
	m.registry.Histogram("carawaystile_admission_wait_seconds", "Wait for capacity of requests that were then placed.",
		metrics.SecondsBounds, priority).Update((now - w.joinedAt).Microseconds())
	if w.predicted > 0 {
		m.registry.Histogram("carawaystile_admission_predicted_wait_seconds", "Wait that was predicted for requests that were then placed.",
			metrics.SecondsBounds, priority).Update(w.predicted.Microseconds())
	}
}

// registerAdmissionGauges registers the gauges of waiting requests and of saturated services.
// Each scrape updates them.
func (s *Server) registerAdmissionGauges(registry *metrics.Registry) {
	if registry == nil {
		return
	}
	saturated := registry.Gauge("carawaystile_services_saturated", "Services whose requests wait for capacity at this instance.")
	var byPriority [lowestPriority + 1]gometrics.GaugeFloat64
	for priority := range byPriority {
		byPriority[priority] = registry.Gauge("carawaystile_admission_waiting", "Requests that wait for capacity at this instance.",
			metrics.Label{Name: "priority", Value: strconv.Itoa(priority)})
	}
	registry.BeforeWrite(func() {
		services, waiting := s.admission.count()
		saturated.Update(float64(services))
		for priority, n := range waiting {
			byPriority[priority].Update(float64(n))
		}
	})
}

// count returns the number of saturated services and the waiting requests by priority.
func (a *admissionControl) count() (saturated int, waiting [lowestPriority + 1]int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, q := range a.queues {
		if q.saturatedSince > 0 {
			saturated++
		}
		for class := range q.classes {
			waiting[class/classesPerPriority] += q.classes[class].scheduler.QueueLength()
		}
	}
	return saturated, waiting
}
