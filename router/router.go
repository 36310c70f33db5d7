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
	// Seed makes attempt IDs unique, so it must differ between instances and
	// between two runs of one instance. The router is deterministic: the same
	// seed and the same calls give the same actions.
	Seed uint64
	// CacheIndexEntries is the capacity of the cache index in (block, endpoint)
	// pairs, at 8 bytes each; 0 means 1 Mi.
	CacheIndexEntries int
	// ExplanationLimit is the number of decisions that Explain remembers; 0
	// means 256.
	ExplanationLimit int
}

const (
	defaultExplanationLimit = 256
	// timerPeriod is the interval at which the router checks deadlines, hung
	// attempts and ejected endpoints.
	timerPeriod = 50 * time.Millisecond
	// queuePeriod is the interval at which the router retries queued requests.
	// It tries new requests immediately.
	queuePeriod = 10 * time.Millisecond
	// sweepBucketsPerRun is the number of cache-index buckets that each timer
	// run cleans. At 20 runs a second, a sweep of the largest index takes 26
	// minutes.
	sweepBucketsPerRun = 64
)

// Router places requests on endpoints. It is not safe for concurrent use: one
// goroutine calls it, with readings of one monotonic clock that never decrease.
type Router struct {
	options       Options
	config        *tables.Configuration
	profiles      map[tables.ProfileName]*tables.Profile
	pools         map[poolKey]*pool
	weights       map[tables.ModelName]tables.WeightsVersion
	endpoints     *tables.Endpoints
	requests      map[tables.RequestID]*tables.RequestRow
	attempts      map[tables.AttemptID]*tables.AttemptRow
	organisations organisations
	classes       [tables.PriorityCount]priorityClass
	// newRequests holds submitted requests until the next Tick.
	newRequests []*tables.RequestRow
	retryBudget retry.Budget
	overload    overloadState
	suspects    *quarantine.Detector
	// nextConvictionGossip is the time of the next GossipConvictions.
	nextConvictionGossip tables.Instant
	picker               placement.Picker
	cacheIndex           *cacheview.Index
	matches              cacheview.Matches
	gossip               placementQueue
	prefixCounter        hotness.Sketch
	// homeHitRatio is the moving average of the fraction of a prefix that its
	// home endpoint had cached although the cache index knew of none of it.
	homeHitRatio float64
	// depthStats holds, by profile, how often prompt prefixes of each depth are
	// shared. cacheInfoAt is when an endpoint or a peer last reported cached
	// blocks.
	depthStats  map[tables.ProfileName]*depthStats
	cacheInfoAt tables.Instant
	// priorityMix is the fraction of each priority in recent prefill work.
	// meanUncachedTokens is the mean prefill work of an attempt.
	priorityMix        [tables.PriorityCount]float64
	meanUncachedTokens float64
	candidateBuf       []placement.Candidate
	headBuf            []queueHead
	failedPlacements   int
	actions            []Action
	spareActions       []Action
	explanations       explanationRing
	trafficShare       float64
	lastAttempt        uint64
	nextTimers         tables.Instant
	nextServe          tables.Instant
	nextTurnover       tables.Instant
}

// New returns a router without a configuration. It refuses all requests until
// Configure is called.
func New(options Options) *Router {
	if options.ExplanationLimit <= 0 {
		options.ExplanationLimit = defaultExplanationLimit
	}
	suspects := quarantine.New(quarantine.Options{})
	r := &Router{
		suspects:           suspects,
		options:            options,
		profiles:           make(map[tables.ProfileName]*tables.Profile),
		pools:              make(map[poolKey]*pool),
		weights:            make(map[tables.ModelName]tables.WeightsVersion),
		endpoints:          tables.NewEndpoints(),
		requests:           make(map[tables.RequestID]*tables.RequestRow),
		attempts:           make(map[tables.AttemptID]*tables.AttemptRow),
		picker:             newPicker(suspects),
		cacheIndex:         cacheview.New(cacheview.Options{Entries: options.CacheIndexEntries}),
		homeHitRatio:       initialHomeHitRatio,
		depthStats:         make(map[tables.ProfileName]*depthStats),
		meanUncachedTokens: prefix.BlockTokens,
		explanations:       newExplanationRing(options.ExplanationLimit),
		trafficShare:       1,
	}
	for i := range r.classes {
		r.classes[i].round = 1
	}
	return r
}

