// Package schedule delegates the choice of endpoints to a few entry instances in each zone,
// the schedulers. It is the client and the server of this scheduling protocol over
// datagrams.
//
// If each instance chose endpoints locally and reported the choice to the others, their
// load information would be stale: the number of reports grows with the square of the
// number of instances, and while reports are delayed, many instances choose the same
// endpoint at the same moment. A scheduler knows all of its own choices and receives those
// of the few other schedulers within milliseconds. Rendezvous hashing on the prompt prefix
// selects the scheduler of a request, so that one scheduler places all requests with the
// same prefix.
//
// An instance that gets no answer in time chooses an endpoint locally. No request therefore
// depends on a scheduler, and correctness never depends on a scheduler's state.
package schedule

import (
	"time"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/parts"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/rpc"
	"github.com/carawaystile/carawaystile/tables"
)

// encodeQuestion encodes a request for a scheduler. Times are sent relative to now, since
// instances don't share a clock.
func encodeQuestion(now tables.Instant, r *dispatch.Request) *rpc.ScheduleQuestion {
	q := &rpc.ScheduleQuestion{
		Service:       r.Service.Name,
		Model:         r.Model,
		Priority:      int32(r.Priority),
		TargetMs:      toMilliseconds(r.Route.TargetLatency),
		PromptTokens:  uint32(r.PromptTokens),
		OutputTokens:  uint32(r.OutputTokens),
		WaitedMs:      toMilliseconds(now - r.ArrivedAt),
		LeftMs:        toMilliseconds(r.Deadline - now),
		HoldMs:        toMilliseconds(r.PrefillWaitUntil - now),
		Counted:       r.DemandCounted(),
		Arrivals:      uint32(r.DeliveredAttempts),
		OnlyConfirmed: r.ConfirmedOnly,
		GapMs:         toMilliseconds(r.Route.TargetEventGap),
		UrgencyMs:     toMilliseconds(r.UrgentTarget),
		Backup:        r.WantsBackup,
		Software:      r.Software,
		SoftwareFixed: r.SoftwareFixed,
	}
	for _, part := range r.SharedParts {
		q.Shared = append(q.Shared, &rpc.PromptPart{Name: uint64(part.ID), Tokens: uint32(part.EndTokens)})
	}
	for _, id := range r.Tried {
		q.Tried = append(q.Tried, string(id))
	}
	for _, id := range r.Avoided {
		q.Avoided = append(q.Avoided, string(id))
	}
	return q
}

// decodeQuestion returns the request that a question describes, with times on the
// scheduler's clock.
func decodeQuestion(now tables.Instant, q *rpc.ScheduleQuestion, service *routes.Service) *dispatch.Request {
	r := &dispatch.Request{
		Service:           service,
		Route:             &routes.Route{TargetLatency: fromMilliseconds(q.GetTargetMs()), TargetEventGap: fromMilliseconds(q.GetGapMs())},
		UrgentTarget:      fromMilliseconds(q.GetUrgencyMs()),
		WantsBackup:       q.GetBackup(),
		Priority:          int(q.GetPriority()),
		Model:             q.GetModel(),
		PromptTokens:      int(q.GetPromptTokens()),
		OutputTokens:      int(q.GetOutputTokens()),
		ArrivedAt:         now - fromMilliseconds(q.GetWaitedMs()),
		Deadline:          now + fromMilliseconds(q.GetLeftMs()),
		PrefillWaitUntil:  now + fromMilliseconds(q.GetHoldMs()),
		DeliveredAttempts: int(q.GetArrivals()),
		ConfirmedOnly:     q.GetOnlyConfirmed(),
		Software:          q.GetSoftware(),
		SoftwareFixed:     q.GetSoftwareFixed(),
		Remote:            true,
	}
	for _, part := range q.GetShared() {
		r.SharedParts = append(r.SharedParts, dispatch.SharedPart{ID: parts.ID(part.GetName()), EndTokens: int(part.GetTokens())})
	}
	for _, id := range q.GetTried() {
		r.Tried = append(r.Tried, tables.EndpointID(id))
	}
	for _, id := range q.GetAvoided() {
		r.Avoided = append(r.Avoided, tables.EndpointID(id))
	}
	if q.GetCounted() {
		r.MarkDemandCounted()
	}
	return r
}

func encodeDecision(c dispatch.Decision) *rpc.ScheduleAnswer {
	return &rpc.ScheduleAnswer{
		Ready: true, Endpoint: string(c.Endpoint), Source: string(c.CacheSource), Store: string(c.CacheStore), Backup: string(c.Backup),
		Weights: c.WeightsVersion, ExpectedMs: toMilliseconds(c.ExpectedLatency), Uncached: uint32(c.UncachedTokens), Rule: string(c.Rule),
		Limit: encodeLimit(c.Limit),
	}
}

func decodeDecision(a *rpc.ScheduleAnswer) dispatch.Decision {
	return dispatch.Decision{
		Endpoint: tables.EndpointID(a.GetEndpoint()), CacheSource: tables.EndpointID(a.GetSource()), CacheStore: tables.EndpointID(a.GetStore()), Backup: tables.EndpointID(a.GetBackup()),
		WeightsVersion: a.GetWeights(), ExpectedLatency: fromMilliseconds(a.GetExpectedMs()), UncachedTokens: int(a.GetUncached()), Rule: dispatch.PlacementRule(a.GetRule()),
		Limit: decodeLimit(a.GetLimit()),
	}
}

func encodeLimit(l *dispatch.RateLimitReport) *rpc.EndpointRateLimit {
	if l == nil {
		return nil
	}
	return &rpc.EndpointRateLimit{Limited: l.Limited, PerSecond: l.PerSecond, AgeMs: toMilliseconds(l.Age)}
}

func decodeLimit(l *rpc.EndpointRateLimit) *dispatch.RateLimitReport {
	if l == nil {
		return nil
	}
	return &dispatch.RateLimitReport{
		RateLimit: dispatch.RateLimit{Limited: l.GetLimited(), PerSecond: l.GetPerSecond()}, Age: fromMilliseconds(l.GetAgeMs()),
	}
}

func toMilliseconds(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

func fromMilliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
