package forward

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/tables"
)

// saturationQuiet is how long no request has to wait before a service counts as not saturated
// any more. It is longer than the gaps between placements at the edge of saturation, at which
// the log would hold two lines for each gap.
const saturationQuiet = time.Second

// admissionControl holds the requests that wait for capacity, by service. It is safe for
// concurrent use.
type admissionControl struct {
	now     func() tables.Instant
	log     *zap.Logger
	metrics *admissionMetrics

	mu     sync.Mutex
	queues map[string]*serviceQueue
	// limit bounds the questions of all queues; nil if there are no schedulers to ask.
	limit *questionLimit
}

func newAdmissionControl(o *Options) *admissionControl {
	a := &admissionControl{now: o.Now, log: o.Log, metrics: newAdmissionMetrics(o.Registry), queues: map[string]*serviceQueue{}}
	if o.Scheduler != nil {
		a.limit = newQuestionLimit()
	}
	return a
}

// serviceQueue is the waiting queue of one service. The admissionControl's mu guards it.
type serviceQueue struct {
	*waitQueue
	service string
	// timer calls next when a request may ask again.
	timer *time.Timer
	// saturatedSince is when the service became saturated; 0 if it is not. lastFullAt is when a
	// request last found no capacity, and rejected counts the rejections since saturatedSince.
	saturatedSince, lastFullAt tables.Instant
	rejected                   int
}

// queue returns the queue of a service. The caller holds mu.
func (a *admissionControl) queue(service string) *serviceQueue {
	q := a.queues[service]
	if q == nil {
		q = &serviceQueue{waitQueue: newWaitQueue(), service: service}
		q.limit = a.limit
		q.timer = time.AfterFunc(time.Hour, func() { a.update(service, func(*serviceQueue, tables.Instant) {}) })
		q.timer.Stop()
		a.queues[service] = q
	}
	return q
}

// update changes a queue, then grants a question to the request that may ask next.
func (a *admissionControl) update(service string, change func(q *serviceQueue, now tables.Instant)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q, now := a.queue(service), a.now()
	change(q, now)
	next, again := q.next(now)
	if next != nil {
		next.granted <- struct{}{}
	}
	if q.saturatedSince > 0 && q.len() == 0 {
		if again = q.lastFullAt + saturationQuiet; now >= again {
			a.endSaturation(q, now)
			again = 0
		}
	}
	if again > 0 {
		q.timer.Reset(max(0, again-now))
	}
}

// hasWaiting reports whether requests for a service wait.
func (a *admissionControl) hasWaiting(service string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queue(service).len() > 0
}

// takeQuestion counts a question of a request that is not in a queue, and reports whether it may be
// asked.
func (a *admissionControl) takeQuestion(w *waiter) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.limit.take(a.now(), w.questionKind())
}

// logSaturated records that a request found no capacity. The caller holds mu.
func (a *admissionControl) logSaturated(q *serviceQueue, now tables.Instant, reason dispatch.RejectReason, wait time.Duration) {
	q.lastFullAt = now
	if q.saturatedSince > 0 {
		return
	}
	q.saturatedSince, q.rejected = now, 0
	events.ServiceSaturated.Log(a.log, zap.String("service", q.service), zap.String("reason", string(reason)), zap.Duration("wait", wait))
}

// endSaturation records that no request waits any more, and forgets the rates and shares. The caller holds mu.
func (a *admissionControl) endSaturation(q *serviceQueue, now tables.Instant) {
	events.ServiceDesaturated.Log(a.log, zap.String("service", q.service), zap.Duration("took", now-q.saturatedSince), zap.Int("rejected", q.rejected))
	q.saturatedSince, q.waitQueue = 0, newWaitQueue()
	q.limit = a.limit
}

// chargeIfSaturated counts a request that was placed without waiting towards the shares of its
// organisation. While the service is not saturated no shares are kept, since most services never
// are and each organisation costs memory.
func (q *serviceQueue) chargeIfSaturated(now tables.Instant, w *waiter) {
	if q.saturatedSince > 0 {
		q.charge(now, w)
	}
}

// setUrgentTarget sets the shortest target of the routes to the service if admission is enabled
// for it. Only generations compete for the queues and slots that admission bounds.
func (c *clientRequest) setUrgentTarget() {
	s := c.server
	if s.options.Dispatch.Capacity.Admission == dispatch.Off || c.dispatchRequest.Model == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dispatch.AdmissionEnabled(c.service.Name) {
		c.dispatchRequest.UrgentTarget = c.table.UrgentTarget(c.service.Name)
	}
}

// newWaiter returns the request in the form in which it waits for its next attempt. Any attempt
// but the first is a retry, also after one that reached no process and does not count.
func (c *clientRequest) newWaiter() *waiter {
	now, isRetry := c.now(), c.admissionAsked
	c.admissionAsked = true
	w := &waiter{
		priority: c.dispatchRequest.Priority, lessUrgent: c.latencyTarget() > c.dispatchRequest.UrgentTarget, organisation: string(c.organisationID()),
		model: c.dispatchRequest.Model, restricted: len(c.dispatchRequest.Tried) > 0 || c.dispatchRequest.DeliveredAttempts > 0,
		prompt: c.dispatchRequest.PromptTokens, output: c.dispatchRequest.OutputTokens,
		target: c.latencyTarget(), arrivedAt: c.arrivedAt, granted: make(chan struct{}, 1),
	}
	w.setLimits(now, c.leastPrefillTime(), isRetry)
	w.startBy, w.deadline = min(w.startBy, c.deadline), c.deadline
	return w
}

func (c *clientRequest) leastPrefillTime() time.Duration {
	s := c.server
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatch.LeastPrefillTime(&c.dispatchRequest)
}