// Configure applies a configuration. The router ignores a revision lower than
// the current one, so that a delayed message cannot revert it.
func (r *Router) Configure(now tables.Instant, c *tables.Configuration) {
	if r.config != nil && c.Revision < r.config.Revision {
		return
	}
	r.config = c
	clear(r.profiles)
	for i := range c.Profiles {
		r.profiles[c.Profiles[i].Name] = &c.Profiles[i]
	}
	r.pruneDepthStats()
	clear(r.weights)
	for i := range c.Models {
		r.weights[c.Models[i].Name] = c.Models[i].Weights
	}
	r.endpoints.Configure(c)
	r.rebuildPools(now)
	r.setOwnableEndpoints()
	r.configureOrganisations()
}

// Submit adds a request, on which the next Tick acts. The caller must not
// change the request afterwards. A request whose ID is already in progress is
// ignored.
func (r *Router) Submit(now tables.Instant, request *tables.Request) {
	if _, ok := r.requests[request.ID]; ok {
		return
	}
	profile, ok := r.profiles[request.Profile]
	if !ok {
		r.refuse(request, r.unknownProfileRefusal())
		return
	}
	row := &tables.RequestRow{
		Request:         request,
		Profile:         profile,
		Priority:        profile.Priority,
		Organisation:    r.flowOf(request.Organisation),
		SubmittedAt:     now,
		DeliveredTokens: request.DeliveredTokens,
		Weights:         request.Weights,
	}
	if refusal, ok := r.admit(now, row); !ok {
		r.refuse(request, refusal)
		return
	}
	r.requests[request.ID] = row
	r.prefixCounter.Add(now, request.Blocks)
	r.updateDepthStats(request)
	r.retryBudget.Deposit()
	r.newRequests = append(r.newRequests, row)
}

// unknownProfileRefusal distinguishes a profile that does not exist from a
// router that has no configuration yet.
func (r *Router) unknownProfileRefusal() tables.Refusal {
	if r.config == nil {
		return tables.Refusal{Code: tables.CodeNoEndpoint, RetryAfter: defaultRetryAfter}
	}
	return tables.Refusal{Code: tables.CodeUnknownProfile}
}

// admit applies the quarantine and the organisation's rate limit to a new
// request.
func (r *Router) admit(now tables.Instant, row *tables.RequestRow) (tables.Refusal, bool) {
	if code := r.quarantineCode(now, row.Request); code != 0 {
		return tables.Refusal{Code: code}, false
	}
	if wait := r.organisations.rows[row.Organisation].limiter.Admit(now, r.trafficShare); wait > 0 {
		return tables.Refusal{Code: tables.CodeOrganisationLimit, RetryAfter: wait}, false
	}
	return tables.Refusal{}, true
}

// Cancel ends a request that its caller no longer wants. The next Tick aborts
// its attempts; no later action refers to the request.
func (r *Router) Cancel(now tables.Instant, id tables.RequestID) {
	r.discardResult(id)
	row, ok := r.requests[id]
	if !ok || row.State == tables.Finished {
		return
	}
	r.abortAll(now, row)
	r.finish(row)
}

// discardResult drops a pending action that would report the end of the
// request.
func (r *Router) discardResult(id tables.RequestID) {
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

// Tick makes all decisions that are due and returns the resulting actions. The
// returned slice is valid until the next call of Tick returns.
func (r *Router) Tick(now tables.Instant) []Action {
	r.placeNewRequests(now)
	if now >= r.nextTimers {
		r.nextTimers = now + timerPeriod
		r.runTimers(now)
	}
	if now >= r.nextServe {
		r.nextServe = now + queuePeriod
		if r.overload.active(now) && r.overload.admitsDeferrable() {
			r.serveClass(now, tables.Background)
		}
		for p := range r.classes {
			r.serveClass(now, tables.Priority(p))
		}
	}
	r.shareQuarantine(now)
	out := r.actions
	r.actions, r.spareActions = r.spareActions[:0], out
	return out
}

// NextTick returns the instant of the next useful Tick if no input arrives
// before.
func (r *Router) NextTick(now tables.Instant) tables.Instant {
	if len(r.actions) > 0 || len(r.newRequests) > 0 {
		return now
	}
	next := max(now, r.nextTimers)
	for i := range r.classes {
		if r.classes[i].scheduler.ActiveFlows() > 0 {
			next = min(next, max(now, r.nextServe))
		}
	}
	return next
}
