package forward

import (
	"math"
	"math/bits"
	"time"

	"github.com/carawaystile/carawaystile/systems/admission"
	"github.com/carawaystile/carawaystile/systems/fairness"
	"github.com/carawaystile/carawaystile/tables"
)

const (
	// minAskInterval and maxAskInterval bound the time after which a request asks again that was
	// named a wait. The upper bound is needed because a queue shortens by a whole prompt at once
	// when its first event arrives, and because endpoints join.
	minAskInterval = 2 * time.Millisecond
	maxAskInterval = 50 * time.Millisecond
	// maxRefusalsPerRound bounds the placements of a model that fail in a row before its requests
	// pause. It bounds the questions to schedulers.
	maxRefusalsPerRound = 3
	// maxSize is the largest size of requests.
	maxSize = 32
	// admittedMaxWaitTargetDivisor divides the latency target into the time for which a request
	// waits in the queue.
	admittedMaxWaitTargetDivisor = 2
	// rateWindow is the time constant with which the queue's rate is measured. It covers dozens
	// of requests of an instance that places ten a second.
	rateWindow = 5 * time.Second
	// predictionSteps is the number of steps in which a predicted wait is refined. The work that
	// arrives meanwhile and starts earlier depends on the wait itself.
	predictionSteps = 2
)

// waiter is a request in a waitQueue.
type waiter struct {
	// row identifies the request in the queues of package waiting.
	row tables.RequestRow
	// organisation, priority, prompt and output describe the request, and target its target
	// latency; prompt and output are in tokens.
	organisation string
	priority     int
	// lessUrgent is set if another route to the service has a shorter target.
	lessUrgent     bool
	prompt, output int
	target         time.Duration
	// model is the model that the request names. restricted is set if the request may not go to
	// some endpoints, since it was sent to others before. That it finds no capacity says nothing
	// of other requests.
	model      string
	restricted bool
	arrivedAt  tables.Instant
	// startBy is the latest time at which the request may start, and rejectFrom the earliest at
	// which it may be rejected after it has joined the queue.
	startBy, rejectFrom tables.Instant
	// joinedAt is when the request joined the queue, and predicted the wait that was predicted
	// then; 0 if the queue's rate was not known.
	joinedAt  tables.Instant
	predicted time.Duration
	// earliest is the earliest start by all answers, and notBefore the earliest time of the next
	// question. An answer overestimates the wait by what an engine has computed of a prompt, since
	// a prompt counts in whole until its first event.
	earliest, notBefore tables.Instant
	// deferred is set while the last answer was PrefillPending: the request waits for another one
	// to compute a part of its prompt, or for the verdict whether it crashes endpoints.
	deferred bool
	// deadline is the latest end of the request.
	deadline tables.Instant
	flow     fairness.Flow
	// chargedAt is when the request was charged for its last placement; 0 if it was not.
	chargedAt tables.Instant
	// granted receives a value when the request may ask.
	granted chan struct{}
}

// cost is the request's cost in fair queueing, in tokens.
func (w *waiter) cost() float64 { return float64(max(1, w.prompt+w.output)) }

// classesPerPriority is the number of classes of a priority: that of the most urgent work and that
// of other work. Urgent work waits little where it has a class of its own: its queue is short, and
// its predicted wait does not count the long prompts of the others.
const classesPerPriority = 2

// class returns the index of the request's class.
func (w *waiter) class() int {
	index := classesPerPriority * min(max(w.priority, 0), lowestPriority)
	if w.lessUrgent {
		index++
	}
	return index
}

// size groups requests of about the same cost: it is the number of bits of the cost.
func (w *waiter) size() fairness.Flow {
	return fairness.Flow(min(bits.Len(uint(max(1, w.prompt+w.output))), maxSize))
}

// rejectAt returns when the request is rejected unless it has started: at startBy, or once no
// endpoint can start it by then. A deferred request waits until its deadline.
func (w *waiter) rejectAt() tables.Instant {
	at := w.startBy
	if w.earliest > w.startBy {
		at = min(at, w.rejectFrom)
	}
	if w.deferred {
		at = w.deadline
	}
	return at
}

// waitsBehind reports whether the request needs no less than one that could not be placed: it
// names the same model and has no smaller prompt, no smaller need of memory and no shorter target.
func (w *waiter) waitsBehind(refused *waiter) bool {
	return w.model == refused.model && w.prompt >= refused.prompt && w.prompt+w.output >= refused.prompt+refused.output && w.target >= refused.target
}

// questionKind returns for what the request's next question is.
func (w *waiter) questionKind() questionKind {
	if w.deferred {
		return forPrefill
	}
	return forCapacity
}

