package router

import (
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/prefix"
	"github.com/carawaystile/carawaystile/systems/cacheview"
	"github.com/carawaystile/carawaystile/systems/hotness"
	"github.com/carawaystile/carawaystile/systems/placement"
	"github.com/carawaystile/carawaystile/systems/quarantine"
	"github.com/carawaystile/carawaystile/systems/retry"
	"github.com/carawaystile/carawaystile/tables"
)

// Options are the settings of a Router.
type Options struct {
	Instance tables.InstanceID
	Zone     tables.Zone
	// Seed must differ between instances and between two lives of one, since
	// attempt identities are made from it. The same seed and the same calls
	// give the same actions.
	Seed uint64
	// CacheIndexEntries is how many (block, endpoint) pairs are remembered, at 8 bytes
	// each; 0 means 1 Mi.
	CacheIndexEntries int
	// ExplanationLimit is how many decisions Explain remembers; 0 means 256.
	ExplanationLimit int
}

const (
	defaultExplanations = 256
	// watchPeriod is how often deadlines, hanging attempts and ejected
	// endpoints are looked at.
	watchPeriod = 50 * time.Millisecond
	// servePeriod is how often requests that could not be placed are tried
	// again. New requests are tried at once.
	servePeriod = 10 * time.Millisecond
	// sweepBuckets is how many buckets of cache knowledge each watch cleans. At
	// 20 a second the largest view is swept every 26 minutes.
	sweepBuckets = 64
)

// Router decides where, when and whether each request runs. It is not safe for
// concurrent use: the owner calls it from one goroutine with readings of one
// monotonic clock that never go back.
type Router struct {
	options       Options
	config        *tables.Configuration
	profiles      map[tables.ProfileName]*tables.Profile
	groups        map[groupKey]*group
	weights       map[tables.ModelName]tables.WeightsVersion
	endpoints     *tables.Endpoints
	requests      map[tables.RequestID]*tables.RequestRow
	attempts      map[tables.AttemptID]*tables.AttemptRow
	organisations organisations
	classes       [tables.PriorityCount]class
	// fresh holds new requests until the next Tick.
	fresh    []*tables.RequestRow
	budget   retry.Budget
	pressure pressure
	suspects *quarantine.Detector
	picker   placement.Picker
	view     *cacheview.View
	matches  cacheview.Matches
	news     news
	counter  hotness.Counter
	// homeTrust is the part of a prefix found at its home when nothing was
	// known of it.
	homeTrust float64
	// levels holds how prompts of each profile are usually shared; heardAt is
	// when an endpoint or a peer last told of cached blocks.
	levels  map[tables.ProfileName]*levels
	heardAt tables.Instant
	// mix is the part of each priority in recent prefill work, meanUncached
	// the mean prefill work of an attempt in tokens.
	mix          [tables.PriorityCount]float64
	meanUncached float64
	scratch      []placement.Candidate
	heads        []heading
	failures     int
	actions      []Action
	spare        []Action
	explained    ring
	share        float64
	lastID       uint64
	watchAt      tables.Instant
	serveAt      tables.Instant
	turnoverAt   tables.Instant
}

// New returns a router without a configuration, which refuses all requests
// until it has one.
func New(options Options) *Router {
	if options.ExplanationLimit <= 0 {
		options.ExplanationLimit = defaultExplanations
	}
	suspects := quarantine.New(quarantine.Options{})
	r := &Router{
		suspects:     suspects,
		options:      options,
		profiles:     make(map[tables.ProfileName]*tables.Profile),
		groups:       make(map[groupKey]*group),
		weights:      make(map[tables.ModelName]tables.WeightsVersion),
		endpoints:    tables.NewEndpoints(),
		requests:     make(map[tables.RequestID]*tables.RequestRow),
		attempts:     make(map[tables.AttemptID]*tables.AttemptRow),
		picker:       standardPicker(suspects),
		view:         cacheview.New(cacheview.Options{Rows: options.CacheIndexEntries}),
		homeTrust:    initialHomeTrust,
		levels:       make(map[tables.ProfileName]*levels),
		meanUncached: prefix.BlockTokens,
		explained:    newRing(options.ExplanationLimit),
		share:        1,
	}
	for i := range r.classes {
		r.classes[i].round = 1
	}
	return r
}

