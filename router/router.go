package router

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/systems/placement"
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
	// Explanations is how many decisions Explain remembers; 0 means 256.
	Explanations int
}

const (
	defaultExplanations = 256
	// tickPeriod is the longest time between two ticks while there is work.
	tickPeriod = 50 * time.Millisecond
)

// Router decides where, when and whether each request runs. It is not safe for
// concurrent use: the owner calls it from one goroutine with readings of one
// monotonic clock that never go back.
type Router struct {
	options   Options
	config    *tables.Configuration
	profiles  map[tables.ProfileName]*tables.Profile
	weights   map[tables.ModelName]tables.WeightsVersion
	endpoints *tables.Endpoints
	requests  map[tables.RequestID]*tables.RequestRow
	attempts  map[tables.AttemptID]*tables.AttemptRow
	pending   [tables.Priorities][]*tables.RequestRow
	picker    placement.Picker
	scratch   []placement.Candidate
	actions   []Action
	spare     []Action
	explained ring
	share     float64
	lastID    uint64
}

// New returns a router without a configuration, which refuses all requests
// until it has one.
func New(options Options) *Router {
	if options.Explanations <= 0 {
		options.Explanations = defaultExplanations
	}
	return &Router{
		options:   options,
		profiles:  make(map[tables.ProfileName]*tables.Profile),
		weights:   make(map[tables.ModelName]tables.WeightsVersion),
		endpoints: tables.NewEndpoints(),
		requests:  make(map[tables.RequestID]*tables.RequestRow),
		attempts:  make(map[tables.AttemptID]*tables.AttemptRow),
		picker:    standardPicker(),
		explained: newRing(options.Explanations),
		share:     1,
	}
}

// Configure puts a configuration in force. One with a lower revision than the
// present one is ignored, so that a late message cannot revert it.
func (r *Router) Configure(_ tables.Instant, c *tables.Configuration) {
	if r.config != nil && c.Revision < r.config.Revision {
		return
	}
	r.config = c
	clear(r.profiles)
	for i := range c.Profiles {
		r.profiles[c.Profiles[i].Name] = &c.Profiles[i]
	}
	clear(r.weights)
	for i := range c.Models {
		r.weights[c.Models[i].Name] = c.Models[i].Weights
	}
	r.endpoints.Configure(c)
	for _, row := range r.requests {
		if profile, ok := r.profiles[row.Request.Profile]; ok {
			row.Profile = profile
		}
	}
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
		r.refuse(now, request, tables.Refusal{Code: tables.CodeUnknownProfile})
		return
	}
	row := &tables.RequestRow{
		Request:   request,
		Profile:   profile,
		Submitted: now,
		Delivered: request.Delivered,
		Weights:   request.Weights,
	}
	r.requests[request.ID] = row
	r.enqueue(row)
}

// Cancel ends a request because its caller no longer wants it. Its attempts
// are aborted by the next Tick; no further action names the request.
func (r *Router) Cancel(now tables.Instant, id tables.RequestID) {
	row, ok := r.requests[id]
	if !ok {
		return
	}
	r.abortAll(now, row)
	r.finish(row)
}

// Tick decides what can be decided now. The returned slice is reused by the
// next Tick.
func (r *Router) Tick(now tables.Instant) []Action {
	r.expire(now)
	for priority := range r.pending {
		r.placePending(now, priority)
	}
	out := r.actions
	r.actions, r.spare = r.spare[:0], out
	return out
}

// NextTick is when Tick is next worth calling if nothing happens before.
func (r *Router) NextTick(now tables.Instant) tables.Instant {
	if len(r.actions) > 0 {
		return now
	}
	return now + tickPeriod
}

func (r *Router) enqueue(row *tables.RequestRow) {
	row.State = tables.Pending
	priority := row.Urgency()
	r.pending[priority] = append(r.pending[priority], row)
}

func (r *Router) placePending(now tables.Instant, priority int) {
	queue := r.pending[priority]
	kept := queue[:0]
	for _, row := range queue {
		if row.State != tables.Pending {
			continue
		}
		if row.NotBefore > now || !r.place(now, row, false) {
			kept = append(kept, row)
		}
	}
	clear(queue[len(kept):])
	r.pending[priority] = kept
}

// expire ends the requests whose deadline has passed.
func (r *Router) expire(now tables.Instant) {
	var late []*tables.RequestRow
	for _, row := range r.requests {
		if row.State != tables.Final && row.Request.Deadline > 0 && now >= row.Request.Deadline {
			late = append(late, row)
		}
	}
	slices.SortFunc(late, func(a, b *tables.RequestRow) int {
		return cmp.Compare(a.Request.ID, b.Request.ID)
	})
	for _, row := range late {
		r.timeout(now, row)
	}
}
