package measure

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/carawaystile/carawaystile/prefix"
	"github.com/carawaystile/carawaystile/router"
	"github.com/carawaystile/carawaystile/tables"
)

// engine is a model engine in virtual time: slots, a queue that honours
// priorities, one prefill at a time in chunks of one block, and a cache.
type engine struct {
	time   *timeline
	spec   tables.Endpoint
	boot   int
	up     bool
	slow   float64
	hangs  bool
	cache  *cache
	queue  [tables.PriorityCount][]*job
	active map[tables.AttemptID]*job
	// prefilling is the job whose chunk is being computed.
	prefilling *job
	ready      [tables.PriorityCount][]*job
	sequence   uint64
	// computed is the prompt tokens that were prefilled, recomputed those that
	// some engine of the site had prefilled before.
	computed, recomputed int
	prefillTime          time.Duration
	slotTime             time.Duration
	arrivals             int
	// known holds the blocks that were ever computed at the site.
	known map[tables.BlockHash]bool
}

// job is one attempt at an engine.
type job struct {
	dispatch router.Dispatch
	request  *tables.Request
	owner    *instance
	// done counts the prompt tokens that are in place, cached those among them
	// that were found.
	done, cached int
	admitted     bool
	admittedAt   tables.Instant
	gone         bool
	first        bool
	// firstAt and pace tell how far the answer has come.
	firstAt tables.Instant
	pace    float64
	order   int
}

// delivered is how many tokens of the answer have been sent, earlier attempts
// included.
func (j *job) delivered(now tables.Instant) int {
	if !j.first {
		return j.dispatch.ResumeFrom
	}
	sent := 1 + int((now-j.firstAt).Seconds()*j.pace)
	return min(j.request.MaxTokens, j.dispatch.ResumeFrom+sent)
}

func newEngine(t *timeline, spec tables.Endpoint, known map[tables.BlockHash]bool) *engine {
	return &engine{
		known: known,
		time:  t, spec: spec, up: true, slow: 1, boot: 1,
		cache: newCache(spec.CacheBlocks), active: make(map[tables.AttemptID]*job),
	}
}

func (e *engine) bootID() tables.BootID {
	return tables.BootID(fmt.Sprintf("%s#%d", e.spec.ID, e.boot))
}

func (e *engine) arrive(j *job) {
	if !e.up {
		j.owner.ended(j, router.Unreachable)
		return
	}
	e.arrivals++
	j.order = e.arrivals
	e.active[j.dispatch.Attempt] = j
	j.owner.observe(router.AttemptStarted{Attempt: j.dispatch.Attempt, Boot: e.bootID(), Weights: j.dispatch.Weights})
	p := j.dispatch.Priority
	e.queue[p] = append(e.queue[p], j)
	e.admit()
}

func (e *engine) running() int {
	n := 0
	for _, j := range e.active {
		if j.admitted {
			n++
		}
	}
	return n
}

func (e *engine) admit() {
	free := e.spec.Slots - e.running()
	for free > 0 {
		j := pop(&e.queue)
		if j == nil {
			break
		}
		j.admitted = true
		j.admittedAt = e.time.now
		free--
		p := j.dispatch.Priority
		e.ready[p] = append(e.ready[p], j)
	}
	e.compute()
}

func pop(queues *[tables.PriorityCount][]*job) *job {
	for p := range queues {
		for len(queues[p]) > 0 {
			j := queues[p][0]
			queues[p] = queues[p][1:]
			if !j.gone {
				return j
			}
		}
	}
	return nil
}

// compute begins the next chunk of the most urgent prefill.
func (e *engine) compute() {
	if e.prefilling != nil || !e.up || e.hangs {
		return
	}
	j := pop(&e.ready)
	if j == nil {
		return
	}
	e.skipCached(j)
	chunk := min(prefix.BlockTokens, j.request.PromptTokens-j.done)
	e.prefilling = j
	took := e.seconds(float64(chunk) / e.spec.PrefillRate)
	if e.time.counted(e.time.now) {
		e.prefillTime += took
	}
	e.time.after(took, func() { e.chunkDone(j, chunk) })
}

func (e *engine) seconds(s float64) tables.Instant {
	return time.Duration(s * e.slow * float64(time.Second))
}

func (e *engine) skipCached(j *job) {
	blocks := j.request.Blocks
	for i := j.done / prefix.BlockTokens; i < len(blocks) && e.cache.has(blocks[i]); i++ {
		j.done += prefix.BlockTokens
		j.cached += prefix.BlockTokens
	}
	e.cache.touch(blocks[:min(len(blocks), j.done/prefix.BlockTokens)])
}

