package forward

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/systems/shares"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// maxStartFactor is the greatest cost that is expected to start for each token that engines
	// compute of prompts. Parts of prompts that engines hold, and output tokens, count as cost too;
	// with a hit rate of three quarters the factor is four.
	maxStartFactor = 4
	// largestLogInterval is the least time between two log lines on the largest organisation of a
	// service.
	largestLogInterval = time.Second
	// droppedLogInterval is the least time between two log lines on totals for which there is no room.
	droppedLogInterval = time.Second
)

// sharedCosts shares capacity among organisations over all instances. It is safe for concurrent
// use.
type sharedCosts struct {
	log     *zap.Logger
	metrics *admissionMetrics

	mu      sync.Mutex
	totals  shares.Totals
	charges shares.Charges
	// loggedAt is when the largest organisation of a service was last logged.
	loggedAt map[string]tables.Instant
	// droppedAt is when a total for which there is no room was last logged.
	droppedAt tables.Instant
}

// shareKey returns under which key a request shares capacity.
func shareKey(r *dispatch.Request) shares.Key {
	target := r.Route.TargetLatency
	if target <= 0 {
		target = defaultLatencyTarget
	}
	w := waiter{priority: r.Priority, lessUrgent: target > r.UrgentTarget}
	return shares.Key{Service: r.Service.Name, Organisation: r.Organisation, Class: w.class()}
}

// requestCost returns the cost of a request in tokens.
func requestCost(r *dispatch.Request) uint64 { return uint64(max(1, r.PromptTokens+r.OutputTokens)) }

// placeShared places a request that names its organisation, unless it has to wait for those of
// organisations that have had less.
func (s *Server) placeShared(r *dispatch.Request) (*dispatch.Attempt, dispatch.RejectReason) {
	c, key, now := s.shares, shareKey(r), s.options.Now()
	need := shares.Request{Model: r.Model, Tokens: int(requestCost(r))}
	c.mu.Lock()
	if r.Asker != "" {
		c.totals.RecordInstance(now, key, r.Asker, r.OrganisationCost)
	}
	yields := c.totals.Yields(now, key, need)
	// The request itself is in no total of its instance yet.
	r.OthersCost = c.totals.Others(key, r.OrganisationCost)
	c.mu.Unlock()
	var attempt *dispatch.Attempt
	reason := dispatch.Yields
	if !yields {
		attempt, reason = s.placeHere(r)
	}
	// A retry may not go to some endpoints, nor may a request whose asker avoids some or needs
	// confirmed ones, so its failure says nothing of others.
	isRestricted := len(r.Tried) > 0 || r.DeliveredAttempts > 0 || len(r.Avoided) > 0 || r.ConfirmedOnly
	switch {
	case attempt != nil:
		c.mu.Lock()
		c.totals.Placed(now, key, need)
		c.mu.Unlock()
	case isRestricted:
	case yields:
		c.refused(now, key, need, shares.Yielded)
	case reason == dispatch.Saturated:
		c.refused(now, key, need, shares.Saturated)
	case reason == dispatch.NoCapacity:
		c.refused(now, key, need, shares.LacksMemory)
	}
	return attempt, reason
}

// refused records that a request was not placed, and logs the organisation with the largest share if
// its service lacks capacity.
func (c *sharedCosts) refused(now tables.Instant, key shares.Key, need shares.Request, why shares.Refusal) {
	c.mu.Lock()
	c.totals.Refused(now, key, need, why)
	largest, share, known := shares.Key{}, 0.0, false
	if why != shares.Yielded {
		largest, share, known = c.largestToLog(now, key.Service)
	}
	c.mu.Unlock()
	if known {
		c.logLargest(largest, share)
	}
}

// largestToLog returns the organisation with the largest share of a saturated service, and that share;
// false if none is known or one has been logged within largestLogInterval. The caller holds mu.
func (c *sharedCosts) largestToLog(now tables.Instant, service string) (shares.Key, float64, bool) {
	if at, logged := c.loggedAt[service]; logged && now-at < largestLogInterval {
		return shares.Key{}, 0, false
	}
	if c.loggedAt == nil {
		c.loggedAt = map[string]tables.Instant{}
	}
	c.loggedAt[service] = now
	return c.totals.Largest(now, service)
}

// logLargest logs the organisation with the largest share of a saturated service. The caller does not
// hold mu, since writing may block.
func (c *sharedCosts) logLargest(key shares.Key, share float64) {
	events.LargestShare.Log(c.log, zap.String("service", key.Service), zap.String("organisation", key.Organisation),
		zap.Int("priority", key.Class/classesPerPriority), zap.Float64("share", share))
}

