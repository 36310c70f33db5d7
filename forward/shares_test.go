package forward

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/events"
	"github.com/carawaystile/carawaystile/routes"
	"github.com/carawaystile/carawaystile/systems/shares"
	"github.com/carawaystile/carawaystile/tables"
)

// sharedRequest returns a request of another instance's caller that names its organisation.
func (h *harness) sharedRequest(organisation string, tokens int) *dispatch.Request {
	now := h.server.options.Now()
	return &dispatch.Request{
		Service: h.server.Service("models"), Route: &routes.Route{TargetLatency: longTarget}, Model: "m", PromptTokens: tokens, OutputTokens: 10,
		ArrivedAt: now, Deadline: now + time.Minute, UrgentTarget: longTarget, Organisation: organisation, Asker: "i1", Remote: true,
	}
}

// newSharesHarness returns a harness with shares over all instances.
func newSharesHarness(t *testing.T, now func() tables.Instant) *harness {
	t.Helper()
	h := newHarnessWith(t, now, newFakeEndpoints(t, streamEvents(3, 3)))
	h.enableCapacity(dispatch.CapacityOptions{Admission: dispatch.On, Shares: dispatch.On})
	return h
}

// Guards against an organisation that takes capacity for which others wait, at this placer or at
// another one, and against operators who do not see which one has most of it.
func TestPlacerHoldsBackTheOrganisationThatHasHadMore(t *testing.T) {
	core, logged := observer.New(zap.InfoLevel)
	now := time.Second
	h := newSharesHarness(t, func() tables.Instant { return now })
	h.server.shares.log = zap.New(core)
	greedy := h.sharedRequest("greedy", longPrompt)
	attempt, reason := h.server.PlaceRequest(greedy)
	assert.Assert(t, attempt != nil, "%s", reason)
	other := h.sharedRequest("other", 300)
	_, reason = h.server.PlaceRequest(other)
	assert.Equal(t, reason, dispatch.Saturated)
	h.server.AttemptEnded(attempt, dispatch.Completed)
	_, reason = h.server.PlaceRequest(h.sharedRequest("greedy", 300))
	assert.Equal(t, reason, dispatch.Yields)
	attempt, reason = h.server.PlaceRequest(other)
	assert.Assert(t, attempt != nil, "%s", reason)
	assert.Equal(t, logged.FilterField(zap.Uint16("event", uint16(events.LargestShare.Number))).Len(), 1)
	asked := h.sharedRequest("other", 300)
	asked.OrganisationCost = requestCost(other)
	_, _ = h.server.PlaceRequest(asked)
	assert.Equal(t, asked.OthersCost, uint64(0), "the asking instance's own cost is not that of others")
	h.server.ApplyPlacedCost("scheduler2", shares.Cost{Key: shareKey(asked), Total: 500})
	h.server.ApplyZoneCost("far", "z9", shares.Cost{Key: shareKey(asked), Total: 1000})
	asked.OrganisationCost = 2 * requestCost(other)
	_, _ = h.server.PlaceRequest(asked)
	assert.Equal(t, asked.OthersCost, uint64(1500))
	assert.Assert(t, len(h.server.TakePlacedCosts(64)) == 2 && len(h.server.TakeZoneCosts(64)) == 2)
}

// unlockedCore fails if a log line is written while the lock of the totals is held.
type unlockedCore struct {
	zapcore.Core
	shares  *sharedCosts
	written int
}

func (c *unlockedCore) Enabled(zapcore.Level) bool { return true }

func (c *unlockedCore) Check(entry zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	return checked.AddCore(entry, c)
}

func (c *unlockedCore) Write(zapcore.Entry, []zapcore.Field) error {
	if c.shares.mu.TryLock() {
		c.shares.mu.Unlock()
		c.written++
	}
	return nil
}

// Guards against questions that wait until the line on the largest organisation is written.
func TestLargestShareIsLoggedWithoutTheLock(t *testing.T) {
	now := time.Second
	h := newSharesHarness(t, func() tables.Instant { return now })
	core := &unlockedCore{Core: zapcore.NewNopCore(), shares: h.server.shares}
	h.server.shares.log = zap.New(core)
	_, _ = h.server.PlaceRequest(h.sharedRequest("greedy", longPrompt))
	_, reason := h.server.PlaceRequest(h.sharedRequest("other", 300))
	assert.Equal(t, reason, dispatch.Saturated)
	assert.Equal(t, core.written, 1)
}

// Guards against requests that are held back because one could not go to endpoints that only its
// asker avoids, or to unconfirmed ones.
func TestRestrictedRequestHoldsBackNobody(t *testing.T) {
	for _, restrict := range []func(*dispatch.Request){
		func(r *dispatch.Request) { r.Avoided = []tables.EndpointID{"e0models"} },
		func(r *dispatch.Request) { r.ConfirmedOnly = true },
	} {
		now := time.Second
		h := newSharesHarness(t, func() tables.Instant { return now })
		attempt, reason := h.server.PlaceRequest(h.sharedRequest("greedy", longPrompt))
		assert.Assert(t, attempt != nil, "%s", reason)
		other := h.sharedRequest("other", 300)
		restrict(other)
		refused, _ := h.server.PlaceRequest(other)
		assert.Assert(t, refused == nil)
		h.server.AttemptEnded(attempt, dispatch.Completed)
		attempt, reason = h.server.PlaceRequest(h.sharedRequest("greedy", 300))
		assert.Assert(t, attempt != nil, "%s", reason)
	}
}