// waitQueue holds the requests for one service that wait for capacity at this instance. It
// decides which of them may ask for an endpoint next, and which are rejected. Requests are
// ordered by priority and urgency, by organisation (start-time fair queueing) and by the least time
// left to their target. A waitQueue has no clock and no goroutines and is not safe for
// concurrent use.
type waitQueue struct {
	classes [classesPerPriority * (lowestPriority + 1)]waitClass
	// flows numbers the organisations. freeFlows are numbers of organisations that were dropped at
	// the last sweep, at sweptAt, or before, and flowCount is the lowest number that was not used.
	flows     map[string]fairness.Flow
	freeFlows []fairness.Flow
	flowCount fairness.Flow
	sweptAt   tables.Instant
	waiters   map[*tables.RequestRow]*waiter
	// placing is the request that is asking for an endpoint; nil for none.
	placing *waiter
	// refused are the requests that could not be placed in this round, which ends at resumeAt.
	refused  []*waiter
	resumeAt tables.Instant
	// noneUntil is set if no request may ask: until that time, or, if it is forever, until a change.
	noneUntil tables.Instant
	// limit bounds the questions; nil for no bound.
	limit *questionLimit
}

// forever is later than any other time.
const forever = tables.Instant(math.MaxInt64)

func newWaitQueue() *waitQueue {
	q := &waitQueue{flows: map[string]fairness.Flow{}, waiters: map[*tables.RequestRow]*waiter{}}
	for i := range q.classes {
		q.classes[i].rate, q.classes[i].departures = admission.NewThroughput(rateWindow), admission.NewThroughput(rateWindow)
	}
	return q
}

// len returns the number of waiting requests.
func (q *waitQueue) len() int { return len(q.waiters) }

// classOf returns the class of a request and numbers its organisation.
func (q *waitQueue) classOf(w *waiter) *waitClass {
	flow, known := q.flows[w.organisation]
	if !known {
		flow = q.newFlow()
		q.flows[w.organisation] = flow
	}
	w.flow = flow
	class := &q.classes[w.class()]
	class.addFlow(flow)
	return class
}

// newFlow returns an unused number for an organisation.
func (q *waitQueue) newFlow() fairness.Flow {
	if last := len(q.freeFlows) - 1; last >= 0 {
		flow := q.freeFlows[last]
		q.freeFlows = q.freeFlows[:last]
		return flow
	}
	q.flowCount++
	return q.flowCount - 1
}

// dropIdleFlows forgets the organisations of which nothing is remembered that matters. In a
// service that stays saturated each organisation would otherwise cost memory for good.
func (q *waitQueue) dropIdleFlows(now tables.Instant) {
	if now-q.sweptAt < rateWindow {
		return
	}
	q.sweptAt = now
	for name, flow := range q.flows {
		idle := true
		for i := range q.classes {
			idle = idle && q.classes[i].isIdle(now, flow)
		}
		if idle {
			delete(q.flows, name)
			q.freeFlows = append(q.freeFlows, flow)
		}
	}
}

// predict returns the wait of a request that joins now, and whether the queue's rate is known.
func (q *waitQueue) predict(now tables.Instant, w *waiter) (time.Duration, bool) {
	class := q.classOf(w)
	// The request itself takes the time between two departures, whatever its size: where many
	// instances wait for the same endpoints, the rate of this queue is no rate of tokens.
	own, measured := class.departures.PredictedWait(now, 1)
	predicted := own
	for range predictionSteps {
		ahead, _ := class.rate.PredictedWait(now, class.ahead(now, w, predicted))
		predicted = ahead + own
	}
	return predicted, measured
}

// join adds a request unless its predicted wait exceeds what its target leaves. If it does, or
// if its organisation's queue is full, join returns false and the predicted wait.
func (q *waitQueue) join(now tables.Instant, w *waiter) (time.Duration, bool) {
	q.dropIdleFlows(now)
	predicted, measured := q.predict(now, w)
	class := q.classOf(w)
	class.addDemand(now, w)
	if measured && now+predicted > w.startBy || class.queued(w.flow) >= admission.MaxQueued {
		return predicted, false
	}
	w.joinedAt, w.predicted = now, predicted
	q.waiters[&w.row] = w
	class.add(now, w)
	if !q.waitsBehindRefused(w) {
		q.noneUntil = 0
	}
	return predicted, true
}

// leave removes a request that was rejected or has lost its caller.
func (q *waitQueue) leave(now tables.Instant, w *waiter) {
	if q.waiters[&w.row] == nil {
		return
	}
	delete(q.waiters, &w.row)
	q.classOf(w).remove(now, w)
	if q.placing == w {
		q.placing, q.noneUntil = nil, 0
	}
}

