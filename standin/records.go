package standin

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaystile/carawaystile/prefix"
	"github.com/carawaystile/carawaystile/tables"
)

// End says how an attempt ended at a stand-in engine.
type End string

// The ends of an attempt.
const (
	EndRunning   End = "running"
	EndCompleted End = "completed"
	EndCancelled End = "cancelled"
	EndCut       End = "cut"
)

// AttemptRecord is what a stand-in engine knows of one attempt.
type AttemptRecord struct {
	Attempt  tables.AttemptID
	Endpoint tables.EndpointID
	Boot     tables.BootID
	Weights  tables.WeightsVersion
	// Owner is the organisation that the prompt itself names.
	Owner string
	// Work identifies the prompt.
	Work uint64
	// Ran is set once the engine computed anything for the attempt.
	Ran            bool
	ResumeFrom     int
	Emitted        int
	CachedTokens   int
	ComputedTokens int
	End            End
}

// PromptWork identifies a prompt in the records.
func PromptWork(prompt string) uint64 { return xxhash.Sum64String(prompt) }

// Totals sums up what a group of stand-ins has seen. The fields of the second
// part break a promise when they are not zero.
type Totals struct {
	Attempts  int `json:"attempts"`
	Ran       int `json:"ran"`
	Completed int `json:"completed"`
	Cancelled int `json:"cancelled"`
	Cut       int `json:"cut"`
	Declined  int `json:"declined"`
	Crashes   int `json:"crashes"`
	// CachedTokens and ComputedTokens split the prompt tokens of all attempts
	// that ran. RecomputedTokens are those of the computed ones that some
	// stand-in of the group had computed before.
	CachedTokens     int `json:"cached_tokens"`
	ComputedTokens   int `json:"computed_tokens"`
	RecomputedTokens int `json:"recomputed_tokens"`
	// ResumedTokens are tokens of answers that were prefilled again to resume.
	ResumedTokens int `json:"resumed_tokens"`
	EmittedTokens int `json:"emitted_tokens"`

	ForeignCache      int `json:"foreign_cache"`
	OldWeightsCache   int `json:"old_weights_cache"`
	DeadCache         int `json:"dead_cache"`
	BadResumes        int `json:"bad_resumes"`
	DuplicateAttempts int `json:"duplicate_attempts"`
	// OldOrders counts orders with an older fencing number that a stand-in
	// which does not check them carried out.
	OldOrders int `json:"old_orders"`
}

// Records are kept by a group of stand-in engines together. They are the
// stand-ins' own view and owe nothing to the router's word.
type Records struct {
	mu       sync.Mutex
	totals   Totals
	attempts map[tables.AttemptID]*AttemptRecord
	computed map[tables.BlockHash]struct{}
}

// NewRecords returns empty records.
func NewRecords() *Records {
	return &Records{
		attempts: make(map[tables.AttemptID]*AttemptRecord),
		computed: make(map[tables.BlockHash]struct{}),
	}
}

// Totals returns the sums so far.
func (r *Records) Totals() Totals {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.totals
}

// Attempts returns a copy of every record.
func (r *Records) Attempts() []AttemptRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]AttemptRecord, 0, len(r.attempts))
	for _, record := range r.attempts {
		all = append(all, *record)
	}
	return all
}

func (r *Records) update(change func(t *Totals)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.totals)
}

func (r *Records) accepted(record AttemptRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.Attempts++
	if _, ok := r.attempts[record.Attempt]; ok {
		r.totals.DuplicateAttempts++
	}
	record.End = EndRunning
	r.attempts[record.Attempt] = &record
}

// started notes that an attempt left the queue.
func (r *Records) started(a *attempt, used []*block, boot tables.BootID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.Ran++
	r.totals.CachedTokens += a.cachedTokens
	r.totals.ComputedTokens += a.promptTokens - a.cachedTokens
	r.totals.ResumedTokens += a.req.ResumeFrom
	for _, b := range used {
		r.checkUse(a, b, boot)
	}
	for _, hash := range a.blocks[len(used):] {
		if _, ok := r.computed[hash]; ok {
			r.totals.RecomputedTokens += prefix.BlockTokens
		}
		r.computed[hash] = struct{}{}
	}
	if record := r.attempts[a.req.Attempt]; record != nil {
		record.Ran = true
		record.CachedTokens = a.cachedTokens
		record.ComputedTokens = a.promptTokens - a.cachedTokens
	}
}

func (r *Records) checkUse(a *attempt, b *block, boot tables.BootID) {
	if b.owner != a.owner {
		r.totals.ForeignCache++
	}
	if b.weights != a.weights {
		r.totals.OldWeightsCache++
	}
	if b.boot != boot {
		r.totals.DeadCache++
	}
}

func (r *Records) ended(id tables.AttemptID, emitted int, end End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record := r.attempts[id]
	if record == nil || record.End != EndRunning {
		return
	}
	record.End = end
	record.Emitted = emitted
	r.totals.EmittedTokens += emitted - record.ResumeFrom
	switch end {
	case EndCompleted:
		r.totals.Completed++
	case EndCancelled:
		r.totals.Cancelled++
	case EndCut:
		r.totals.Cut++
	}
}