// Configure puts a configuration in force. One with a lower revision than the
// present one is ignored, so that a late message cannot revert it.
func (r *Router) Configure(now tables.Instant, c *tables.Configuration) {
	if r.config != nil && c.Revision < r.config.Revision {
		return
	}
	r.config = c
	clear(r.profiles)
	for i := range c.Profiles {
		r.profiles[c.Profiles[i].Name] = &c.Profiles[i]
	}
	r.forgetLevels()
	clear(r.weights)
	for i := range c.Models {
		r.weights[c.Models[i].Name] = c.Models[i].Weights
	}
	r.endpoints.Configure(c)
	r.configureGroups(now)
	r.configureOrganisations()
}

// Submit hands in a request. The next Tick acts on it. The request must not be
// changed afterwards. A second request with the identity of one that is in
// progress is ignored.
func (r *Router) Submit(now tables.Instant, request *tables.Request) {
	if _, ok := r.requests[request.ID]; ok {
		return
	}
	profile, ok := r.profiles[request.Profile]
	if !ok {
		r.refuse(request, r.unknownProfile())
		return
	}
	row := &tables.RequestRow{
		Request:         request,
		Profile:         profile,
		Priority:        profile.Priority,
		Organisation:    r.flow(request.Organisation),
		SubmittedAt:     now,
		DeliveredTokens: request.DeliveredTokens,
		Weights:         request.Weights,
	}
	if refusal, ok := r.admit(now, row); !ok {
		r.refuse(request, refusal)
		return
	}
	r.requests[request.ID] = row
	r.counter.Seen(now, request.Blocks)
	r.learnLevels(request)
	r.budget.Deposit()
	r.fresh = append(r.fresh, row)
}

// unknownProfile tells a profile that does not exist from a router that has
// not been configured yet.
func (r *Router) unknownProfile() tables.Refusal {
	if r.config == nil {
		return tables.Refusal{Code: tables.CodeNoEndpoint, RetryAfter: retryAfter}
	}
	return tables.Refusal{Code: tables.CodeUnknownProfile}
}

// admit holds a new request against what is known of equal ones and against its
// organisation's rate.
func (r *Router) admit(now tables.Instant, row *tables.RequestRow) (tables.Refusal, bool) {
	if r.convicted(now, row.Request.Fingerprint) {
		return tables.Refusal{Code: tables.CodeQuarantined}, false
	}
	if wait := r.organisations.rows[row.Organisation].limiter.Admit(now, r.share); wait > 0 {
		return tables.Refusal{Code: tables.CodeOrganisationLimit, RetryAfter: wait}, false
	}
	return tables.Refusal{}, true
}

// Cancel ends a request because its caller no longer wants it. Its attempts
// are aborted by the next Tick; no further action names the request.
func (r *Router) Cancel(now tables.Instant, id tables.RequestID) {
	r.withdraw(id)
	row, ok := r.requests[id]
	if !ok || row.State == tables.Finished {
		return
	}
	r.abortAll(now, row)
	r.finish(row)
}

// withdraw drops an end of the request that the next Tick would have told.
func (r *Router) withdraw(id tables.RequestID) {
	r.actions = slices.DeleteFunc(r.actions, func(action Action) bool {
		switch a := action.(type) {
		case Refuse:
			return a.Request == id
		case Fail:
			return a.Request == id
		default:
			return false
		}
	})
}

// Tick decides what can be decided now. The returned slice is reused by the
// Tick after the next.
func (r *Router) Tick(now tables.Instant) []Action {
	r.takeFresh(now)
	if now >= r.watchAt {
		r.watchAt = now + watchPeriod
		r.watch(now)
	}
	if now >= r.serveAt {
		r.serveAt = now + servePeriod
		if r.pressure.on(now) && r.pressure.room() {
			r.serve(now, tables.Background)
		}
		for p := range r.classes {
			r.serve(now, tables.Priority(p))
		}
	}
	out := r.actions
	r.actions, r.spare = r.spare[:0], out
	return out
}

// NextTick is when Tick is next worth calling if nothing happens before.
func (r *Router) NextTick(now tables.Instant) tables.Instant {
	if len(r.actions) > 0 || len(r.fresh) > 0 {
		return now
	}
	next := max(now, r.watchAt)
	for i := range r.classes {
		if r.classes[i].schedule.Active() > 0 {
			next = min(next, max(now, r.serveAt))
		}
	}
	return next
}
