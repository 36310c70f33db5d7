package forward

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/dialect"
	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/permits"
	"github.com/carawaystile/carawaystile/tables"
)

// Permits is a distributed semaphore for each endpoint. Package permits implements it.
type Permits interface {
	// Acquire requests a permit for an attempt that lasts for left at most.
	Acquire(ctx context.Context, endpoint tables.EndpointID, left time.Duration) (*permits.Permit, permits.Verdict)
}

// acquirePermit acquires the permit for an attempt at a brittle endpoint. It reports whether the
// attempt may be sent; if not, the attempt has ended.
func (s *Server) acquirePermit(c *clientRequest, placement *dispatch.Attempt) bool {
	if s.options.Permits == nil || !s.awaitPermit(placement) {
		return true
	}
	permit, verdict := s.options.Permits.Acquire(c.ctx, placement.Endpoint.ID, c.deadline-c.now())
	s.metrics.countPermit(placement.Endpoint.Service, verdict)
	s.mu.Lock()
	defer s.mu.Unlock()
	if verdict == permits.Granted || verdict == permits.NoOwner && s.dispatch.MayRiskRejection(placement) {
		c.permit = permit
		s.dispatch.RecordPermit(placement)
		return true
	}
	s.dispatch.RecordPermitDenied(s.options.Now(), placement)
	return false
}

// releasePermit returns the permit of an attempt that is not sent.
func (c *clientRequest) releasePermit() {
	c.permit.Release(false)
	c.permit = nil
}

// awaitPermit reports whether the attempt needs a permit, and has the load balancer know.
func (s *Server) awaitPermit(placement *dispatch.Attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.dispatch.Brittleness(placement).Brittle {
		return false
	}
	s.dispatch.AwaitPermit(placement)
	return true
}

// recordBrittleness records whether the endpoint announces that it is brittle. As for a rate
// limit, the absence of the announcement counts only in a response of the endpoint's application.
// The caller holds the server's mu.
func (a *attempt) recordBrittleness(now tables.Instant, header http.Header) {
	s := a.request.server
	text := header.Get(s.headers.Brittle)
	announced := dispatch.Brittleness{Brittle: text != ""}
	if text == "" && header.Get(s.headers.Signature) == "" {
		return
	}
	if text != "" {
		rejections, ok := dialect.ParseBrittle(text)
		if !ok {
			a.reportUnusableHeader(s.headers.Brittle, text, strconv.Itoa(rejections))
		}
		announced.Rejections = rejections
	}
	if !s.dispatch.RecordBrittleness(now, a.placement, announced) {
		return
	}
	s.metrics.countAnnouncement(a.placement.Endpoint.Service, announcedBrittle)
	events.EndpointBrittle.Log(s.log, append(a.announcementFields(), zap.Bool("brittle", announced.Brittle), zap.Int("rejections", announced.Rejections))...)
}

// Occupancy returns the room of an endpoint, for the owner of its permits.
func (s *Server) Occupancy(id tables.EndpointID) (permits.Occupancy, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slots, attempts, listed := s.dispatch.EndpointOccupancy(id)
	return permits.Occupancy{Slots: slots, Reported: attempts}, listed
}
