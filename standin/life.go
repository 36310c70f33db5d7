package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carawaystile/carawaystile/engine"
	"github.com/carawaystile/carawaystile/prefix"
	"github.com/carawaystile/carawaystile/tables"
)

// prefillChunk is how many prompt tokens one step computes at most, so that
// a long prompt does not stop the others' answers for long.
const prefillChunk = 2048

// attempt is one attempt that an engine took in.
type attempt struct {
	req     engine.GenerateRequest
	weights tables.WeightsVersion
	owner   string
	text    Text
	blocks  []tables.BlockHash
	pinned  []*block

	promptTokens int
	// foundTokens were cached when the attempt was taken in, cachedTokens when
	// it left the queue.
	foundTokens  int
	cachedTokens int
	prefillLeft  int

	// produced counts tokens of the whole answer, those before ResumeFrom
	// included; over is set after the last one.
	produced atomic.Int64
	over     atomic.Bool
	notify   chan struct{}
	// gone is closed when the attempt was cancelled.
	gone   chan struct{}
	cancel sync.Once
}

func (a *attempt) wake() {
	select {
	case a.notify <- struct{}{}:
	default:
	}
}

// life is one life of an engine's process: its cache, queue and batch.
type life struct {
	engine *Engine
	boot   tables.BootID
	ctx    context.Context
	end    context.CancelFunc
	work   chan struct{}

	mu      sync.Mutex
	cache   *cache
	queue   []*attempt
	running []*attempt
	log     eventLog
	loads   loadHistory
}

func newLife(e *Engine, boot tables.BootID) *life {
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{
		engine: e,
		boot:   boot,
		ctx:    ctx,
		end:    cancel,
		work:   make(chan struct{}, 1),
		cache:  newCache(e.options.CacheBlocks, e.scaled(e.options.CacheKeep)),
	}
	l.log.init(e.scaled(e.options.EventDelay), e.options.EventLoss)
	l.loads.lag = e.scaled(e.options.LoadLag)
	return l
}

// run computes steps until the life ends.
func (l *life) run() {
	due := time.Now()
	for {
		cost, poisoned := l.plan()
		if poisoned {
			go l.engine.crashAndReturn()
			return
		}
		if cost < 0 {
			select {
			case <-l.work:
			case <-l.ctx.Done():
				return
			}
			due = time.Now()
			continue
		}
		due = due.Add(l.engine.scaled(cost))
		if !l.waitUntil(due) {
			return
		}
		l.step()
	}
}

// waitUntil waits for the step's end and for the gate; it reports false when
// the life ended.
func (l *life) waitUntil(due time.Time) bool {
	if wait := time.Until(due); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-l.ctx.Done():
			return false
		}
	}
	select {
	case <-l.engine.hang.opened():
		return l.ctx.Err() == nil
	case <-l.ctx.Done():
		return false
	}
}

// plan fills the batch and returns what the next step costs, or a negative
// cost when there is nothing to do.
func (l *life) plan() (cost time.Duration, poisoned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.publish(nil, l.cache.expire(now))
	for len(l.running) < l.engine.options.Slots && len(l.queue) > 0 {
		next := l.queue[0]
		l.queue = slices.Delete(l.queue, 0, 1)
		l.start(next, now)
		if strings.Contains(next.req.Prompt, PoisonMark) {
			return 0, true
		}
	}
	l.loads.note(l.report, now)
	if len(l.running) == 0 {
		return -1, false
	}
	prefill, decoding := l.shares()
	seconds := float64(prefill)/l.engine.options.PrefillRate + float64(decoding)/l.engine.options.DecodeRate
	return l.engine.options.StepTime + time.Duration(seconds*float64(time.Second)), false
}

// shares returns the prompt tokens and the answers that the next step computes.
func (l *life) shares() (prefill, decoding int) {
	for _, a := range l.running {
		if a.prefillLeft == 0 {
			decoding++
			continue
		}
		prefill += min(a.prefillLeft, prefillChunk-prefill)
	}
	return prefill, decoding
}