// Guards against costs that are exchanged, or requests that are held back, where admission or shares
// are off.
func TestNoCostsAreKeptWithASwitchOff(t *testing.T) {
	for _, capacity := range []dispatch.CapacityOptions{{}, {Shares: dispatch.On}, {Admission: dispatch.On}} {
		h := newHarness(t, streamEvents(3, 3))
		h.enableCapacity(capacity)
		r := h.sharedRequest("org", 100)
		r.UrgentTarget = 0
		attempt, _ := h.server.PlaceRequest(r)
		assert.Assert(t, attempt != nil)
		h.server.ApplyPlacedCost("i2", shares.Cost{Key: shareKey(r), Total: 500})
		h.server.ApplyZoneCost("far", "z9", shares.Cost{Key: shareKey(r), Total: 500})
		assert.Assert(t, !h.server.SharesCosts())
		assert.Equal(t, len(h.server.TakePlacedCosts(64))+len(h.server.TakeZoneCosts(64)), 0)
		assert.Equal(t, r.OthersCost, uint64(0))
	}
}

// Guards against organisations that are named or charged by an instance where shares are off while
// its service is saturated, and against names that are missing where they are on.
func TestOrganisationIsNamedOnlyWithSharesOn(t *testing.T) {
	for _, on := range []dispatch.Switch{dispatch.Off, dispatch.On} {
		h := newAdmissionHarness(t, 0)
		h.enableCapacity(dispatch.CapacityOptions{Admission: dispatch.On, Shares: on})
		a := h.server.admission
		a.update("models", func(q *serviceQueue, now tables.Instant) { q.saturatedSince = now })
		c := &clientRequest{server: h.server, service: h.server.Service("models"), org: &routes.Organisation{ID: "org"}}
		c.route = &routes.Route{TargetLatency: longTarget}
		c.dispatchRequest = *h.sharedRequest("", 300)
		w := c.newWaiter()
		a.update("models", func(q *serviceQueue, now tables.Instant) { q.chargeIfSaturated(now, w) })
		c.setOrganisation(w)
		assert.Equal(t, c.dispatchRequest.Organisation != "", on == dispatch.On)
		assert.Equal(t, c.dispatchRequest.OrganisationCost > 0, on == dispatch.On)
	}
}

// Guards against organisations that yield and are first in order, and so use up all questions.
func TestOrganisationsThatYieldLetOthersAsk(t *testing.T) {
	for _, limit := range []*questionLimit{nil, newQuestionLimit()} {
		q, now := newWaitQueue(), time.Second
		q.limit = limit
		asked := map[string]int{}
		for i := range 20 {
			joinQueue(t, q, now, waiter{organisation: fmt.Sprintf("org%d", i), prompt: 500})
		}
		for ; now < 4*time.Second; now += 3 * time.Millisecond {
			w, _ := q.next(now)
			switch {
			case w == nil:
			case w.organisation == "org19":
				asked[w.organisation]++
				q.full(now, w, 0)
			case w.organisation == "org10":
				asked[w.organisation]++
				q.postpone(now, w, true)
			default:
				asked[w.organisation]++
				q.yielded(now, w)
			}
		}
		assert.Equal(t, len(asked), 20, "%v", asked)
		for organisation, n := range asked {
			assert.Assert(t, n >= 7, "%s asked %d times", organisation, n)
		}
	}
}

// Guards against a queue that, with shares off, takes in a request whose predicted wait is too long.
func TestRequestThatIsNextIsRejectedWithSharesOff(t *testing.T) {
	for _, shared := range []bool{false, true} {
		q, now := newWaitQueue(), time.Second
		for range 3 {
			first := joinQueue(t, q, now, waiter{organisation: "org", prompt: 500})
			now += 20 * time.Second
			_, _ = q.next(now)
			q.placed(now, first)
		}
		w := &waiter{organisation: "org", prompt: 500, target: time.Second, arrivedAt: now, shared: shared}
		w.setLimits(now, 0, false)
		predicted, joined := q.join(now, w)
		assert.Assert(t, predicted > time.Second, "%v", predicted)
		assert.Equal(t, joined, shared)
	}
}

// Guards against a request that is held back for other organisations and hides those behind it, in
// its instance's queue.
func TestRequestThatYieldsHoldsBackOnlyItsOrganisation(t *testing.T) {
	q, now := newWaitQueue(), time.Second
	greedy := joinQueue(t, q, now, waiter{organisation: "greedy", prompt: 500})
	joinQueue(t, q, now, waiter{organisation: "greedy", prompt: 500})
	other := joinQueue(t, q, now, waiter{organisation: "other", prompt: 500})
	next, _ := q.next(now)
	assert.Equal(t, next, greedy)
	q.yielded(now, greedy)
	next, _ = q.next(now)
	assert.Equal(t, next, other)
	q.placed(now, other)
	next, again := q.next(now)
	assert.Assert(t, next == nil)
	assert.Equal(t, again, now+placementRetryInterval)
	next, _ = q.next(again)
	assert.Assert(t, next != nil)
}

// Guards against totals that are dropped without a log line, and against a line for each.
func TestDroppedTotalsAreLoggedOnceASecond(t *testing.T) {
	core, logged := observer.New(zap.InfoLevel)
	c := &sharedCosts{log: zap.New(core)}
	for i := range 20_000 {
		c.recordPlaced(time.Second, tables.InstanceID(strconv.Itoa(i)), shares.Cost{Key: shares.Key{Service: "s", Organisation: "a"}, Total: 1})
	}
	assert.Equal(t, logged.Len(), 1)
	c.recordPlaced(2*time.Second, "another", shares.Cost{Key: shares.Key{Service: "s", Organisation: "a"}, Total: 1})
	assert.Equal(t, logged.FilterField(zap.Uint16("event", uint16(events.PlacedCostDropped.Number))).Len(), 2)
}