// placed removes the request that was asking and has started, and charges its organisation.
func (q *waitQueue) placed(now tables.Instant, w *waiter) {
	q.limit.giveBack(w.questionKind())
	q.charge(now, w)
	q.leave(now, w)
}

// charge counts a started request, whether it has waited or not, towards the shares of its
// organisation and its class.
func (q *waitQueue) charge(now tables.Instant, w *waiter) {
	q.classOf(w).charge(now, w)
	w.chargedAt = now
}

// refund takes back the charge for a request whose attempt has reached no process.
func (q *waitQueue) refund(now tables.Instant, w *waiter) {
	if w.chargedAt > 0 {
		q.classOf(w).refund(now, w.chargedAt, w)
		w.chargedAt = 0
	}
}

// full records that the request that was asking found no capacity. wait is the time until there
// is some; 0 if unknown.
func (q *waitQueue) full(now tables.Instant, w *waiter, wait time.Duration) {
	w.deferred, q.noneUntil = false, 0
	if w.earliest == 0 || now+wait < w.earliest {
		w.earliest = now + wait
	}
	if q.placing == w {
		q.placing = nil
	}
	if now >= q.resumeAt {
		q.refused = q.refused[:0]
	}
	interval := placementRetryInterval
	if wait > 0 {
		interval = min(max(wait, minAskInterval), maxAskInterval)
	}
	if w.restricted {
		w.notBefore = now + interval
		return
	}
	if len(q.refused) == 0 {
		q.resumeAt = now + interval
	}
	q.resumeAt = min(q.resumeAt, now+interval)
	q.refused = append(q.refused, w)
}

// postpone records that the request that was asking got no endpoint for a reason that does not
// concern others. deferred is set if the reason is PrefillPending.
func (q *waitQueue) postpone(now tables.Instant, w *waiter, deferred bool) {
	w.deferred, w.notBefore, q.noneUntil = deferred, now+placementRetryInterval, 0
	if q.placing == w {
		q.placing = nil
	}
}

// next returns the request that may ask now. If there is none it returns when to call next
// again; 0 for not before the next change. It looks at the requests only if one may have become
// able to ask since it last found none.
func (q *waitQueue) next(now tables.Instant) (*waiter, tables.Instant) {
	if q.placing != nil || q.len() == 0 || q.noneUntil == forever {
		return nil, 0
	}
	if now < q.noneUntil {
		return nil, q.noneUntil
	}
	if now >= q.resumeAt {
		q.refused = q.refused[:0]
	}
	again := tables.Instant(0)
	if len(q.refused) > 0 {
		again = q.resumeAt
	}
	for _, class := range q.order(now) {
		row := class.first(func(row *tables.RequestRow) bool {
			w := q.waiters[row]
			if q.waitsBehindRefused(w) {
				return false
			}
			at := max(w.notBefore, q.limit.allowedAt(now, w.questionKind()))
			if at > now && (again == 0 || at < again) {
				again = at
			}
			return at <= now
		})
		if row != nil {
			q.placing = q.waiters[row]
			q.limit.take(now, q.placing.questionKind())
			return q.placing, 0
		}
	}
	q.noneUntil = again
	if again == 0 {
		q.noneUntil = forever
	}
	return nil, again
}

// waitsBehindRefused reports whether the request waits behind one that could not be placed in
// this round, or behind as many of its model as may fail in a round.
func (q *waitQueue) waitsBehindRefused(w *waiter) bool {
	sameModel := 0
	for _, refused := range q.refused {
		if w == refused || w.waitsBehind(refused) {
			return true
		}
		if w.model == refused.model {
			sameModel++
		}
	}
	return sameModel >= maxRefusalsPerRound
}

// setLimits sets when the request must start and when it may be rejected. leastPrefill is the
// least time that its own prompt takes, and now the time of the request's first placement. The
// minimum of an eighth of the target counts from then, since it is the time in which an endpoint
// may become free, and a request's body may take long to arrive.
func (w *waiter) setLimits(now tables.Instant, leastPrefill time.Duration, isRetry bool) {
	if isRetry {
		w.startBy = now + w.target/retryMaxWaitTargetDivisor
		w.rejectFrom = w.startBy
		return
	}
	patience := min(w.target/admittedMaxWaitTargetDivisor, w.target-leastPrefill)
	w.rejectFrom = max(w.arrivedAt, now) + w.target/maxWaitTargetDivisor
	w.startBy = max(w.rejectFrom, w.arrivedAt+patience)
}

// retryAfter returns the time after which a request like the rejected one finds capacity: the
// wait of a request that joins now, or else the one that the answers have named.
func (q *waitQueue) retryAfter(now tables.Instant, w *waiter) time.Duration {
	predicted, measured := q.predict(now, w)
	if !measured {
		predicted = retryAfterOverload
	}
	return max(predicted, w.earliest-now)
}