func (e *engine) chunkDone(j *job, chunk int) {
	if e.prefilling != j {
		return
	}
	e.prefilling = nil
	if !j.gone {
		e.place(j, chunk)
	}
	e.compute()
}

// place takes a computed chunk into the cache and goes on with the prefill or
// the answer.
func (e *engine) place(j *job, chunk int) {
	if e.time.now >= warmUp {
		e.computed += chunk
	}
	level := j.done / prefix.BlockTokens
	if level < len(j.request.Blocks) {
		hash := j.request.Blocks[level]
		if e.known[hash] && e.time.now >= warmUp {
			e.recomputed += chunk
		}
		e.known[hash] = true
		e.cache.store(hash)
		e.cache.touch(j.request.Blocks[:level+1])
	}
	j.done += chunk
	if j.done < j.request.PromptTokens {
		p := j.dispatch.Priority
		e.ready[p] = append([]*job{j}, e.ready[p]...)
		return
	}
	e.answer(j)
}

func (e *engine) answer(j *job) {
	j.first = true
	j.firstAt = e.time.now
	j.owner.firstToken(j)
	busy := float64(e.running()) / float64(e.spec.Slots)
	j.pace = e.spec.DecodeRate / (1 + busy/2) / e.slow
	left := j.request.MaxTokens - j.dispatch.ResumeFrom
	rest := time.Duration(float64(left) / j.pace * float64(time.Second))
	e.time.after(rest, func() {
		if !j.gone && !e.hangs {
			e.end(j, router.Completed)
		}
	})
}

func (e *engine) end(j *job, end router.AttemptResult) {
	j.gone = true
	if j.admitted && e.time.counted(j.admittedAt) {
		e.slotTime += min(e.time.now, e.time.horizon) - j.admittedAt
	}
	delete(e.active, j.dispatch.Attempt)
	j.owner.ended(j, end)
	if e.up {
		e.admit()
	}
}

func (e *engine) cancel(id tables.AttemptID) {
	if j, ok := e.active[id]; ok {
		e.end(j, router.Cancelled)
	}
}

// crash ends everything at once; the engine comes back empty after a while.
func (e *engine) crash(back tables.Instant) {
	e.up = false
	e.prefilling = nil
	for _, j := range e.sorted() {
		e.end(j, router.Crashed)
	}
	e.queue, e.ready = [tables.PriorityCount][]*job{}, [tables.PriorityCount][]*job{}
	e.time.after(back, func() {
		e.up = true
		e.boot++
		e.sequence = 0
		next := e.cache.nextUse
		e.cache = newCache(e.spec.CacheBlocks)
		e.cache.nextUse = next
	})
}

// sorted returns the active jobs in order of arrival.
func (e *engine) sorted() []*job {
	list := make([]*job, 0, len(e.active))
	for _, j := range e.active {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int { return cmp.Compare(a.order, b.order) })
	return list
}

// uncached is the prefill work of a job that is not done.
func (e *engine) uncached(j *job) int {
	held := e.cache.prefix(j.request.Blocks) * prefix.BlockTokens
	return max(0, j.request.PromptTokens-max(held, j.done))
}

func (e *engine) report() router.LoadReport {
	r := router.LoadReport{
		Endpoint: e.spec.ID, Boot: e.bootID(), CacheBlocks: e.spec.CacheBlocks,
		Weights: map[tables.ModelName]tables.WeightsVersion{modelName: weightsVersion},
	}
	for _, j := range e.sorted() {
		r.Attempts = append(r.Attempts, j.dispatch.Attempt)
		if j.admitted {
			r.Running++
		} else {
			r.Queued++
		}
		if !j.first {
			r.QueuedPrefillTokens += e.uncached(j)
		}
	}
	return r
}

// events takes what entered and left the cache since the last call.
func (e *engine) events() (router.CacheEvent, bool) {
	if len(e.cache.stored)+len(e.cache.evicted) == 0 {
		return router.CacheEvent{}, false
	}
	e.sequence++
	event := router.CacheEvent{
		Endpoint: e.spec.ID, Boot: e.bootID(), Sequence: e.sequence,
		Stored: e.cache.stored, Evicted: e.cache.evicted,
	}
	e.cache.stored, e.cache.evicted = nil, nil
	return event, true
}