// awaitAdmission places the next attempt as awaitPlacement does. While admission is enabled for
// the service, requests that find no capacity wait in the service's queue.
func (c *clientRequest) awaitAdmission() (*dispatch.Attempt, tables.ErrorCode) {
	if placement := c.takeReserved(); placement != nil {
		return placement, 0
	}
	if c.dispatchRequest.UrgentTarget == 0 {
		return c.awaitPlacement()
	}
	a, w := c.server.admission, c.newWaiter()
	c.admitted = w
	if c.rejectPushedBack(w) {
		return nil, tables.CodeOverloaded
	}
	// A request that reuses a prompt which another one computes needs the endpoint of that one
	// and not the capacity for which others wait. One whose verdict is pending needs none yet.
	for w.deferred || !a.hasWaiting(c.service.Name) {
		if !a.takeQuestion(w) {
			if w.deferred && c.pause() {
				continue
			}
			break
		}
		kind, answer := w.questionKind(), c.ask(w)
		w.deferred = answer.reason == dispatch.PrefillPending
		switch {
		case answer.placement != nil:
			a.update(c.service.Name, func(q *serviceQueue, now tables.Instant) {
				a.limit.giveBack(kind)
				q.chargeIfSaturated(now, w)
			})
			return answer.placement, 0
		case answer.code != 0:
			return nil, answer.code
		case answer.full():
			a.update(c.service.Name, func(q *serviceQueue, now tables.Instant) { a.recordFull(q, now, w, answer) })
			return c.awaitInQueue(w)
		case !c.pause():
			return nil, rejectCode(answer.reason)
		}
	}
	return c.awaitInQueue(w)
}

// refundAdmission takes back what the attempt that has ended was charged, if it has reached no
// process.
func (c *clientRequest) refundAdmission(result dispatch.Outcome) {
	if c.admitted == nil || !notDelivered(result) {
		return
	}
	c.server.admission.update(c.service.Name, func(q *serviceQueue, now tables.Instant) {
		// The charge is gone if the service has not been saturated meanwhile.
		if q.saturatedSince > 0 && q.saturatedSince <= c.admitted.chargedAt {
			q.refund(now, c.admitted)
		}
	})
}

// pause waits for the interval between two placements. It returns false if the request has ended
// meanwhile.
func (c *clientRequest) pause() bool {
	select {
	case <-c.ctx.Done():
		return false
	case <-time.After(placementRetryInterval):
		return true
	}
}

// awaitInQueue waits in the service's queue until the request is placed or rejected.
func (c *clientRequest) awaitInQueue(w *waiter) (*dispatch.Attempt, tables.ErrorCode) {
	a, service := c.server.admission, c.service.Name
	if !c.join(w) {
		return nil, tables.CodeOverloaded
	}
	defer a.update(service, func(q *serviceQueue, now tables.Instant) { q.leave(now, w) })
	for {
		if !c.awaitGrant(w) {
			return nil, tables.CodeOverloaded
		}
		answer := c.ask(w)
		if answer.code != 0 {
			a.update(service, func(_ *serviceQueue, now tables.Instant) { c.endWait(now, w, notPlaceable) })
			return nil, answer.code
		}
		a.update(service, func(q *serviceQueue, now tables.Instant) {
			switch {
			case answer.placement != nil:
				c.endWait(now, w, "")
				q.placed(now, w)
			case answer.full():
				a.recordFull(q, now, w, answer)
			default:
				q.postpone(now, w, answer.reason == dispatch.PrefillPending)
			}
		})
		if answer.placement != nil {
			return answer.placement, 0
		}
	}
}

// recordFull records that a request found no capacity. The caller holds a.mu.
func (a *admissionControl) recordFull(q *serviceQueue, now tables.Instant, w *waiter, answer placementAnswer) {
	q.full(now, w, answer.wait)
	a.logSaturated(q, now, answer.reason, answer.wait)
}

// join adds the request to its service's queue, or rejects it if it would wait for too long.
func (c *clientRequest) join(w *waiter) (joined bool) {
	c.server.admission.update(c.service.Name, func(q *serviceQueue, now tables.Instant) {
		var predicted time.Duration
		predicted, joined = q.join(now, w)
		c.waitPredicted = predicted
		if !joined {
			q.rejected++
			c.retryAfter = saturatedRetryAfter(q.retryAfter(now, w))
			c.endWait(now, w, rejectedOnArrival)
		}
	})
	return joined
}

// awaitGrant waits until the request may ask. It returns false if the request is rejected
// first, or has ended.
func (c *clientRequest) awaitGrant(w *waiter) bool {
	a, service := c.server.admission, c.service.Name
	for {
		timer := time.NewTimer(max(0, c.rejectAt(w)-c.now()))
		select {
		case <-w.granted:
			timer.Stop()
			return true
		case <-c.ctx.Done():
			timer.Stop()
			a.update(service, func(_ *serviceQueue, now tables.Instant) { c.endWait(now, w, abandoned) })
			return false
		case <-timer.C:
		}
		rejected := false
		a.update(service, func(q *serviceQueue, now tables.Instant) {
			// The question may have been granted at the same moment.
			if rejected = q.placing != w && now >= w.rejectAt(); rejected {
				q.leave(now, w)
				q.rejected++
				c.retryAfter = saturatedRetryAfter(q.retryAfter(now, w))
				c.endWait(now, w, rejectedWhileWaiting)
			}
		})
		if rejected {
			return false
		}
	}
}

// rejectAt returns when the request is rejected unless it has started.
func (c *clientRequest) rejectAt(w *waiter) tables.Instant {
	c.server.admission.mu.Lock()
	defer c.server.admission.mu.Unlock()
	return w.rejectAt()
}
