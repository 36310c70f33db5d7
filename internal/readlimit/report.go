package readlimit

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/metrics"
)

// ReportExceeded returns the Bodies.Exceeded of an instance, which logs and counts the requests.
func ReportExceeded(log *zap.Logger, registry *metrics.Registry) func(*http.Request, error) {
	count := registry.Counter("carawaystile_requests_beyond_read_limit_total", "Requests of instances, operators and scrapers whose body was too large or came too slowly.")
	return func(r *http.Request, err error) {
		count.Inc(1)
		events.ReadLimitExceeded.Log(log, zap.String("from", r.RemoteAddr), zap.String("path", r.URL.Path), zap.Error(err))
	}
}
