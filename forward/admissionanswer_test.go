package forward

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/carawaystile/carawaystile/dispatch"
	"github.com/carawaystile/carawaystile/tables"
)

// Guards against callers that stay away for minutes although the service may be free again
// within seconds.
func TestRetryAfterForSaturationIsBounded(t *testing.T) {
	q := newWaitQueue()
	w := &waiter{organisation: "org", prompt: 1000, target: time.Second, arrivedAt: time.Second}
	w.setLimits(time.Second, 0, false)
	_, joined := q.join(time.Second, w)
	assert.Assert(t, joined)
	assert.Equal(t, q.retryAfter(10*time.Second, w), retryAfterOverload, "nothing has left the queue")
	assert.Assert(t, saturatedRetryAfter(4*time.Minute)+maxRetryAfterJitter <= 5*time.Second)
	assert.Equal(t, saturatedRetryAfter(2*time.Second)+maxRetryAfterJitter/2, 2*time.Second)
}

// Guards against an attempt after a refused connection that counts as a first one, whose time is
// up since the request arrived long ago.
func TestAnyFurtherPlacementIsARetry(t *testing.T) {
	h := newHarness(t, streamEvents(3, 3))
	now := time.Second
	h.server.options.Now = func() tables.Instant { return now }
	c := &clientRequest{server: h.server, arrivedAt: now, deadline: time.Minute, table: h.server.routes.Load()}
	c.route, c.service = &c.table.Routes[2], c.table.ServiceByName("models")
	c.dispatchRequest.Service = c.service
	first := c.newWaiter()
	assert.Equal(t, first.startBy, now+c.latencyTarget()/admittedMaxWaitTargetDivisor)
	now += 10 * time.Second
	assert.Equal(t, c.newWaiter().startBy, now+c.latencyTarget()/retryMaxWaitTargetDivisor)
}

// Guards against a request that waits, or is told a short delay, while all endpoints push back
// for longer than a request waits without admission.
func TestPushbackOfAllEndpointsRejectsAtOnce(t *testing.T) {
	h := newAdmissionHarness(t, 0)
	h.setTarget(t, 8*time.Second)
	h.server.RecordCallPushback("e0models", 1500*time.Millisecond)
	began := time.Now()
	resp := h.send(t, http.MethodPost, "/stream/x", "", "X-Model", "m", "X-Tokens", "300,10")
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	took := time.Since(began)
	assert.Assert(t, took < 500*time.Millisecond, "%s", took)
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	assert.Assert(t, seconds >= 1.4 && seconds < 4, "%f", seconds)
}

// Guards against charges for attempts that reached no process, after which the retry is charged
// again.
func TestUndeliveredAttemptIsNotCharged(t *testing.T) {
	for result, want := range map[dispatch.Outcome]float64{dispatch.ConnectionRefused: 0, dispatch.Broken: 310} {
		h := newAdmissionHarness(t, 0)
		c := &clientRequest{server: h.server, deadline: time.Minute, table: h.server.routes.Load()}
		c.route, c.service = &c.table.Routes[2], c.table.ServiceByName("models")
		c.dispatchRequest.Service = c.service
		w := &waiter{organisation: "org", prompt: 300, output: 10}
		c.admitted = w
		a := h.server.admission
		a.update("models", func(q *serviceQueue, now tables.Instant) {
			a.logSaturated(q, now, dispatch.Saturated, 0)
			q.chargeIfSaturated(now, w)
		})
		c.refundAdmission(result)
		a.update("models", func(q *serviceQueue, now tables.Instant) {
			placed := q.classes[0].placed.value(now, classShareDecay)
			assert.Assert(t, placed >= 0.9*want && placed <= want, "%v: %f", result, placed)
		})
	}
}
