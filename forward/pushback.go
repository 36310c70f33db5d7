package forward

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/dialect"
	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/tables"
)

// Kinds of announcements of endpoints, in metrics.
const (
	announcedPushback = "pushback"
	announcedDraining = "draining"
	announcedUnusable = "unusable"
	announcedBrittle  = "brittle"
)

// recordPushback records that the endpoint requests a back-off from this instance. The
// caller holds the server's mu.
func (a *attempt) recordPushback(now tables.Instant, status int, header http.Header) {
	s := a.request.server
	text := header.Get(s.headers.RetryAfter)
	if status != http.StatusServiceUnavailable || text == "" {
		return
	}
	a.retryAfter = text
	after, ok := dialect.ParseRetryAfter(text)
	if !ok {
		a.reportUnusableHeader(s.headers.RetryAfter, text, "")
		return
	}
	applied, began := s.dispatch.RecordPushback(now, a.placement, after)
	if applied < after {
		a.reportUnusableHeader(s.headers.RetryAfter, text, applied.String())
	}
	s.metrics.countAnnouncement(a.placement.Endpoint.Service, announcedPushback)
	if began {
		events.EndpointPushedBack.Log(s.log, append(a.announcementFields(), zap.Duration("retry_after", applied))...)
	}
}

// recordDraining records that the endpoint announces that it is draining. The caller holds
// the server's mu.
func (a *attempt) recordDraining(header http.Header) {
	s := a.request.server
	text := header.Get(s.headers.Draining)
	draining, ok := dialect.ParseDraining(text)
	if !ok {
		a.reportUnusableHeader(s.headers.Draining, text, "")
	}
	if !draining {
		return
	}
	s.metrics.countAnnouncement(a.placement.Endpoint.Service, announcedDraining)
	if s.dispatch.RecordDraining(a.placement) {
		events.EndpointDraining.Log(s.log, a.announcementFields()...)
	}
}

// maxLoggedValueBytes bounds a header value in the log.
const maxLoggedValueBytes = 64

// reportUnusableHeader logs a header value that is not used as it is; used says what was
// made of it.
func (a *attempt) reportUnusableHeader(name, value, used string) {
	s := a.request.server
	s.metrics.countAnnouncement(a.placement.Endpoint.Service, announcedUnusable)
	events.HeaderUnusable.Log(s.log, append(a.announcementFields(), zap.String("header", name),
		zap.String("value", value[:min(len(value), maxLoggedValueBytes)]), zap.String("used", used))...)
}

// announcementFields returns the fields of an event that concerns the attempt's endpoint. The
// attempt's request is under a name of its own: the event matters to other requests too.
func (a *attempt) announcementFields() []zap.Field {
	return []zap.Field{
		zap.String("endpoint", string(a.placement.Endpoint.ID)),
		zap.String("service", a.placement.Endpoint.Service),
		zap.String("by_request", a.request.id),
	}
}

// avoidedFields returns the fields that name the endpoints which a placement left out for
// what they had announced.
func avoidedFields(r *dispatch.Rationale) []zap.Field {
	var fields []zap.Field
	if len(r.PushingBack) > 0 {
		fields = append(fields, zap.Strings("pushing_back", endpointNames(r.PushingBack)))
	}
	if len(r.Draining) > 0 {
		fields = append(fields, zap.Strings("draining", endpointNames(r.Draining)))
	}
	return fields
}

// avoidedFields returns the same for a request that no placement was found for.
func (c *clientRequest) avoidedFields() []zap.Field {
	if c.service == nil {
		return nil
	}
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	return avoidedFields(s.dispatch.Avoided(s.options.Now(), c.service.Name))
}

func endpointNames(ids []tables.EndpointID) []string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = string(id)
	}
	return names
}

// RecordCallPushback records that an endpoint has rejected a call other than an attempt,
// and has requested a back-off from this instance.
func (s *Server) RecordCallPushback(id tables.EndpointID, after time.Duration) {
	s.mu.Lock()
	began := s.dispatch.RecordCallPushback(s.options.Now(), id, after)
	s.mu.Unlock()
	if began {
		events.EndpointPushedBack.Log(s.log, zap.String("endpoint", string(id)), zap.Duration("retry_after", after))
	}
}

// RecordCallDraining records that an endpoint has announced that it is draining, in a response
// to a call other than an attempt.
func (s *Server) RecordCallDraining(id tables.EndpointID) {
	s.mu.Lock()
	first := s.dispatch.RecordCallDraining(id)
	s.mu.Unlock()
	if first {
		events.EndpointDraining.Log(s.log, zap.String("endpoint", string(id)))
	}
}

// PausedFor returns the remaining back-off of an endpoint.
func (s *Server) PausedFor(id tables.EndpointID) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.PausedFor(s.options.Now(), id)
}