// start moves an attempt into the batch.
func (l *life) start(a *attempt, now time.Time) {
	used := l.cache.match(a.blocks, now)
	for _, b := range used {
		b.pins++
	}
	a.pinned = used
	a.cachedTokens = len(used) * prefix.BlockTokens
	a.prefillLeft = a.promptTokens - a.cachedTokens + a.req.ResumeFrom
	l.running = append(l.running, a)
	l.engine.options.Records.started(a, used, l.boot)
}

// step does what plan promised.
func (l *life) step() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	budget := prefillChunk
	running := l.running[:0]
	for _, a := range l.running {
		if a.prefillLeft > 0 {
			done := min(a.prefillLeft, budget)
			budget -= done
			a.prefillLeft -= done
			if a.prefillLeft == 0 {
				l.store(a, now)
			}
			running = append(running, a)
			continue
		}
		if l.decode(a) {
			running = append(running, a)
		}
	}
	clear(l.running[len(running):])
	l.running = running
}

// store puts the prompt's blocks into the cache and tells about it.
func (l *life) store(a *attempt, now time.Time) {
	var stored, evicted []tables.BlockHash
	for _, hash := range a.blocks[len(a.pinned):] {
		gone, ok := l.cache.insert(&block{hash: hash, owner: a.owner, weights: a.weights, boot: l.boot}, now)
		evicted = append(evicted, gone...)
		if ok {
			stored = append(stored, hash)
		}
	}
	l.publish(stored, evicted)
}

func (l *life) publish(stored, evicted []tables.BlockHash) {
	if len(stored)+len(evicted) > 0 {
		l.log.add(stored, evicted, time.Now())
	}
}

// decode computes one token of an answer and reports whether more are due.
func (l *life) decode(a *attempt) bool {
	produced := a.produced.Add(1)
	more := int(produced) < a.req.MaxTokens
	if !more {
		l.unpin(a)
		a.over.Store(true)
		l.engine.options.Records.ended(a.req.Attempt, int(produced), EndCompleted)
	}
	a.wake()
	return more
}

func (l *life) unpin(a *attempt) {
	for _, b := range a.pinned {
		b.pins--
	}
	a.pinned = nil
}

// enqueue takes an attempt in, behind those of equal or more urgent priority.
// It reports false when the queue is full.
func (l *life) enqueue(a *attempt) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) >= l.engine.options.MaxQueue {
		return false
	}
	at, _ := slices.BinarySearchFunc(l.queue, a.req.Priority, func(other *attempt, p tables.Priority) int {
		if other.req.Priority > p {
			return 1
		}
		return -1
	})
	a.foundTokens = len(l.cache.match(a.blocks, time.Now())) * prefix.BlockTokens
	l.engine.options.Records.accepted(AttemptRecord{
		Attempt: a.req.Attempt, Endpoint: l.engine.options.ID, Boot: l.boot,
		Weights: a.weights, Owner: a.owner, ResumeFrom: a.req.ResumeFrom,
		Work: PromptWork(a.req.Prompt),
	})
	l.queue = slices.Insert(l.queue, at, a)
	select {
	case l.work <- struct{}{}:
	default:
	}
	return true
}

// drop cancels an attempt and reports whether it was still there.
func (l *life) drop(id tables.AttemptID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	same := func(a *attempt) bool { return a.req.Attempt == id }
	for _, group := range []*[]*attempt{&l.queue, &l.running} {
		at := slices.IndexFunc(*group, same)
		if at < 0 {
			continue
		}
		a := (*group)[at]
		*group = slices.Delete(*group, at, at+1)
		l.unpin(a)
		l.engine.options.Records.ended(id, int(a.produced.Load()), EndCancelled)
		a.cancel.Do(func() { close(a.gone) })
		return true
	}
	return false
}

// busy counts what is queued and running.
func (l *life) busy() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ctx.Err() != nil {
		return 0
	}
	return len(l.queue) + len(l.running)
}

// cut notes that an attempt was lost in a crash.
func (l *life) cut(a *attempt) {
	l.engine.options.Records.ended(a.req.Attempt, int(a.produced.Load()), EndCut)
}
