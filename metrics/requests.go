package metrics

import (
	"strconv"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/carawaystile/carawaystile/tables"
)

// MaxOrganisations bounds the number of organisations with time series of their own;
// requests of further ones are recorded under overflowOrganisation. It leaves room above
// the target of 8,600 organisations.
const (
	MaxOrganisations     = 10_000
	overflowOrganisation = "other"
)

// Families of the measurements of requests.
const (
	familyTTFT         = "carawaystile_time_to_first_token_seconds"
	familyGap          = "carawaystile_time_between_tokens_seconds"
	familyPause        = "carawaystile_stream_longest_pause_seconds"
	familyWait         = "carawaystile_queue_wait_seconds"
	familyHit          = "carawaystile_prefix_hit_ratio"
	familyFailed       = "carawaystile_requests_failed_total"
	familyDropped      = "carawaystile_answers_dropped_total"
	familyResumed      = "carawaystile_streams_resumed_total"
	organisationPrefix = "organisation_"
)

// priorityNames are the values of the label class.
var priorityNames = [tables.PriorityCount]string{"urgent", "normal", "background"}

// PriorityName returns the value of the label class for a priority; an out-of-range priority
// counts as the least urgent one.
func PriorityName(p tables.Priority) string { return priorityNames[min(p, tables.Background)] }

// histograms are the histograms of one priority class or organisation.
type histograms struct {
	ttft, timeBetweenTokens, longestPause, queueWait, prefixHitRatio gometrics.Histogram
}

// Requests records request metrics per priority class and per organisation. It is safe
// for concurrent use.
type Requests struct {
	registry *Registry
	classes  [tables.PriorityCount]*histograms

	mu            sync.RWMutex
	organisations map[tables.OrganisationID]*histograms
}

// NewRequests returns request metrics that are kept in the registry.
func NewRequests(registry *Registry) *Requests {
	r := &Requests{registry: registry, organisations: make(map[tables.OrganisationID]*histograms)}
	for p, class := range priorityNames {
		r.classes[p] = r.newHistograms("", Label{"class", class})
	}
	return r
}

// newHistograms returns the histograms for one label. Classes and organisations have
// separate families, so that the sum over a family counts each request once.
func (r *Requests) newHistograms(prefix string, label Label) *histograms {
	name := func(family string) string {
		const system = "carawaystile_"
		return system + prefix + family[len(system):]
	}
	return &histograms{
		ttft:              r.registry.Histogram(name(familyTTFT), "Time from arrival to the first token.", SecondsBounds, label),
		timeBetweenTokens: r.registry.Histogram(name(familyGap), "Time between two tokens of one answer.", SecondsBounds, label),
		longestPause:      r.registry.Histogram(name(familyPause), "Longest pause between two events of a stream.", SecondsBounds, label),
		queueWait:         r.registry.Histogram(name(familyWait), "Time from arrival to the first dispatch.", SecondsBounds, label),
		prefixHitRatio:    r.registry.Histogram(name(familyHit), "Share of the prompt that came from an endpoint's cache.", RatioBounds, label),
	}
}

// organisation returns the histograms of an organisation and creates them on first use.
func (r *Requests) organisation(id tables.OrganisationID) *histograms {
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
		id = overflowOrganisation
		if g := r.organisations[id]; g != nil {
			return g
		}
	}
	g = r.newHistograms(organisationPrefix, Label{"organisation", string(id)})
	r.organisations[id] = g
	return g
}

// class returns the histograms of a priority class; an out-of-range priority counts as
// the least urgent one.
func (r *Requests) class(p tables.Priority) *histograms {
	return r.classes[min(p, tables.Background)]
}

// ObserveTTFT records the time from arrival to the first token.
func (r *Requests) ObserveTTFT(org tables.OrganisationID, _ tables.ProfileName, p tables.Priority, d time.Duration) {
	r.class(p).ttft.Update(d.Microseconds())
	r.organisation(org).ttft.Update(d.Microseconds())
}

// ObserveTimeBetweenTokens records the time between two consecutive tokens of a stream.
func (r *Requests) ObserveTimeBetweenTokens(org tables.OrganisationID, p tables.Priority, d time.Duration) {
	r.class(p).timeBetweenTokens.Update(d.Microseconds())
	r.organisation(org).timeBetweenTokens.Update(d.Microseconds())
}

// ObserveLongestPause records the longest pause between two events of a stream.
func (r *Requests) ObserveLongestPause(org tables.OrganisationID, p tables.Priority, d time.Duration) {
	r.class(p).longestPause.Update(d.Microseconds())
	r.organisation(org).longestPause.Update(d.Microseconds())
}

// ObserveQueueWait records the time from arrival to the first dispatch.
func (r *Requests) ObserveQueueWait(org tables.OrganisationID, p tables.Priority, d time.Duration) {
	r.class(p).queueWait.Update(d.Microseconds())
	r.organisation(org).queueWait.Update(d.Microseconds())
}

// ObservePrefixHitRatio records the share of a prompt's tokens that came from a prefix
// cache. Prompts without tokens are not counted.
func (r *Requests) ObservePrefixHitRatio(org tables.OrganisationID, p tables.Priority, cached, total int) {
	if total <= 0 {
		return
	}
	millionths := int64(float64(cached) / float64(total) / recordedUnit)
	r.class(p).prefixHitRatio.Update(millionths)
	r.organisation(org).prefixHitRatio.Update(millionths)
}

// CountFailure counts failed requests by error code and outcome. The organisation is not
// a label: the number of codes times organisations would have no useful bound.
func (r *Requests) CountFailure(_ tables.OrganisationID, code tables.ErrorCode, o tables.Outcome) {
	r.registry.Counter(familyFailed, "Requests that got no answer.",
		Label{"code", strconv.Itoa(int(code))}, Label{"outcome", string(o)}).Inc(1)
}

// CountDroppedAnswer counts dropped responses and tokens by reason.
func (r *Requests) CountDroppedAnswer(reason string) {
	r.registry.Counter(familyDropped, "Answers or tokens dropped because they belong to something else.",
		Label{"reason", reason}).Inc(1)
}

// CountResumedStream counts streams that were resumed at another endpoint.
func (r *Requests) CountResumedStream(tables.OrganisationID) {
	r.registry.Counter(familyResumed, "Streams that went on at another endpoint.").Inc(1)
}