// setOrganisation names the organisation in the request's next question if the service is
// saturated and its capacity is shared.
func (c *clientRequest) setOrganisation(w *waiter) {
	r := &c.dispatchRequest
	r.Organisation, r.OrganisationCost, r.OthersCost = "", 0, 0
	if !w.shared || !c.server.admission.isSaturated(c.service.Name) {
		return
	}
	r.Organisation = string(c.organisationID())
	shared := c.server.shares
	shared.mu.Lock()
	defer shared.mu.Unlock()
	r.OrganisationCost = shared.charges.Own(shareKey(r))
}

// chargeOthers charges the organisation for what other instances have started for it, by the answer
// to the request's last question.
func (c *clientRequest) chargeOthers(w *waiter) {
	r := &c.dispatchRequest
	if r.Organisation == "" || r.OthersCost == 0 {
		return
	}
	s := c.server
	s.mu.Lock()
	maxRate := maxStartFactor * s.dispatch.PrefillCapacity(c.service.Name)
	s.mu.Unlock()
	now, shared := c.now(), s.shares
	shared.mu.Lock()
	cost := shared.charges.Answered(now, shareKey(r), r.OthersCost, maxRate)
	shared.mu.Unlock()
	if cost > 0 {
		shared.metrics.countOthers(w, cost)
		s.admission.update(c.service.Name, func(q *serviceQueue, _ tables.Instant) {
			if q.saturatedSince > 0 {
				q.chargeOthers(w, cost)
			}
		})
	}
}

// started counts a request of a saturated service towards the totals that this instance names. It
// does nothing on the nil value, and where capacity is not shared.
func (c *sharedCosts) started(now tables.Instant, service string, w *waiter) {
	if c == nil || !w.shared {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.charges.Started(now, shares.Key{Service: service, Organisation: w.organisation, Class: w.class()}, uint64(w.cost()))
}

// refunded takes back what started has counted.
func (c *sharedCosts) refunded(service string, w *waiter) {
	if !w.shared {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.charges.Refunded(shares.Key{Service: service, Organisation: w.organisation, Class: w.class()}, uint64(w.cost()))
}

// SharesCosts reports whether capacity may be shared among organisations, so that their costs are to
// be exchanged with other instances.
func (s *Server) SharesCosts() bool {
	capacity := s.options.Dispatch.Capacity
	return capacity.Admission != dispatch.Off && capacity.Shares != dispatch.Off
}

// sharesCostsOf reports whether the capacity of a service is shared over all instances.
func (s *Server) sharesCostsOf(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.SharesEnabled(service)
}

// TakePlacedCosts returns at most limit totals of what was placed here that have changed since the
// last call, or whose organisations wait, for the other instances that place requests.
func (s *Server) TakePlacedCosts(limit int) []shares.Cost {
	s.shares.mu.Lock()
	defer s.shares.mu.Unlock()
	return s.shares.totals.TakePlaced(s.options.Now(), limit)
}

// TakeZoneCosts returns at most limit totals of the zone that have changed since the last call, for
// the schedulers of other zones.
func (s *Server) TakeZoneCosts(limit int) []shares.Cost {
	s.shares.mu.Lock()
	defer s.shares.mu.Unlock()
	return s.shares.totals.TakeZone(limit)
}

// ApplyPlacedCost applies the total of what another instance has placed.
func (s *Server) ApplyPlacedCost(by tables.InstanceID, cost shares.Cost) {
	if s.SharesCosts() {
		s.shares.recordPlaced(s.options.Now(), by, cost)
	}
}

func (c *sharedCosts) recordPlaced(now tables.Instant, by tables.InstanceID, cost shares.Cost) {
	c.mu.Lock()
	isStored := c.totals.RecordPlaced(now, cost.Key, by, cost.Total)
	logs := !isStored && (c.droppedAt == 0 || now-c.droppedAt >= droppedLogInterval)
	if logs {
		c.droppedAt = now
	}
	c.mu.Unlock()
	if logs {
		events.PlacedCostDropped.Log(c.log, zap.String("service", cost.Service), zap.String("organisation", cost.Organisation),
			zap.String("placer", string(by)))
	}
}

// ApplyZoneCost applies the total of another zone that one of its schedulers has reported.
func (s *Server) ApplyZoneCost(by tables.InstanceID, zone tables.Zone, cost shares.Cost) {
	if s.SharesCosts() {
		s.shares.mu.Lock()
		defer s.shares.mu.Unlock()
		s.shares.totals.RecordZone(s.options.Now(), cost.Key, zone, by, cost.Total)
	}
}
