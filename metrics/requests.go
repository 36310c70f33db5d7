package metrics

import (
	"strconv"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/carawaystile/carawaystile/tables"
)

// MaxOrganisations bounds the organisations that are measured apart; requests
// of any further one are measured together as otherOrganisation. It leaves room
// above the 8,600 of the target.
const (
	MaxOrganisations  = 10_000
	otherOrganisation = "other"
)

// Families of the measurements of requests.
const (
	familyTTFT     = "carawaystile_time_to_first_token_seconds"
	familyGap      = "carawaystile_time_between_tokens_seconds"
	familyWait     = "carawaystile_queue_wait_seconds"
	familyHit      = "carawaystile_prefix_hit_ratio"
	familyFailed   = "carawaystile_requests_failed_total"
	familyDropped  = "carawaystile_answers_dropped_total"
	familyResumed  = "carawaystile_streams_resumed_total"
	organisationIn = "organisation_"
)

// priorityNames are the values of the label class.
var priorityNames = [tables.PriorityCount]string{"urgent", "normal", "background"}

// group is the histograms of one class or organisation.
type group struct {
	ttft, gap, wait, hit gometrics.Histogram
}

// Requests measures requests per class and per organisation. It is safe for
// concurrent use.
type Requests struct {
	registry *Registry
	classes  [tables.PriorityCount]*group

	mu            sync.RWMutex
	organisations map[tables.OrganisationID]*group
}

// NewRequests returns measurements that are kept in the registry.
func NewRequests(registry *Registry) *Requests {
	r := &Requests{registry: registry, organisations: make(map[tables.OrganisationID]*group)}
	for p, class := range priorityNames {
		r.classes[p] = r.newGroup("", Label{"class", class})
	}
	return r
}

// newGroup makes the histograms for one label. Classes and organisations are
// families of their own, so that sums over a family count a request once.
func (r *Requests) newGroup(prefix string, label Label) *group {
	name := func(family string) string {
		const system = "carawaystile_"
		return system + prefix + family[len(system):]
	}
	return &group{
		ttft: r.registry.Histogram(name(familyTTFT), "Time from arrival to the first token.", SecondsBounds, label),
		gap:  r.registry.Histogram(name(familyGap), "Time between two tokens of one answer.", SecondsBounds, label),
		wait: r.registry.Histogram(name(familyWait), "Time from arrival to the first dispatch.", SecondsBounds, label),
		hit:  r.registry.Histogram(name(familyHit), "Share of the prompt that came from an endpoint's cache.", RatioBounds, label),
	}
}

// organisation returns the group of an organisation, made at its first request.
func (r *Requests) organisation(id tables.OrganisationID) *group {
	r.mu.RLock()
	g := r.organisations[id]
	r.mu.RUnlock()
	if g != nil {
		return g
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.organisations[id]; g != nil {
		return g
	}
	if len(r.organisations) >= MaxOrganisations {
		id = otherOrganisation
		if g := r.organisations[id]; g != nil {
			return g
		}
	}
	g = r.newGroup(organisationIn, Label{"organisation", string(id)})
	r.organisations[id] = g
	return g
}

// class returns the group of a priority; one out of range counts as the least
// urgent.
func (r *Requests) class(p tables.Priority) *group {
	return r.classes[min(p, tables.Background)]
}

// ObserveTTFT takes the time from arrival to the first token.
func (r *Requests) ObserveTTFT(org tables.OrganisationID, _ tables.ProfileName, p tables.Priority, d time.Duration) {
	r.class(p).ttft.Update(d.Microseconds())
	r.organisation(org).ttft.Update(d.Microseconds())
}

// ObserveTimeBetweenTokens takes the time between two tokens of one stream.
func (r *Requests) ObserveTimeBetweenTokens(org tables.OrganisationID, p tables.Priority, d time.Duration) {
	r.class(p).gap.Update(d.Microseconds())
	r.organisation(org).gap.Update(d.Microseconds())
}

// ObserveQueueWait takes the time from arrival to the first dispatch.
func (r *Requests) ObserveQueueWait(org tables.OrganisationID, p tables.Priority, d time.Duration) {
	r.class(p).wait.Update(d.Microseconds())
	r.organisation(org).wait.Update(d.Microseconds())
}

// ObservePrefixHitRatio takes how many prompt tokens came from a cache, of how many.
// Prompts without tokens are not counted.
func (r *Requests) ObservePrefixHitRatio(org tables.OrganisationID, p tables.Priority, cached, total int) {
	if total <= 0 {
		return
	}
	millionths := int64(float64(cached) / float64(total) / unit)
	r.class(p).hit.Update(millionths)
	r.organisation(org).hit.Update(millionths)
}

// CountFailure counts failures by number and outcome. The organisation is not a
// label here: numbers times organisations would have no useful bound.
func (r *Requests) CountFailure(_ tables.OrganisationID, code tables.ErrorCode, o tables.Outcome) {
	r.registry.Counter(familyFailed, "Requests that got no answer.",
		Label{"code", strconv.Itoa(int(code))}, Label{"outcome", string(o)}).Inc(1)
}

// CountDroppedAnswer counts answers and tokens that were dropped, by reason.
func (r *Requests) CountDroppedAnswer(reason string) {
	r.registry.Counter(familyDropped, "Answers or tokens dropped because they belong to something else.",
		Label{"reason", reason}).Inc(1)
}

// CountResumedStream counts streams that went on at another endpoint.
func (r *Requests) CountResumedStream(tables.OrganisationID) {
	r.registry.Counter(familyResumed, "Streams that went on at another endpoint.").Inc(1)
}
